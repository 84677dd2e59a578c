package slots

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

// Error is the class of this package's errors.
var Error = errs.Class("slots")

// ErrNoFreeSlot is returned by Take for a host without a slot that this member may use now.
var ErrNoFreeSlot = Error.New("no free slot on this host; wait for a release or for a loan, or take another host")

// HostSlots describes a host to the ledger.
type HostSlots struct {
	Host string
	Pool string
	// Slots is the number of requests that the host runs at once.
	Slots int
	// Closed means that no slot may be taken or lent any more; running requests finish.
	Closed bool
	// DataCentre is the data centre of the host.
	DataCentre string
}

// memberID is one incarnation of a member.
type memberID struct{ name, incarnation string }

func ownerID(o *pb.Owner) memberID {
	return memberID{name: o.GetName(), incarnation: o.GetIncarnation()}
}

// slotKey identifies one slot of one host.
type slotKey struct {
	host  string
	index uint32
}

// rendezvousKey returns the key that is hashed to find the slot's owner.
func (k slotKey) rendezvousKey() string {
	return k.host + "/" + strconv.FormatUint(uint64(k.index), 10)
}

func (k slotKey) id() *pb.SlotID { return &pb.SlotID{Host: k.host, Index: k.index} }

// record is the state of one slot.
type record struct {
	key   slotKey
	host  *host
	owner memberID
	// ownerIndex is the index of the owner in the ledger's owners; -1 means none.
	ownerIndex int
	// owned means that this incarnation owns the slot by the settled owners.
	owned bool
	// acquiredRevision is the revision that every member's report must reach before an owned slot may be used; 0 once
	// the slot is cleared for use.
	acquiredRevision uint64
	// tokenSerial is the serial of the token in use; 0 means none.
	tokenSerial uint64
	lent        *lentLoan
	borrowed    *borrowedLoan
}

// lentLoan is a loan of an owned slot.
type lentLoan struct {
	id       uint64
	to       memberID
	recalled bool
	// confirmed means that the borrower has reported the loan.
	confirmed bool
}

// borrowedLoan is a loan from another owner.
type borrowedLoan struct {
	id       uint64
	from     memberID
	recalled bool
	// idleSince is when Balance first found the slot idle and the queue empty; zero means not yet.
	idleSince time.Time
}

// host is a host with the records of its slots.
type host struct {
	HostSlots
	known   bool
	records []*record
	// free is the number of slots that can be taken now.
	free int
}

// peer is the state last reported by one incarnation of a member.
type peer struct {
	sequence uint64
	// revision and ownersHash are the fleet revision and the hash of the owner set under which its last heartbeat was
	// sent.
	revision   uint64
	ownersHash uint64
	// reported holds the slots owned by this member that the peer reported as held.
	reported map[slotKey]struct{}
}

// Ledger tracks the slots that one entry host may use. It is not safe for concurrent use. See the package comment for
// the protocol.
type Ledger struct {
	self memberID
	// revision is the last applied fleet revision.
	revision uint64
	// ownersSinceRevision is the revision in which the current owners were first seen.
	ownersSinceRevision uint64
	// ownersHash identifies the current owners.
	ownersHash uint64
	owners     *pb.OwnerSet
	// active means that this incarnation is a member.
	active bool
	peers  map[memberID]*peer
	hosts  map[string]*host
	// pools lists the known hosts of each pool by name.
	pools map[string][]*host
	// lent holds the owned slots that are lent.
	lent map[slotKey]*record
	// foreign holds the slots that this member holds and doesn't own.
	foreign map[slotKey]*record
	// waiting holds the owned slots that are not yet cleared for use.
	waiting map[slotKey]*record
	// returned holds the returned loans that their lender may still list.
	returned map[memberID]map[uint64]slotKey
	// pending holds the names of the members that should get a heartbeat before the next regular one.
	pending map[string]bool
	// announced is the shortage of slots of each pool when every member was last marked as pending for that pool.
	announced map[string]int
	// loans and serial count the loans and the tokens that this incarnation has issued.
	loans  uint64
	serial uint64
	inUse  int
}

// NewLedger returns an empty ledger for one incarnation of a member.
func NewLedger(self *pb.Owner) *Ledger {
	return &Ledger{
		self:     ownerID(self),
		peers:    map[memberID]*peer{},
		hosts:    map[string]*host{},
		pools:    map[string][]*host{},
		lent:     map[slotKey]*record{},
		foreign:  map[slotKey]*record{},
		waiting:  map[slotKey]*record{},
		returned: map[memberID]map[uint64]slotKey{},

		pending:   map[string]bool{},
		announced: map[string]int{},
	}
}

// SetHosts replaces the list of hosts. A missing host counts as closed; its running requests finish.
func (l *Ledger) SetHosts(hosts []HostSlots) {
	for _, h := range l.hosts {
		h.known = false
	}
	for _, spec := range hosts {
		h := l.hostOf(spec.Host)
		h.HostSlots = spec
		h.known = true
		l.grow(h, spec.Slots)
	}
	l.pools = map[string][]*host{}
	for name, h := range l.hosts {
		if h.known {
			l.pools[h.Pool] = append(l.pools[h.Pool], h)
		} else {
			l.forget(name, h)
		}
	}
	for _, list := range l.pools {
		sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	}
	l.clearWaiting()
	l.recountAll()
}

// hostOf returns the named host and creates it if it doesn't exist.
func (l *Ledger) hostOf(name string) *host {
	h := l.hosts[name]
	if h == nil {
		h = &host{HostSlots: HostSlots{Host: name}}
		l.hosts[name] = h
	}
	return h
}

// grow extends h to at least n records.
func (l *Ledger) grow(h *host, n int) {
	for i := len(h.records); i < n; i++ {
		r := &record{key: slotKey{host: h.Host, index: uint32(i)}, host: h}
		h.records = append(h.records, r)
		l.assign(r)
	}
}

// forget deletes an unlisted host unless one of its slots is in use, lent or borrowed by this member.
func (l *Ledger) forget(name string, h *host) {
	for _, r := range h.records {
		if r.tokenSerial != 0 || r.lent != nil || r.borrowed != nil {
			return
		}
	}
	for _, r := range h.records {
		delete(l.waiting, r.key)
	}
	delete(l.hosts, name)
}

// SetOwners applies a fleet. A fleet older than the one applied last is ignored.
func (l *Ledger) SetOwners(f *pb.Fleet) {
	if f.GetRevision() < l.revision {
		return
	}
	l.revision = f.GetRevision()
	l.setMembers(f.GetMembers())
	if !proto.Equal(l.owners, f.GetOwners()) {
		l.owners = f.GetOwners()
		l.ownersSinceRevision = l.revision
		l.ownersHash = hashOwners(l.owners)
		l.assignAll()
		l.markAllPending()
	}
	l.clearWaiting()
	l.recountAll()
}

// setMembers applies the member list and drops everything held by members that are proved gone.
func (l *Ledger) setMembers(members []*pb.Member) {
	present := map[memberID]bool{}
	for _, m := range members {
		present[memberID{name: m.GetName(), incarnation: m.GetIncarnation()}] = true
	}
	l.active = present[l.self]
	delete(present, l.self)
	for id := range l.peers {
		if !present[id] {
			delete(l.peers, id)
			delete(l.returned, id)
		}
	}
	for id := range present {
		if l.peers[id] == nil {
			l.peers[id] = &peer{reported: map[slotKey]struct{}{}}
		}
	}
	for _, r := range l.lent {
		if !present[r.lent.to] {
			l.endLoan(r)
		}
	}
}

func (l *Ledger) assignAll() {
	for _, h := range l.hosts {
		for _, r := range h.records {
			l.assign(r)
		}
	}
}

// assign computes the owner of a slot and applies a change of owner.
func (l *Ledger) assign(r *record) {
	key := r.key.rendezvousKey()
	current, _ := rendezvous.Owner(key, l.owners)
	r.owner = ownerID(current)
	r.ownerIndex = slices.Index(l.owners.GetOwners(), current)
	own := current != nil && r.owner == l.self
	switch {
	case own && !r.owned:
		l.acquire(r)
	case !own && r.owned:
		l.disown(r)
	case !own && r.borrowed != nil && r.borrowed.from != r.owner && r.tokenSerial == 0:
		l.returnLoan(r)
	}
}

// acquire takes over the ownership of a slot, which may not be used before it is cleared. A request that runs on it
// continues.
func (l *Ledger) acquire(r *record) {
	if r.borrowed != nil {
		l.returnLoan(r)
	}
	delete(l.foreign, r.key)
	r.owned = true
	r.acquiredRevision = l.ownersSinceRevision
	l.waiting[r.key] = r
}

// disown ends the ownership of a slot. A request that runs on it continues and is reported to the new owner.
func (l *Ledger) disown(r *record) {
	r.owned = false
	r.acquiredRevision = 0
	delete(l.waiting, r.key)
	if r.lent != nil {
		l.endLoan(r)
	}
	if r.tokenSerial != 0 {
		l.foreign[r.key] = r
	}
}

// endLoan frees a lent slot.
func (l *Ledger) endLoan(r *record) {
	r.lent = nil
	delete(l.lent, r.key)
	l.recount(r.host)
}

// returnLoan ends the use of a loan. The loan is remembered until its lender stops listing it, so that a delayed
// heartbeat can't revive it.
func (l *Ledger) returnLoan(r *record) {
	from := r.borrowed.from
	if l.peers[from] != nil {
		if l.returned[from] == nil {
			l.returned[from] = map[uint64]slotKey{}
		}
		l.returned[from][r.borrowed.id] = r.key
		l.pending[from.name] = true
	}
	r.borrowed = nil
	if r.tokenSerial == 0 {
		delete(l.foreign, r.key)
	}
	l.recount(r.host)
}

// clearWaiting clears for use the acquired slots that no member reports as held, once every member has sent a report
// under the current owners. A report that was sent under other owners may name another owner for the slot, so it
// doesn't count.
func (l *Ledger) clearWaiting() {
	if len(l.waiting) == 0 {
		return
	}
	minRevision := l.revision
	for _, p := range l.peers {
		if p.ownersHash != l.ownersHash {
			return
		}
		minRevision = min(minRevision, p.revision)
	}
	for key, r := range l.waiting {
		if r.acquiredRevision > minRevision || l.reportedByAny(key) {
			continue
		}
		r.acquiredRevision = 0
		delete(l.waiting, key)
		l.recount(r.host)
	}
}

// hashOwners returns a hash of an owner set including the incarnations.
func hashOwners(set *pb.OwnerSet) uint64 {
	var b strings.Builder
	for _, o := range set.GetOwners() {
		b.WriteString(o.GetName())
		b.WriteByte(0)
		b.WriteString(o.GetIncarnation())
		b.WriteByte(0)
	}
	return rendezvous.Hash(b.String())
}

func (l *Ledger) reportedByAny(key slotKey) bool {
	for _, p := range l.peers {
		if _, ok := p.reported[key]; ok {
			return true
		}
	}
	return false
}

func (l *Ledger) recountAll() {
	for _, h := range l.hosts {
		l.recount(h)
	}
}

func (l *Ledger) recount(h *host) {
	h.free = 0
	for _, r := range h.records {
		if l.usable(r) {
			h.free++
		}
	}
}
