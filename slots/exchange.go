package slots

import (
	"sort"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

// tagBits is the part of a loan's identity that is bound to its two ends; the rest counts the lender's loans.
const tagBits = 28

// loanTag binds a loan to one incarnation of its lender and one of its borrower.
func loanTag(from, to memberID) uint64 {
	s := from.name + "\x00" + from.incarnation + "\x00" + to.name + "\x00" + to.incarnation
	return rendezvous.Hash(s) & (1<<tagBits - 1)
}

// newLoan returns a loan identity that this incarnation never used before.
func (l *Ledger) newLoan(to memberID) uint64 {
	l.loans++
	return l.loans<<tagBits | loanTag(l.self, to)
}

// Outgoing returns the whole state that the named peer has to know. The heartbeat that carries it must get its
// sequence in the same step, so that a higher sequence always means a later state.
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
		held := &pb.Loan{Slot: key.id()}
		if r.held != nil {
			held.Loan = r.held.id
		}
		out.Borrowed = append(out.Borrowed, held)
	}
	out.Borrowed = append(out.Borrowed, l.returnedTo(peerName)...)
	return out
}

// Pending says whether the named peer should get a heartbeat before its regular turn: a loan to it, a recall or a
// return waits to be told, the owners have changed, or this member's shortage of slots has changed much. Outgoing resets
// it. An embedder that checks it after each Balance and sends then bounds the early heartbeats by its period of decisions.
func (l *Ledger) Pending(peerName string) bool { return l.pending[peerName] }

// announce marks every member as pending when the shortage of slots in a pool begins, ends or has doubled.
func (l *Ledger) announce(pool string, shortage int) {
	last := l.announced[pool]
	changed := (shortage == 0) != (last == 0) || shortage >= 2*last && shortage > 0
	if !changed {
		return
	}
	l.announced[pool] = shortage
	l.tellAll()
}

// tellAll marks every member as pending.
func (l *Ledger) tellAll() {
	for id := range l.peers {
		l.pending[id.name] = true
	}
}

// returnedTo lists the returned loans that the named lender may not know of yet.
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

// Incoming applies a peer's heartbeat. One that is not newer than the last of its incarnation, or from a process that
// is no member, is ignored.
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

// applyBorrowed takes in what a peer holds of this member's slots, and what it has returned.
func (l *Ledger) applyBorrowed(from memberID, p *peer, borrowed []*pb.Loan) {
	p.reported = make(map[slotKey]struct{}, len(borrowed))
	for _, b := range borrowed {
		key := slotKey{host: b.GetSlot().GetHost(), index: b.GetSlot().GetIndex()}
		r := l.lent[key]
		mine := r != nil && r.lent.to == from && r.lent.id == b.GetLoan()
		if !b.GetRecalled() {
			p.reported[key] = struct{}{}
			if mine {
				r.lent.seen = true
			}
			continue
		}
		if mine {
			l.endLoan(r)
		}
	}
}

// applyLends takes in what a peer has lent to this member.
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
		if r.held != nil && r.held.from == from && r.busy == 0 && !listed[r.held.id] {
			r.held = nil
			delete(l.foreign, r.key)
			l.recount(r.host)
		}
	}
}

// applyLoan takes in one loan. A loan that the present owners don't bear out is left alone: it is neither used nor
// returned until both sides have applied the same owners.
func (l *Ledger) applyLoan(from memberID, revision uint64, loan *pb.Loan) {
	if loan.GetLoan()&(1<<tagBits-1) != loanTag(from, l.self) {
		return
	}
	if _, done := l.returned[from][loan.GetLoan()]; done {
		return
	}
	r := l.recordOf(loan.GetSlot())
	if r == nil {
		l.refuse(from, loan)
		return
	}
	if r.held != nil && r.held.id == loan.GetLoan() && r.held.from == from {
		r.held.recalled = r.held.recalled || loan.GetRecalled()
	} else {
		if r.owner != from || revision < l.ownersSince || r.held != nil || r.busy != 0 {
			return
		}
		r.held = &heldLoan{id: loan.GetLoan(), from: from, recalled: loan.GetRecalled()}
		l.foreign[r.key] = r
	}
	if r.busy == 0 && (r.held.recalled || !r.open()) {
		l.giveBack(r)
	}
	l.recount(r.host)
}

// refuse returns a loan unused.
func (l *Ledger) refuse(from memberID, loan *pb.Loan) {
	if l.returned[from] == nil {
		l.returned[from] = map[uint64]slotKey{}
	}
	l.returned[from][loan.GetLoan()] = slotKey{host: loan.GetSlot().GetHost(), index: loan.GetSlot().GetIndex()}
}

// recordOf returns the record of a slot of a host that the ledger knows, or nil.
func (l *Ledger) recordOf(id *pb.SlotID) *record {
	h := l.hosts[id.GetHost()]
	if h == nil || int(id.GetIndex()) >= len(h.records) {
		return nil
	}
	return h.records[id.GetIndex()]
}
