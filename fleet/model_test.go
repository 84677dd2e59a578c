package fleet_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

const pauseLimit = 2 * time.Second

// variant selects faults that the simulation injects into the rules; the zero value injects none.
type variant struct {
	// leaseRelease counts members as released that have not reported for the duration of a lease.
	leaseRelease bool
	// backwardGate applies every fleet, also one with a lower revision.
	backwardGate bool
	// noGuests ignores guests in heartbeats.
	noGuests bool
	// anyOrder keeps the heartbeat that was received last instead of the one that was sent last.
	anyOrder bool
	// blindWrite writes without comparing the version.
	blindWrite bool
}

// intNFunc draws a number below n.
type intNFunc func(n int) int

type fleetGate interface {
	Apply(f *pb.Fleet) bool
	Begin(host, pool string, now time.Time) (func(), error)
	Check(host, pool string) error
	Snapshot(now time.Time) (uint64, []*pb.HeldHost)
	Fleet() *pb.Fleet
	Busy() bool
}

// resettingGate is reset by each fleet that it applies, newer or not.
type resettingGate struct{ *fleet.Gate }

func (g *resettingGate) Apply(f *pb.Fleet) bool {
	g.Gate = fleet.NewGate()
	return g.Gate.Apply(f)
}

type request struct {
	host, pool string
	sent       bool
	release    func()
}

// process is an entry host. It is a guest until it has registered, and known once it has registered or has a sponsor.
type process struct {
	pb.Member
	gate        fleetGate
	paused      bool
	dead        bool
	diedAt      time.Time
	partitioned bool
	guest       bool
	known       bool
	requests    []*request
	sequence    uint64
	guests      []*process
}

func (p *process) isRunning() bool { return !p.paused && !p.dead }

// controllerProcess is a process that considers itself the controller.
type controllerProcess struct {
	name       string
	lastRead   *pb.Fleet
	version    int
	heartbeats map[string]fleet.Received
}

type simulation struct {
	variant     variant
	intN        intNFunc
	now         time.Time
	cfg         *pb.Configuration
	stored      *pb.Fleet
	version     int
	storeUp     bool
	history     []*pb.Fleet
	processes   []*process
	controllers []*controllerProcess
	inTransit   []*pb.Heartbeat
	running     map[string]map[string]int
	started     int
	orders      int
	moved       int
	violation   string
}

func newSimulation(v variant, intN intNFunc) *simulation {
	s := &simulation{variant: v, intN: intN, now: time.Unix(1e6, 0), storeUp: true, running: map[string]map[string]int{}}
	s.cfg = &pb.Configuration{}
	for i := range 4 {
		s.cfg.Hosts = append(s.cfg.Hosts, &pb.Host{Name: fmt.Sprintf("w%d", i), Pool: pools[i%2]})
	}
	s.stored = fleet.Reconcile(&pb.Fleet{}, s.cfg, s.now)
	for _, name := range []string{"a", "b"} {
		s.controllers = append(s.controllers, &controllerProcess{name: name, heartbeats: map[string]fleet.Received{}})
	}
	for i := range 3 {
		s.start(fmt.Sprintf("e%d", i))
	}
	return s
}

var pools = []string{"tastings", "labelling", "exports"}

func (s *simulation) violationf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// step performs one random action.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.intN(8)) * 250 * time.Millisecond)
	alive := slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p.dead })
	p := alive[s.intN(len(alive))]
	actions := []func(){
		func() { s.begin(p) }, func() { s.begin(p) }, func() { s.send(p) }, func() { s.send(p) }, func() { s.finish(p) },
		func() { s.apply(p) }, func() { s.apply(p) }, func() { s.applyOld(p) },
		func() { s.report(p) }, func() { s.report(p) }, s.deliver, s.deliver, s.deliver,
		s.readFleet, s.decide, s.decide, s.decide,
		func() { p.paused = s.intN(3) == 0 }, func() { p.partitioned = s.intN(3) == 0 }, func() { s.storeUp = s.intN(4) > 0 },
		s.reportAll, s.reportAll, s.reportAll,
		func() { s.kill(p) }, func() { s.join(p) }, func() { s.register(p) }, func() { s.leave(p) },
	}
	actions[s.intN(len(actions))]()
}

func (s *simulation) start(name string) *process {
	s.started++
	p := &process{Member: pb.Member{Name: name, Incarnation: fmt.Sprintf("i%d", s.started)}, gate: fleet.NewGate()}
	if s.variant.backwardGate {
		p.gate = &resettingGate{Gate: fleet.NewGate()}
	}
	p.guest = true
	s.processes = append(s.processes, p)
	s.register(p)
	return p
}

// register writes a new process into the fleet if it can reach the store.
func (s *simulation) register(p *process) {
	if !p.isRunning() || !p.guest || p.partitioned || !s.storeUp {
		return
	}
	f, err := fleet.Register(s.stored, &p.Member)
	if err == nil {
		f, err = fleet.NextWrite(f, f.Term, f.Controller, p.Incarnation)
	}
	if err != nil {
		s.violationf("register: %v", err)
		return
	}
	s.write(f, s.version)
	p.guest = false
	p.known = true
	p.gate.Apply(f)
}

func (s *simulation) write(f *pb.Fleet, version int) bool {
	if !s.storeUp || (version != s.version && !s.variant.blindWrite) {
		return false
	}
	if f.Revision != s.stored.Revision+1 || f.Term < s.stored.Term {
		s.violationf("revision %d term %d written over revision %d term %d", f.Revision, f.Term, s.stored.Revision, s.stored.Term)
	}
	for i, h := range f.Hosts {
		if h.Pool != s.stored.Hosts[i].Pool {
			s.moved++
		}
	}
	s.stored = f
	s.version++
	s.history = append(s.history, f)
	return true
}

// begin counts a request as in flight; a later send sends it.
func (s *simulation) begin(p *process) {
	i := s.intN(len(s.cfg.Hosts))
	host := s.cfg.Hosts[i].Name
	pool := pools[s.intN(len(pools))]
	if !p.isRunning() {
		return
	}
	if f := p.gate.Fleet(); f != nil && s.intN(4) > 0 {
		pool = f.Hosts[i].Pool
	}
	if release, err := p.gate.Begin(host, pool, s.now); err == nil {
		p.requests = append(p.requests, &request{host: host, pool: pool, release: release})
	}
}

func (s *simulation) send(p *process) {
	if !p.isRunning() {
		return
	}
	for _, r := range p.requests {
		if r.sent {
			continue
		}
		if p.gate.Check(r.host, r.pool) == nil {
			s.receiveRequest(p, r)
			return
		}
	}
}

// receiveRequest is the worker. It checks that requests of only one pool run on it at any time.
func (s *simulation) receiveRequest(p *process, r *request) {
	r.sent = true
	on := s.running[r.host]
	if on == nil {
		on = map[string]int{}
		s.running[r.host] = on
	}
	on[r.pool]++
	for pool, n := range on {
		if pool != r.pool && n > 0 {
			s.violationf("%s sent a request of %s to %s, which runs %d of %s", p.Incarnation, r.pool, r.host, n, pool)
		}
	}
}

func (s *simulation) finish(p *process) {
	if !p.isRunning() || len(p.requests) == 0 {
		return
	}
	s.endRequest(p, s.intN(len(p.requests)))
}

func (s *simulation) endRequest(p *process, i int) {
	r := p.requests[i]
	if r.sent {
		s.running[r.host][r.pool]--
	}
	r.release()
	p.requests = slices.Delete(p.requests, i, i+1)
}

func (s *simulation) apply(p *process) {
	if p.isRunning() && p.known && !p.partitioned && s.storeUp {
		p.gate.Apply(s.stored)
	}
}

// applyOld gives a process an earlier fleet, as a lagging peer does.
func (s *simulation) applyOld(p *process) {
	if p.isRunning() && p.known {
		p.gate.Apply(s.history[s.intN(len(s.history))])
	}
}

// join starts a process that learns the fleet from a member that sponsors it.
func (s *simulation) join(sponsor *process) {
	if !sponsor.isRunning() || !sponsor.known || s.started > 8 {
		return
	}
	was := s.storeUp
	s.storeUp = false
	p := s.start(fmt.Sprintf("g%d", s.started))
	s.storeUp = was
	p.partitioned = true
	p.known = true
	sponsor.guests = append(sponsor.guests, p)
	p.gate.Apply(sponsor.gate.Fleet())
}

func (s *simulation) report(p *process) {
	if !p.isRunning() {
		return
	}
	p.guests = slices.DeleteFunc(p.guests, func(g *process) bool { return g.dead || !g.guest })
	p.sequence++
	h := &pb.Heartbeat{Name: p.Name, Incarnation: p.Incarnation, Sequence: p.sequence}
	h.FleetRevision, h.HeldHosts = p.gate.Snapshot(s.now)
	for _, g := range p.guests {
		if !s.variant.noGuests {
			h.Guests = append(h.Guests, proto.CloneOf(&g.Member))
		}
	}
	s.inTransit = append(s.inTransit, h)
}

// deliver delivers a random heartbeat in transit to a controller process. A heartbeat may be delivered again or never.
func (s *simulation) deliver() {
	if len(s.inTransit) == 0 {
		return
	}
	i := s.intN(len(s.inTransit))
	s.receive(s.controllers[s.intN(2)], s.inTransit[i])
	if s.intN(2) == 0 {
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
}

func (s *simulation) receive(c *controllerProcess, h *pb.Heartbeat) {
	if s.variant.anyOrder {
		h = proto.CloneOf(h)
		h.Sequence = c.heartbeats[h.Incarnation].Heartbeat.GetSequence() + 1
	}
	fleet.Record(c.heartbeats, h, s.now)
}

// reportAll lets each running process apply the fleet and report. One controller process receives most of the reports
// and reads the fleet.
func (s *simulation) reportAll() {
	c := s.controllers[s.intN(2)]
	for _, p := range s.processes {
		s.apply(p)
		s.report(p)
		if p.isRunning() && s.intN(8) > 0 {
			s.receive(c, s.inTransit[len(s.inTransit)-1])
		}
	}
	if s.storeUp {
		c.lastRead = s.stored
		c.version = s.version
	}
}

func (s *simulation) kill(p *process) {
	if s.intN(3) > 0 || s.hasUnreportedGuests(p) || s.aliveCount() < 3 {
		return
	}
	s.terminate(p)
	if s.intN(2) == 0 && s.started <= 12 {
		s.start(p.Name)
	}
}

func (s *simulation) aliveCount() int {
	n := 0
	for _, p := range s.processes {
		if !p.dead {
			n++
		}
	}
	return n
}

func (s *simulation) terminate(p *process) {
	for len(p.requests) > 0 {
		s.endRequest(p, 0)
	}
	p.dead = true
	p.diedAt = s.now
}

// hasUnreportedGuests reports whether a process has a guest that is not yet reported to every controller process. If
// such a sponsor dies, no controller knows its guest; FLEET.md lists this case as not proved.
func (s *simulation) hasUnreportedGuests(p *process) bool {
	for _, g := range p.guests {
		for _, c := range s.controllers {
			named := slices.ContainsFunc(c.heartbeats[p.Incarnation].Heartbeat.GetGuests(), func(x *pb.Member) bool {
				return x.Incarnation == g.Incarnation
			})
			if g.guest && !g.dead && !named {
				return true
			}
		}
	}
	return false
}

func (s *simulation) leave(p *process) {
	guests := slices.ContainsFunc(p.guests, func(g *process) bool { return g.guest && !g.dead })
	if !p.isRunning() || p.guest || p.partitioned || !s.storeUp || p.gate.Busy() || guests || s.aliveCount() < 3 || s.intN(3) > 0 {
		return
	}
	f, _ := fleet.Leave(s.stored, p.Name, p.Incarnation)
	if f, err := fleet.NextWrite(f, f.Term, f.Controller, p.Incarnation); err == nil && s.write(f, s.version) {
		s.terminate(p)
	}
}
