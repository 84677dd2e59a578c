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
	simTimeout  = 8 // ticks until a call counts as failed
	simDelay    = 3 // most ticks that a message is under way
	simPeriod   = 3 // ticks between two heartbeats
)

// sim runs entry hosts with a store and a network that loses, delays and cuts; one goroutine, virtual time.
type sim struct {
	rng     *rand.Rand
	naive   bool // last writer wins, without staging
	loss    int  // one message in so many is lost; 0 for none
	now     time.Time
	events  map[time.Time][]func()
	nodes   []*simNode
	down    bool // the store
	history []simWrite
	members []string // registered identities, by node
	reports []simReport
	faults  []string
}

type simWrite struct {
	cfg    *pb.Configuration
	writer int // number of the proposal
}

type simReport struct {
	proposal int
	changeID string
	cfg      *pb.Configuration
	outcome  Outcome
	at       time.Time
}

type simNode struct {
	sim         *sim
	index       int
	incarnation int
	stager      *Stager
	adopted     *pb.Configuration // by the naive version
	registered  bool
	joined      bool
	paused      bool
	side        int // peers on another side are not reached
	storeCut    bool
	known       []string // registered identities, as last read
	proposals   []*simProposal
	highest     uint64
}

type simProposal struct {
	*Proposal
	number  int
	id      string
	version int
}

func newSim(seed uint64, nodes int, naive bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), naive: naive, loss: 10, now: time.Unix(1000, 0), events: map[time.Time][]func(){}}
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

// deliver calls f for n after a delay, later while n is paused, never when n is not that incarnation any more.
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

// call runs execute elsewhere and then what it returns at n; onFailure instead when that takes too long.
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

// callPeer executes at the peer, unless it is paused or restarted by then.
func (s *sim) callPeer(n, peer *simNode, execute func() func(), onFailure func()) {
	incarnation := peer.incarnation
	reach := func() bool { return n.side == peer.side && peer.incarnation == incarnation }
	s.call(n, reach, func() func() {
		if peer.paused || peer.incarnation != incarnation {
			return nil
		}
		return execute()
	}, onFailure)
}

// callStore executes in the store. A write under way is carried out even when its sender is paused or gone.
func (s *sim) callStore(n *simNode, execute func() func(), onFailure func()) {
	reach := func() bool { return !s.down && !n.storeCut }
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
		s.judge()
	}
}

func (n *simNode) identity() string { return fmt.Sprintf("e%d/%d", n.index, n.incarnation) }

// start is a new process on the same host.
func (n *simNode) start() {
	n.incarnation++
	n.stager = NewStager(simBound)
	n.adopted, n.registered, n.joined, n.paused, n.proposals, n.highest = nil, false, false, false, nil, 0
	n.known = nil
}

func (n *simNode) current() *pb.Configuration {
	return lo.Ternary(n.sim.naive, n.adopted, n.stager.Current())
}

// shown takes in a configuration from the store or a peer.
func (n *simNode) shown(cfg *pb.Configuration) {
	n.adopted = cfg
	n.stager.Accept(n.sim.now, cfg)
}

func (n *simNode) ready() bool {
	_, unsettled := n.stager.Unsettled(n.sim.now)
	return !n.paused && n.joined && (n.sim.naive || !unsettled)
}

func (n *simNode) tick() {
	s := n.sim
	n.stager.Heard(s.now, n.report())
	for _, p := range n.proposals {
		n.act(p, p.Tick(s.now))
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

// pollStore registers n first, and then follows the store.
func (n *simNode) pollStore() {
	s, began, registered := n.sim, n.sim.now, n.registered
	s.callStore(n, func() func() {
		if !registered {
			s.members[n.index] = n.identity()
			return func() { n.registered = true }
		}
		cfg, members := s.stored(), append([]string(nil), s.members...)
		return func() {
			for _, gone := range lo.Without(n.known, members...) {
				n.stager.Gone(s.now, gone)
			}
			n.known, n.joined = members, true
			for _, p := range n.proposals {
				n.act(p, p.SetMembers(s.now, append([]string{n.identity()}, members...)))
			}
			n.shown(cfg)
			n.stager.Confirm(began, cfg.GetGeneration())
			n.stager.Registered()
		}
	}, func() {})
}

// exchange is a heartbeat; one that could not join through the store joins through the peer.
func (n *simNode) exchange(peer *simNode) {
	s, began := n.sim, n.sim.now
	s.callPeer(n, peer, func() func() {
		report, cfg := peer.report(), peer.current()
		return func() {
			if cfg.GetGeneration() > n.current().GetGeneration() {
				n.shown(cfg)
			}
			n.stager.Heard(began, report)
			if !n.joined && (s.down || n.storeCut) && report.Ready && report.Registered {
				n.joined = true
				n.stager.JoinAsGuest(began)
			}
		}
	}, func() {})
}

// propose starts a proposal; a changeID that was used before repeats that change.
func (n *simNode) propose(changeID string) {
	s := n.sim
	if !n.joined || !n.registered || n.paused {
		return
	}
	cfg := &pb.Configuration{Generation: n.current().GetGeneration() + 1, ChangeId: changeID}
	if earlier, found := lo.Find(s.reports, func(r simReport) bool { return r.changeID == changeID }); found {
		cfg = earlier.cfg
	}
	number := len(s.reports)
	s.reports = append(s.reports, simReport{proposal: number, changeID: changeID, cfg: cfg})
	p := &simProposal{number: number, id: ProposerID(n.identity(), uint64(number))}
	if s.naive {
		n.overwrite(number, cfg)
		return
	}
	p.Proposal = NewProposal(cfg, append([]string{n.identity()}, n.known...), s.now.Add(simDeadline), n.stager.ChangeAt)
	p.version = int(cfg.GetGeneration()) - 1
	n.proposals = append(n.proposals, p)
	n.act(p, p.Start(s.now))
}

// overwrite is the naive version: write, and write again when no answer comes.
func (n *simNode) overwrite(number int, cfg *pb.Configuration) {
	s := n.sim
	s.callStore(n, func() func() {
		next := proto.CloneOf(cfg)
		next.Generation = s.stored().GetGeneration() + 1
		s.history = append(s.history, simWrite{cfg: next, writer: number})
		return func() {
			n.adopted = next
			s.end(number, next, Outcome{Kind: Accepted})
		}
	}, func() { n.overwrite(number, cfg) })
}

func (s *sim) end(number int, cfg *pb.Configuration, outcome Outcome) {
	r := &s.reports[number]
	r.cfg, r.outcome, r.at = cfg, outcome, s.now
}
