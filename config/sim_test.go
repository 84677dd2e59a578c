package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	simTick     = 100 * time.Millisecond
	simBound    = 20 * simTick
	simDeadline = 60 * simTick
	simTimeout  = 8 // ticks until a call fails
	simDelay    = 3 // maximum ticks that a message is in transit
	simPeriod   = 3 // ticks between two heartbeats
)

// sim runs entry hosts with a store and a network that loses and delays messages and has partitions. It uses one
// goroutine and virtual time.
type sim struct {
	rng        *rand.Rand
	baseline   bool // the last writer wins, without staging
	loss       int  // one in loss messages is lost; 0 for none
	now        time.Time
	events     map[time.Time][]func()
	nodes      []*simNode
	storeDown  bool
	history    []simWrite
	members    []string // registered identities, by node
	records    []simRecord
	violations []string
}

type simWrite struct {
	cfg    *pb.Configuration
	writer int // number of the proposal
}

// simRecord is the record of one proposal.
type simRecord struct {
	proposal int
	changeID string
	cfg      *pb.Configuration
	outcome  Outcome
	endedAt  time.Time
}

type simNode struct {
	sim               *sim
	index             int
	incarnation       int
	stager            *Stager
	adopted           *pb.Configuration // the configuration in force in the baseline
	registered        bool
	joined            bool
	paused            bool
	partition         int // nodes reach only peers in the same partition
	storeDisconnected bool
	knownMembers      []string // registered identities, as last read
	proposals         []*simProposal
	highestGeneration uint64
}

type simProposal struct {
	*Proposal
	number  int
	id      string
	version int
}

func newSim(seed uint64, nodes int, baseline bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), baseline: baseline, loss: 10, now: time.Unix(1000, 0), events: map[time.Time][]func(){}}
	s.history = []simWrite{{cfg: &pb.Configuration{Generation: 1, ChangeId: "first"}, writer: -1}}
	for i := range nodes {
		n := &simNode{sim: s, index: i}
		s.nodes = append(s.nodes, n)
		s.members = append(s.members, "")
		n.start()
	}
	s.run(4 * simTimeout)
	return s
}

func (s *sim) lost() bool { return s.loss > 0 && s.rng.IntN(s.loss) == 0 }

func (s *sim) stored() *pb.Configuration { return s.history[len(s.history)-1].cfg }

func (s *sim) after(ticks int, f func()) {
	at := s.now.Add(time.Duration(ticks) * simTick)
	s.events[at] = append(s.events[at], f)
}

// deliver calls f for n after a delay. It waits while n is paused, and drops f if n is no longer that incarnation.
func (s *sim) deliver(n *simNode, incarnation, ticks int, f func()) {
	var try func()
	try = func() {
		switch {
		case n.incarnation != incarnation:
		case n.paused:
			s.after(1, try)
		default:
			f()
		}
	}
	s.after(ticks, try)
}

// call runs execute remotely and then the returned function at n. If that exceeds the timeout, it runs onFailure
// instead.
func (s *sim) call(n *simNode, reach func() bool, execute func() func(), onFailure func()) {
	answered, incarnation := false, n.incarnation
	finish := func(f func()) func() {
		return func() {
			if !answered {
				answered = true
				f()
			}
		}
	}
	s.deliver(n, incarnation, simTimeout, finish(onFailure))
	if !reach() || s.lost() {
		return
	}
	s.after(1+s.rng.IntN(simDelay), func() {
		reply := execute()
		if reply != nil && reach() && !s.lost() {
			s.deliver(n, incarnation, 1+s.rng.IntN(simDelay), finish(reply))
		}
	})
}

// callPeer runs execute at the peer, unless the peer is paused or has restarted by then.
func (s *sim) callPeer(n, peer *simNode, execute func() func(), onFailure func()) {
	incarnation := peer.incarnation
	reach := func() bool { return n.partition == peer.partition && peer.incarnation == incarnation }
	s.call(n, reach, func() func() {
		if peer.paused || peer.incarnation != incarnation {
			return nil
		}
		return execute()
	}, onFailure)
}

// callStore runs execute in the store. A write in transit is executed even if its sender is paused or has restarted.
func (s *sim) callStore(n *simNode, execute func() func(), onFailure func()) {
	reach := func() bool { return !s.storeDown && !n.storeDisconnected }
	s.call(n, reach, execute, onFailure)
}

func (s *sim) run(ticks int) {
	for range ticks {
		s.now = s.now.Add(simTick)
		for len(s.events[s.now]) > 0 {
			due := s.events[s.now]
			delete(s.events, s.now)
			for _, f := range due {
				f()
			}
		}
		for _, n := range s.nodes {
			if !n.paused {
				n.tick()
			}
		}
		s.checkInvariants()
	}
}

func (n *simNode) identity() string { return fmt.Sprintf("e%d/%d", n.index, n.incarnation) }

// start starts a new process on the same host.
func (n *simNode) start() {
	n.incarnation++
	n.stager = NewStager(simBound)
	n.adopted, n.registered, n.joined, n.paused, n.proposals, n.highestGeneration = nil, false, false, false, nil, 0
	n.knownMembers = nil
}

func (n *simNode) current() *pb.Configuration {
	return lo.Ternary(n.sim.baseline, n.adopted, n.stager.Current())
}

// receiveConfig handles a configuration from the store or a peer.
func (n *simNode) receiveConfig(cfg *pb.Configuration) {
	n.adopted = cfg
	n.stager.Accept(n.sim.now, cfg)
}

func (n *simNode) ready() bool {
	_, unsettled := n.stager.Unsettled(n.sim.now)
	return !n.paused && n.joined && (n.sim.baseline || !unsettled)
}

func (n *simNode) tick() {
	s := n.sim
	n.stager.PeerReported(s.now, n.report())
	for _, p := range n.proposals {
		n.execute(p, p.Tick(s.now))
	}
	if (int(s.now.UnixMilli()/simTick.Milliseconds())+n.index)%simPeriod != 0 {
		return
	}
	n.pollStore()
	for _, peer := range lo.Without(s.nodes, n) {
		n.exchange(peer)
	}
}

func (n *simNode) report() Report {
	return Report{Peer: n.identity(), Generation: n.current().GetGeneration(), Ready: n.ready(), Registered: n.registered}
}

// pollStore registers n, and once n is registered reads the configuration and the members.
func (n *simNode) pollStore() {
	s, startedAt, registered := n.sim, n.sim.now, n.registered
	s.callStore(n, func() func() {
		if !registered {
			s.members[n.index] = n.identity()
			return func() { n.registered = true }
		}
		cfg, members := s.stored(), append([]string(nil), s.members...)
		return func() {
			for _, gone := range lo.Without(n.knownMembers, members...) {
				n.stager.Gone(s.now, gone)
			}
			n.knownMembers, n.joined = members, true
			for _, p := range n.proposals {
				n.execute(p, p.SetMembers(s.now, append([]string{n.identity()}, members...)))
			}
			n.receiveConfig(cfg)
			n.stager.Confirm(startedAt, cfg.GetGeneration())
			n.stager.Registered()
		}
	}, func() {})
}

// exchange sends a heartbeat. A node that could not join through the store joins through the peer.
func (n *simNode) exchange(peer *simNode) {
	s, startedAt := n.sim, n.sim.now
	s.callPeer(n, peer, func() func() {
		report, cfg := peer.report(), peer.current()
		return func() {
			if cfg.GetGeneration() > n.current().GetGeneration() {
				n.receiveConfig(cfg)
			}
			n.stager.PeerReported(startedAt, report)
			if !n.joined && (s.storeDown || n.storeDisconnected) && report.Ready && report.Registered {
				n.joined = true
				n.stager.JoinAsGuest(startedAt)
			}
		}
	}, func() {})
}

// propose starts a proposal. A changeID that was used before repeats that change.
func (n *simNode) propose(changeID string) {
	s := n.sim
	if !n.joined || !n.registered || n.paused {
		return
	}
	cfg := &pb.Configuration{Generation: n.current().GetGeneration() + 1, ChangeId: changeID}
	if earlier, found := lo.Find(s.records, func(r simRecord) bool { return r.changeID == changeID }); found {
		cfg = earlier.cfg
	}
	number := len(s.records)
	s.records = append(s.records, simRecord{proposal: number, changeID: changeID, cfg: cfg})
	p := &simProposal{number: number, id: ProposerID(n.identity(), uint64(number))}
	if s.baseline {
		n.overwrite(number, cfg)
		return
	}
	p.Proposal = NewProposal(cfg, append([]string{n.identity()}, n.knownMembers...), s.now.Add(simDeadline), n.stager.ChangeAt)
	p.version = int(cfg.GetGeneration()) - 1
	n.proposals = append(n.proposals, p)
	n.execute(p, p.Start(s.now))
}

// overwrite is the baseline: it writes, and writes again if there is no response.
func (n *simNode) overwrite(number int, cfg *pb.Configuration) {
	s := n.sim
	s.callStore(n, func() func() {
		next := proto.CloneOf(cfg)
		next.Generation = s.stored().GetGeneration() + 1
		s.history = append(s.history, simWrite{cfg: next, writer: number})
		return func() {
			n.adopted = next
			s.endProposal(number, next, Outcome{Kind: Accepted})
		}
	}, func() { n.overwrite(number, cfg) })
}

func (s *sim) endProposal(number int, cfg *pb.Configuration, outcome Outcome) {
	r := &s.records[number]
	r.cfg, r.outcome, r.endedAt = cfg, outcome, s.now
}
