package slots

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// The generated histories use few hosts and members, so that conflicts are frequent.
const (
	simMembers   = 4
	simHosts     = 2
	slotsPerHost = 2
	simPool      = "p"
	simSteps     = 800
)

// variant selects the safeguard to disable.
type variant int

const (
	correct variant = iota
	expiringLoans
	noBarrierOnAcquire
	settleUnconfirmed
	forgetReturns
	anyIncarnation
	anyOrder
)

// node is one process, that is, one incarnation of a member.
type node struct {
	name, incarnation string
	ledger            *Ledger
	applied           uint64
	sequence          uint64
	tokens            []Token
	dead, paused      bool
}

// message is a heartbeat in flight. It is delivered to the process that has the name when it arrives.
type message struct {
	to string
	hb *pb.Heartbeat
}

// simulation runs ledgers over an unreliable network and under a changing fleet. choose returns a number below n.
type simulation struct {
	choose    func(n int) int
	variant   variant
	now       time.Time
	nodes     []*node
	fleet     *pb.Fleet
	revisions []*pb.Fleet
	inFlight  []message
	// delayed holds delayed and duplicated messages.
	delayed      []message
	incarnations int
	users        map[slotKey]string
	violation    string
}

func newSimulation(choose func(n int) int, v variant) *simulation {
	s := &simulation{choose: choose, variant: v, now: time.Unix(0, 0), users: map[slotKey]string{}, fleet: &pb.Fleet{Revision: 1}}
	for i := range simMembers {
		s.nodes = append(s.nodes, nil)
		s.register(i)
	}
	s.fleet.Owners = s.randomOwners()
	s.revisions = []*pb.Fleet{proto.CloneOf(s.fleet)}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// register replaces a member's process by a new incarnation.
func (s *simulation) register(i int) {
	s.incarnations++
	name := "e" + strconv.Itoa(i)
	n := &node{name: name, incarnation: "i" + strconv.Itoa(s.incarnations)}
	s.nodes[i] = n
	s.removeMember(name)
	s.fleet.Members = append(s.fleet.Members, &pb.Member{Name: name, Incarnation: n.incarnation})
}

func (s *simulation) removeMember(name string) {
	var kept []*pb.Member
	for _, m := range s.fleet.GetMembers() {
		if m.GetName() != name {
			kept = append(kept, m)
		}
	}
	s.fleet.Members = kept
}

// start gives a process its first view of the fleet, which may be older than its own registration.
func (s *simulation) start(n *node) {
	n.ledger = NewLedger(&pb.Owner{Name: n.name, Incarnation: n.incarnation})
	s.setHosts(n, 0, 0)
	s.apply(n, s.revisions[max(0, len(s.revisions)-1-s.choose(4)*s.choose(2))])
}

// setHosts sets a node's list of hosts; closed and missing are bit masks of host indices.
func (s *simulation) setHosts(n *node, closed, missing int) {
	var hosts []HostSlots
	for h := range simHosts {
		if missing>>h&1 == 0 {
			hosts = append(hosts, HostSlots{Host: "h" + strconv.Itoa(h), Pool: simPool, Slots: slotsPerHost, Closed: closed>>h&1 == 1})
		}
	}
	n.ledger.SetHosts(hosts)
}

func (s *simulation) apply(n *node, f *pb.Fleet) {
	n.ledger.SetOwners(f)
	n.applied = f.GetRevision()
	if s.variant == noBarrierOnAcquire {
		for k, r := range n.ledger.waiting {
			r.acquiredRevision = 0
			delete(n.ledger.waiting, k)
		}
		n.ledger.recountAll()
	}
}

// write commits the fleet under a new revision.
func (s *simulation) write() {
	s.fleet.Revision++
	s.revisions = append(s.revisions, proto.CloneOf(s.fleet))
}

func (s *simulation) randomOwners() *pb.OwnerSet {
	set := &pb.OwnerSet{}
	for _, m := range s.fleet.GetMembers() {
		if s.choose(4) > 0 {
			set.Owners = append(set.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
		}
	}
	return set
}

// settle makes the next owners the owners once every member has applied their announcement.
func (s *simulation) settle() {
	if s.fleet.GetNextOwners() == nil {
		return
	}
	for _, m := range s.fleet.GetMembers() {
		n := s.node(m.GetName())
		if s.variant != settleUnconfirmed && (n.incarnation != m.GetIncarnation() || n.applied < s.fleet.GetSettleRevision()) {
			return
		}
	}
	s.fleet.PreviousOwners, s.fleet.Owners, s.fleet.NextOwners = s.fleet.GetOwners(), s.fleet.GetNextOwners(), nil
	s.write()
}

func (s *simulation) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// step performs one random action on one node, which may be dead or paused.
func (s *simulation) step() {
	s.now = s.now.Add(returnAfter / 2)
	i := s.choose(len(s.nodes))
	n := s.nodes[i]
	switch action := s.choose(500); {
	case action == 0:
		s.kill(n)
	case action <= 30 && n.dead:
		s.register(i)
		s.write()
		s.start(s.nodes[i])
	case action <= 40 && n.dead:
		s.removeMember(n.name)
		s.write()
	case action <= 3 && s.fleet.GetNextOwners() == nil:
		s.fleet.NextOwners = s.randomOwners()
		s.fleet.SettleRevision = s.fleet.GetRevision() + 1
		s.write()
	case action <= 60:
		s.settle()
	case action <= 62 || action <= 100 && n.paused:
		n.paused = !n.paused
	case action <= 180:
		s.network()
	case !n.dead && !n.paused:
		s.act(n, action-180)
	}
}

func (s *simulation) kill(n *node) {
	n.dead = true
	for _, t := range n.tokens {
		delete(s.users, slotKey{host: t.Host, index: t.Index})
	}
	n.tokens = nil
}

// network delivers, duplicates, delays or drops some messages.
func (s *simulation) network() {
	for range s.choose(6) {
		queue := &s.inFlight
		if s.choose(4) == 0 {
			queue = &s.delayed
		}
		if len(*queue) == 0 {
			return
		}
		i := s.choose(len(*queue)) * s.choose(2)
		m := (*queue)[i]
		*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
		action := s.choose(10)
		if action <= 2 {
			s.delayed = append(s.delayed, m)
		}
		if n := s.node(m.to); action >= 2 && !n.dead && !n.paused {
			s.deliver(n, m.hb)
		}
	}
}

func (s *simulation) deliver(n *node, hb *pb.Heartbeat) {
	id := memberID{name: hb.GetName(), incarnation: hb.GetIncarnation()}
	p := n.ledger.peers[id]
	hb = proto.CloneOf(hb)
	switch {
	case s.variant == forgetReturns:
		delete(n.ledger.returned, id)
	case s.variant == anyOrder && p != nil:
		p.sequence = 0
	case s.variant == anyIncarnation:
		for _, loan := range hb.GetSlots().GetLends() {
			loan.Loan = loan.GetLoan()>>tagBits<<tagBits | loanTag(id, n.ledger.self)
		}
	}
	n.ledger.Incoming(hb)
}

// act performs one action on a live node.
func (s *simulation) act(n *node, action int) {
	switch {
	case action <= 60:
		for _, to := range s.nodes {
			s.send(n, to)
		}
	case action <= 110:
		behind := len(s.revisions) - int(n.applied)
		s.apply(n, s.revisions[len(s.revisions)-1-s.choose(behind+1)*s.choose(2)])
	case action <= 112:
		s.setHosts(n, s.choose(8)&s.choose(4), s.choose(8)&s.choose(4))
	case action <= 120:
		s.setHosts(n, 0, 0)
	case action <= 200:
		s.balance(n)
	case action <= 270:
		s.take(n)
	case len(n.tokens) > 0:
		s.release(n, s.choose(len(n.tokens)))
	}
}

func (s *simulation) send(from, to *node) {
	if from == to {
		return
	}
	from.sequence++
	hb := &pb.Heartbeat{Name: from.name, Incarnation: from.incarnation, Sequence: from.sequence}
	hb.Slots = from.ledger.Outgoing(to.name)
	s.inFlight = append(s.inFlight, message{to: to.name, hb: proto.CloneOf(hb)})
}

func (s *simulation) balance(n *node) {
	demand := func() []*pb.PoolDemand {
		return []*pb.PoolDemand{{Pool: simPool, Queued: int64(s.choose(3) * s.choose(5))}}
	}
	peers := map[string]PeerDemand{}
	for _, p := range s.nodes {
		if p != n {
			peers[p.name] = PeerDemand{Pools: demand(), Heard: s.now}
		}
	}
	n.ledger.Balance(s.now, demand(), peers)
	if s.variant == expiringLoans && s.choose(4) == 0 {
		for _, r := range n.ledger.lent {
			n.ledger.endLoan(r)
		}
	}
}

func (s *simulation) take(n *node) {
	t, err := n.ledger.Take("h" + strconv.Itoa(s.choose(simHosts)))
	if err != nil {
		return
	}
	key := slotKey{host: t.Host, index: t.Index}
	if user, ok := s.users[key]; ok {
		s.violation = fmt.Sprintf("slot %v taken by %s/%s while %s uses it", key, n.name, n.incarnation, user)
	}
	s.users[key] = n.name + "/" + n.incarnation
	n.tokens = append(n.tokens, t)
}

func (s *simulation) release(n *node, i int) {
	t := n.tokens[i]
	delete(s.users, slotKey{host: t.Host, index: t.Index})
	n.ledger.Release(t)
	n.ledger.Release(t)
	n.tokens = append(n.tokens[:i:i], n.tokens[i+1:]...)
}

// run performs simSteps steps and describes the first slot that was used twice; it returns "" if there is none.
func (s *simulation) run() string {
	for range simSteps {
		s.step()
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}
