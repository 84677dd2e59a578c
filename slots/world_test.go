package slots

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// The generated histories run on few hosts and members, so that they meet often.
const (
	worldMembers  = 4
	worldHosts    = 2
	slotsPerHost  = 2
	worldPool     = "p"
	stepsPerWorld = 800
)

// naive switches one safeguard off.
type naive int

const (
	correct naive = iota
	expiringLoans
	noBarrierOnAcquire
	settleUnheard
	forgetReturns
	anyIncarnation
	anyOrder
)

// node is one process: an incarnation of a member.
type node struct {
	name, incarnation string
	ledger            *Ledger
	applied           uint64
	sequence          uint64
	tokens            []Token
	dead, frozen      bool
}

// message is a heartbeat on its way to whichever process has the name when it arrives.
type message struct {
	to string
	hb *pb.Heartbeat
}

// world runs ledgers over a bad network and under a changing fleet. Choose picks one of n.
type world struct {
	choose func(n int) int
	naive  naive
	now    time.Time
	nodes  []*node
	fleet  *pb.Fleet
	past   []*pb.Fleet
	net    []message
	// late are messages held up or doubled on their way.
	late   []message
	starts int
	users  map[slotKey]string
	fault  string
}

func newWorld(choose func(n int) int, n naive) *world {
	w := &world{choose: choose, naive: n, now: time.Unix(0, 0), users: map[slotKey]string{}, fleet: &pb.Fleet{Revision: 1}}
	for i := range worldMembers {
		w.nodes = append(w.nodes, nil)
		w.register(i)
	}
	w.fleet.Owners = w.someOwners()
	w.past = []*pb.Fleet{proto.CloneOf(w.fleet)}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// register puts a new process in a member's place.
func (w *world) register(i int) {
	w.starts++
	name := "e" + strconv.Itoa(i)
	n := &node{name: name, incarnation: "i" + strconv.Itoa(w.starts)}
	w.nodes[i] = n
	w.removeMember(name)
	w.fleet.Members = append(w.fleet.Members, &pb.Member{Name: name, Incarnation: n.incarnation})
}

func (w *world) removeMember(name string) {
	var kept []*pb.Member
	for _, m := range w.fleet.GetMembers() {
		if m.GetName() != name {
			kept = append(kept, m)
		}
	}
	w.fleet.Members = kept
}

// start gives a process its first view, which may be older than its own entry.
func (w *world) start(n *node) {
	n.ledger = NewLedger(&pb.Owner{Name: n.name, Incarnation: n.incarnation})
	w.setHosts(n, 0, 0)
	w.apply(n, w.past[max(0, len(w.past)-1-w.choose(4)*w.choose(2))])
}

// setHosts gives a node its list of hosts, with the closed and the missing ones as bits.
func (w *world) setHosts(n *node, closed, missing int) {
	var hosts []HostSlots
	for h := range worldHosts {
		if missing>>h&1 == 0 {
			hosts = append(hosts, HostSlots{Host: "h" + strconv.Itoa(h), Pool: worldPool, Slots: slotsPerHost, Closed: closed>>h&1 == 1})
		}
	}
	n.ledger.SetHosts(hosts)
}

func (w *world) apply(n *node, f *pb.Fleet) {
	n.ledger.SetOwners(f)
	n.applied = f.GetRevision()
	if w.naive == noBarrierOnAcquire {
		for k, r := range n.ledger.waiting {
			r.acquired = 0
			delete(n.ledger.waiting, k)
		}
		n.ledger.recountAll()
	}
}

// write commits the fleet under a new revision.
func (w *world) write() {
	w.fleet.Revision++
	w.past = append(w.past, proto.CloneOf(w.fleet))
}

func (w *world) someOwners() *pb.OwnerSet {
	set := &pb.OwnerSet{}
	for _, m := range w.fleet.GetMembers() {
		if w.choose(4) > 0 {
			set.Owners = append(set.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
		}
	}
	return set
}

// settle makes the next owners the owners once every member has applied them.
func (w *world) settle() {
	if w.fleet.GetNextOwners() == nil {
		return
	}
	for _, m := range w.fleet.GetMembers() {
		n := w.node(m.GetName())
		if w.naive != settleUnheard && (n.incarnation != m.GetIncarnation() || n.applied < w.fleet.GetSettleRevision()) {
			return
		}
	}
	w.fleet.PreviousOwners, w.fleet.Owners, w.fleet.NextOwners = w.fleet.GetOwners(), w.fleet.GetNextOwners(), nil
	w.write()
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// step does one thing, to one node that may be dead or frozen.
func (w *world) step() {
	w.now = w.now.Add(returnAfter / 2)
	i := w.choose(len(w.nodes))
	n := w.nodes[i]
	switch action := w.choose(500); {
	case action == 0:
		w.kill(n)
	case action <= 30 && n.dead:
		w.register(i)
		w.write()
		w.start(w.nodes[i])
	case action <= 40 && n.dead:
		w.removeMember(n.name)
		w.write()
	case action <= 3 && w.fleet.GetNextOwners() == nil:
		w.fleet.NextOwners = w.someOwners()
		w.fleet.SettleRevision = w.fleet.GetRevision() + 1
		w.write()
	case action <= 60:
		w.settle()
	case action <= 62 || action <= 100 && n.frozen:
		n.frozen = !n.frozen
	case action <= 180:
		w.network()
	case !n.dead && !n.frozen:
		w.act(n, action-180)
	}
}

func (w *world) kill(n *node) {
	n.dead = true
	for _, t := range n.tokens {
		delete(w.users, slotKey{host: t.Host, index: t.Index})
	}
	n.tokens = nil
}

// network delivers, doubles, delays or loses some messages.
func (w *world) network() {
	for range w.choose(6) {
		queue := &w.net
		if w.choose(4) == 0 {
			queue = &w.late
		}
		if len(*queue) == 0 {
			return
		}
		i := w.choose(len(*queue)) * w.choose(2)
		m := (*queue)[i]
		*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
		fate := w.choose(10)
		if fate <= 2 {
			w.late = append(w.late, m)
		}
		if n := w.node(m.to); fate >= 2 && !n.dead && !n.frozen {
			w.deliver(n, m.hb)
		}
	}
}

func (w *world) deliver(n *node, hb *pb.Heartbeat) {
	id := memberID{name: hb.GetName(), incarnation: hb.GetIncarnation()}
	p := n.ledger.peers[id]
	hb = proto.CloneOf(hb)
	switch {
	case w.naive == forgetReturns:
		delete(n.ledger.returned, id)
	case w.naive == anyOrder && p != nil:
		p.sequence = 0
	case w.naive == anyIncarnation:
		for _, loan := range hb.GetSlots().GetLends() {
			loan.Loan = loan.GetLoan()>>tagBits<<tagBits | loanTag(id, n.ledger.self)
		}
	}
	n.ledger.Incoming(hb)
}

// act lets a live node do one thing.
func (w *world) act(n *node, action int) {
	switch {
	case action <= 60:
		for _, to := range w.nodes {
			w.send(n, to)
		}
	case action <= 110:
		behind := len(w.past) - int(n.applied)
		w.apply(n, w.past[len(w.past)-1-w.choose(behind+1)*w.choose(2)])
	case action <= 112:
		w.setHosts(n, w.choose(8)&w.choose(4), w.choose(8)&w.choose(4))
	case action <= 120:
		w.setHosts(n, 0, 0)
	case action <= 200:
		w.balance(n)
	case action <= 270:
		w.take(n)
	case len(n.tokens) > 0:
		w.release(n, w.choose(len(n.tokens)))
	}
}

func (w *world) send(from, to *node) {
	if from == to {
		return
	}
	from.sequence++
	hb := &pb.Heartbeat{Name: from.name, Incarnation: from.incarnation, Sequence: from.sequence}
	hb.Slots = from.ledger.Outgoing(to.name)
	w.net = append(w.net, message{to: to.name, hb: proto.CloneOf(hb)})
}

func (w *world) balance(n *node) {
	demand := func() []*pb.PoolDemand {
		return []*pb.PoolDemand{{Pool: worldPool, Queued: int64(w.choose(3) * w.choose(5))}}
	}
	peers := map[string]PeerDemand{}
	for _, p := range w.nodes {
		if p != n {
			peers[p.name] = PeerDemand{Pools: demand(), Heard: w.now}
		}
	}
	n.ledger.Balance(w.now, demand(), peers)
	if w.naive == expiringLoans && w.choose(4) == 0 {
		for _, r := range n.ledger.lent {
			n.ledger.endLoan(r)
		}
	}
}

func (w *world) take(n *node) {
	t, err := n.ledger.Take("h" + strconv.Itoa(w.choose(worldHosts)))
	if err != nil {
		return
	}
	key := slotKey{host: t.Host, index: t.Index}
	if user, ok := w.users[key]; ok {
		w.fault = fmt.Sprintf("slot %v taken by %s/%s while %s uses it", key, n.name, n.incarnation, user)
	}
	w.users[key] = n.name + "/" + n.incarnation
	n.tokens = append(n.tokens, t)
}

func (w *world) release(n *node, i int) {
	t := n.tokens[i]
	delete(w.users, slotKey{host: t.Host, index: t.Index})
	n.ledger.Release(t)
	n.ledger.Release(t)
	n.tokens = append(n.tokens[:i:i], n.tokens[i+1:]...)
}

// run does many steps and says whether a slot was used twice.
func (w *world) run() string {
	for range stepsPerWorld {
		w.step()
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}
