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
	// Closed means that no slot may be newly taken or lent; requests that run there finish.
	Closed bool
	// DataCentre is where the host stands.
	DataCentre string
}

// memberID is one incarnation of a member.
type memberID struct{ name, incarnation string }

func ownerID(o *pb.Owner) memberID {
	return memberID{name: o.GetName(), incarnation: o.GetIncarnation()}
}

// slotKey names one slot of one host.
type slotKey struct {
	host  string
	index uint32
}

// rendezvousKey is the key under which owners are computed.
func (k slotKey) rendezvousKey() string {
	return k.host + "/" + strconv.FormatUint(uint64(k.index), 10)
}

func (k slotKey) id() *pb.SlotID { return &pb.SlotID{Host: k.host, Index: k.index} }

// record is what the ledger knows of one slot.
type record struct {
	key   slotKey
	host  *host
	owner memberID
	// ownerPlace is the place of the owner among the ledger's owners; -1 for none.
	ownerPlace int
	// own: this incarnation owns the slot by the settled owners.
	own bool
	// acquired is the revision that every member's report must reach before an own slot may be used; 0 once cleared.
	acquired uint64
	// busy is the serial of the token that is out; 0 for none.
	busy uint64
	lent *lentLoan
	held *heldLoan
}

// lentLoan is a loan of an own slot.
type lentLoan struct {
	id       uint64
	to       memberID
	recalled bool
	// seen: the borrower has reported it.
	seen bool
}

// heldLoan is a loan from another owner.
type heldLoan struct {
	id       uint64
	from     memberID
	recalled bool
	// idleSince is when Balance first found it idle with an empty queue; zero for not yet.
	idleSince time.Time
}

// host is one host with the records of its slots.
type host struct {
	HostSlots
	known   bool
	records []*record
	// free is the number of slots that may be taken now.
	free int
}

// peer is what the ledger last heard from one incarnation of a member.
type peer struct {
	sequence uint64
	// revision is the fleet revision that its last heartbeat was sent under, and ownersHash its owner set.
	revision   uint64
	ownersHash uint64
	// reported are the slots it said it holds of those that this member owns.
	reported map[slotKey]struct{}
}

// Ledger keeps account of the slots that one entry host may use. It is not safe for concurrent use. See the package
// comment for the protocol.
type Ledger struct {
	self memberID
	// revision is the fleet revision applied last.
	revision uint64
	// ownersSince is the revision in which the present owners were first seen.
	ownersSince uint64
	// ownersHash identifies the present owners.
	ownersHash uint64
	owners     *pb.OwnerSet
	// active: this incarnation is a member.
	active bool
	peers  map[memberID]*peer
	hosts  map[string]*host
	// pools lists the known hosts of each pool by name.
	pools map[string][]*host
	// lent are the own slots that are lent.
	lent map[slotKey]*record
	// foreign are the slots that this member holds and doesn't own.
	foreign map[slotKey]*record
	// waiting are the own slots that are not cleared yet.
	waiting map[slotKey]*record
	// returned are the loans that were given back for good and that their lender may still list.
	returned map[memberID]map[uint64]slotKey
	// pending are the members that should hear from this one before the next regular heartbeat, by name.
	pending map[string]bool
	// announced is the shortage of slots by pool at the last time when every member was marked as pending.
	announced map[string]int
	loans     uint64
	serial    uint64
	inUse     int
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

// SetHosts replaces the list of hosts. A host that is missing counts as closed; what runs there finishes.
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

// hostOf returns the host, and adds it if need be.
func (l *Ledger) hostOf(name string) *host {
	h := l.hosts[name]
	if h == nil {
		h = &host{HostSlots: HostSlots{Host: name}}
		l.hosts[name] = h
	}
	return h
}

// grow gives h at least n records.
func (l *Ledger) grow(h *host, n int) {
	for i := len(h.records); i < n; i++ {
		r := &record{key: slotKey{host: h.Host, index: uint32(i)}, host: h}
		h.records = append(h.records, r)
		l.assign(r)
	}
}

// forget drops a host that is neither listed nor in anybody's use as far as this ledger has to say.
func (l *Ledger) forget(name string, h *host) {
	for _, r := range h.records {
		if r.busy != 0 || r.lent != nil || r.held != nil {
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
		l.ownersSince = l.revision
		l.ownersHash = hashOwners(l.owners)
		l.assignAll()
		l.tellAll()
	}
	l.clearWaiting()
	l.recountAll()
}

// setMembers drops all that a member held which is proved gone.
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

// assign computes the owner of a slot, and what follows from a change.
func (l *Ledger) assign(r *record) {
	key := r.key.rendezvousKey()
	current, _ := rendezvous.Owner(key, l.owners)
	r.owner = ownerID(current)
	r.ownerPlace = slices.Index(l.owners.GetOwners(), current)
	own := current != nil && r.owner == l.self
	switch {
	case own && !r.own:
		l.acquire(r)
	case !own && r.own:
		l.lose(r)
	case !own && r.held != nil && r.held.from != r.owner && r.busy == 0:
		l.giveBack(r)
	}
}

// acquire starts the wait for a slot that was somebody else's. A request that runs on it goes on.
func (l *Ledger) acquire(r *record) {
	if r.held != nil {
		l.giveBack(r)
	}
	delete(l.foreign, r.key)
	r.own = true
	r.acquired = l.ownersSince
	l.waiting[r.key] = r
}

// lose ends the ownership of a slot. A request that runs on it goes on, and is reported to the new owner.
func (l *Ledger) lose(r *record) {
	r.own = false
	r.acquired = 0
	delete(l.waiting, r.key)
	if r.lent != nil {
		l.endLoan(r)
	}
	if r.busy != 0 {
		l.foreign[r.key] = r
	}
}

// endLoan frees a lent slot.
func (l *Ledger) endLoan(r *record) {
	r.lent = nil
	delete(l.lent, r.key)
	l.recount(r.host)
}

// giveBack ends the use of a loan for good. The loan is remembered until its lender stops listing it, so that a late
// heartbeat can't bring it back.
func (l *Ledger) giveBack(r *record) {
	from := r.held.from
	if l.peers[from] != nil {
		if l.returned[from] == nil {
			l.returned[from] = map[uint64]slotKey{}
		}
		l.returned[from][r.held.id] = r.key
		l.pending[from.name] = true
	}
	r.held = nil
	if r.busy == 0 {
		delete(l.foreign, r.key)
	}
	l.recount(r.host)
}

// clearWaiting lets the acquired slots be used of which every member has said, under the present owners, that it
// doesn't hold them. A report that was sent under other owners may name another owner for the slot, so it doesn't count.
func (l *Ledger) clearWaiting() {
	if len(l.waiting) == 0 {
		return
	}
	heard := l.revision
	for _, p := range l.peers {
		if p.ownersHash != l.ownersHash {
			return
		}
		heard = min(heard, p.revision)
	}
	for key, r := range l.waiting {
		if r.acquired > heard || l.reportedByAny(key) {
			continue
		}
		r.acquired = 0
		delete(l.waiting, key)
		l.recount(r.host)
	}
}

// hashOwners identifies an owner set, incarnations included.
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
