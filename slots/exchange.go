package slots

import (
	"sort"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

// tagBits is the number of low bits of a loan ID that hold the tag of its lender and borrower; the other bits count the
// lender's loans.
const tagBits = 28

// loanTag returns the tag that binds a loan to one incarnation of its lender and one of its borrower.
func loanTag(from, to memberID) uint64 {
	s := from.name + "\x00" + from.incarnation + "\x00" + to.name + "\x00" + to.incarnation
	return rendezvous.Hash(s) & (1<<tagBits - 1)
}

// newLoan returns a loan ID that this incarnation has never used before.
func (l *Ledger) newLoan(to memberID) uint64 {
	l.loans++
	return l.loans<<tagBits | loanTag(l.self, to)
}

// Outgoing returns the complete state to send to the named peer. The heartbeat that carries it must get its sequence
// atomically with this call, so that a higher sequence always means a later state.
func (l *Ledger) Outgoing(peerName string) *pb.SlotExchange {
	delete(l.pending, peerName)
	out := &pb.SlotExchange{OwnersRevision: l.revision, OwnersHash: l.ownersHash}
	for id, p := range l.peers {
		if id.name == peerName {
			out.Acknowledged = max(out.Acknowledged, p.sequence)
		}
	}
	for _, key := range sortedKeys(l.lent) {
		loan := l.lent[key].lent
		if loan.to.name == peerName {
			out.Lends = append(out.Lends, &pb.Loan{Slot: key.id(), Loan: loan.id, Recalled: loan.recalled})
		}
	}
	for _, key := range sortedKeys(l.foreign) {
		r := l.foreign[key]
		if r.owner.name != peerName {
			continue
		}
		loan := &pb.Loan{Slot: key.id()}
		if r.borrowed != nil {
			loan.Loan = r.borrowed.id
		}
		out.Borrowed = append(out.Borrowed, loan)
	}
	out.Borrowed = append(out.Borrowed, l.returnedTo(peerName)...)
	return out
}

// Pending reports whether the named peer should get a heartbeat before the next regular one: a loan to it, a recall or
// a return has not been sent, the owners have changed, or this member's shortage of slots has changed considerably.
// Outgoing resets it. A caller that checks it only after each Balance sends at most one early heartbeat per call of
// Balance.
func (l *Ledger) Pending(peerName string) bool { return l.pending[peerName] }

// announceShortage marks every member as pending when the shortage of slots in a pool begins, ends or has doubled.
func (l *Ledger) announceShortage(pool string, shortage int) {
	last := l.announced[pool]
	changed := (shortage == 0) != (last == 0) || shortage >= 2*last && shortage > 0
	if !changed {
		return
	}
	l.announced[pool] = shortage
	l.markAllPending()
}

func (l *Ledger) markAllPending() {
	for id := range l.peers {
		l.pending[id.name] = true
	}
}

// returnedTo returns the returned loans that the named lender may still list.
func (l *Ledger) returnedTo(peerName string) []*pb.Loan {
	var out []*pb.Loan
	for id, loans := range l.returned {
		if id.name != peerName {
			continue
		}
		for loan, key := range loans {
			out = append(out, &pb.Loan{Slot: key.id(), Loan: loan, Recalled: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetLoan() < out[j].GetLoan() })
	return out
}

// Incoming applies a peer's heartbeat. A heartbeat is ignored if it is not newer than the last one of its incarnation,
// comes from a process that is not a member, or carries no slots.
func (l *Ledger) Incoming(hb *pb.Heartbeat) {
	from := memberID{name: hb.GetName(), incarnation: hb.GetIncarnation()}
	p := l.peers[from]
	if p == nil || hb.GetSequence() <= p.sequence || hb.GetSlots() == nil {
		return
	}
	p.sequence = hb.GetSequence()
	p.revision = hb.GetSlots().GetOwnersRevision()
	p.ownersHash = hb.GetSlots().GetOwnersHash()
	l.applyBorrowed(from, p, hb.GetSlots().GetBorrowed())
	l.applyLends(from, hb.GetSlots())
	l.clearWaiting()
}

// applyBorrowed applies a peer's list of this member's slots that it holds or has returned.
func (l *Ledger) applyBorrowed(from memberID, p *peer, borrowed []*pb.Loan) {
	p.reported = make(map[slotKey]struct{}, len(borrowed))
	for _, b := range borrowed {
		key := slotKey{host: b.GetSlot().GetHost(), index: b.GetSlot().GetIndex()}
		r := l.lent[key]
		matches := r != nil && r.lent.to == from && r.lent.id == b.GetLoan()
		if !b.GetRecalled() {
			p.reported[key] = struct{}{}
			if matches {
				r.lent.confirmed = true
			}
			continue
		}
		if matches {
			l.endLoan(r)
		}
	}
}

// applyLends applies a peer's list of loans to this member.
func (l *Ledger) applyLends(from memberID, x *pb.SlotExchange) {
	listed := make(map[uint64]bool, len(x.GetLends()))
	for _, loan := range x.GetLends() {
		listed[loan.GetLoan()] = true
		l.applyLoan(from, x.GetOwnersRevision(), loan)
	}
	for id := range l.returned[from] {
		if !listed[id] {
			delete(l.returned[from], id)
		}
	}
	for _, r := range l.foreign {
		if r.borrowed != nil && r.borrowed.from == from && r.tokenSerial == 0 && !listed[r.borrowed.id] {
			r.borrowed = nil
			delete(l.foreign, r.key)
			l.recount(r.host)
		}
	}
}

// applyLoan applies one loan. A loan that is inconsistent with the current owners is neither used nor returned until
// both sides have applied the same owners.
func (l *Ledger) applyLoan(from memberID, revision uint64, loan *pb.Loan) {
	if loan.GetLoan()&(1<<tagBits-1) != loanTag(from, l.self) {
		return
	}
	if _, done := l.returned[from][loan.GetLoan()]; done {
		return
	}
	r := l.recordOf(loan.GetSlot())
	if r == nil {
		l.declineLoan(from, loan)
		return
	}
	if r.borrowed != nil && r.borrowed.id == loan.GetLoan() && r.borrowed.from == from {
		r.borrowed.recalled = r.borrowed.recalled || loan.GetRecalled()
	} else {
		if r.owner != from || revision < l.ownersSinceRevision || r.borrowed != nil || r.tokenSerial != 0 {
			return
		}
		r.borrowed = &borrowedLoan{id: loan.GetLoan(), from: from, recalled: loan.GetRecalled()}
		l.foreign[r.key] = r
	}
	if r.tokenSerial == 0 && (r.borrowed.recalled || !r.open()) {
		l.returnLoan(r)
	}
	l.recount(r.host)
}

// declineLoan records a loan as returned without using it.
func (l *Ledger) declineLoan(from memberID, loan *pb.Loan) {
	if l.returned[from] == nil {
		l.returned[from] = map[uint64]slotKey{}
	}
	l.returned[from][loan.GetLoan()] = slotKey{host: loan.GetSlot().GetHost(), index: loan.GetSlot().GetIndex()}
}

// recordOf returns the record of a slot, or nil if the ledger doesn't know it.
func (l *Ledger) recordOf(id *pb.SlotID) *record {
	h := l.hosts[id.GetHost()]
	if h == nil || int(id.GetIndex()) >= len(h.records) {
		return nil
	}
	return h.records[id.GetIndex()]
}
