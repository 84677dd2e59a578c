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

// variant is what the model runs with; the zero value is the real thing.
type variant struct {
	// leaseRelease counts members as released that were not heard for a lease's time.
	leaseRelease bool
	// backwardGate applies whatever fleet is shown.
	backwardGate bool
	// noGuests ignores guests in heartbeats.
	noGuests bool
	// anyOrder keeps the heartbeat that came last, whichever was sent last.
	anyOrder bool
	// blindWrite writes without comparing the version.
	blindWrite bool
}

// chooser draws a number below n.
type chooser func(n int) int

type viewer interface {
	Apply(f *pb.Fleet) bool
	Begin(host, pool string, now time.Time) (func(), error)
	Check(host, pool string) error
	Snapshot(now time.Time) (uint64, []*pb.HeldHost)
	Fleet() *pb.Fleet
	Busy() bool
}

// naiveGate starts anew with each fleet that it is shown, newer or not.
type naiveGate struct{ *fleet.Gate }

func (g *naiveGate) Apply(f *pb.Fleet) bool {
	g.Gate = fleet.NewGate()
	return g.Gate.Apply(f)
}

type request struct {
	host, pool string
	sent       bool
	release    func()
}

// process is an entry host. It is a guest until it has registered, and known once it has, or has a sponsor.
type process struct {
	pb.Member
	gate     viewer
	frozen   bool
	dead     bool
	diedAt   time.Time
	cut      bool
	guest    bool
	known    bool
	requests []*request
	sequence uint64
	guests   []*process
}

func (p *process) runs() bool { return !p.frozen && !p.dead }

// manager is a process that believes it is the controller.
type manager struct {
	name    string
	read    *pb.Fleet
	version int
	heard   map[string]fleet.Received
}

type world struct {
	v         variant
	choose    chooser
	now       time.Time
	cfg       *pb.Configuration
	value     *pb.Fleet
	version   int
	up        bool
	history   []*pb.Fleet
	processes []*process
	managers  []*manager
	transit   []*pb.Heartbeat
	running   map[string]map[string]int
	started   int
	orders    int
	moved     int
	fault     string
}

func newWorld(v variant, choose chooser) *world {
	w := &world{v: v, choose: choose, now: time.Unix(1e6, 0), up: true, running: map[string]map[string]int{}}
	w.cfg = &pb.Configuration{}
	for i := range 4 {
		w.cfg.Hosts = append(w.cfg.Hosts, &pb.Host{Name: fmt.Sprintf("w%d", i), Pool: pools[i%2]})
	}
	w.value = fleet.Reconcile(&pb.Fleet{}, w.cfg, w.now)
	for _, name := range []string{"a", "b"} {
		w.managers = append(w.managers, &manager{name: name, heard: map[string]fleet.Received{}})
	}
	for i := range 3 {
		w.start(fmt.Sprintf("e%d", i))
	}
	return w
}

var pools = []string{"tastings", "labelling", "exports"}

func (w *world) failf(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// step does one drawn action.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.choose(8)) * 250 * time.Millisecond)
	living := slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return p.dead })
	p := living[w.choose(len(living))]
	actions := []func(){
		func() { w.begin(p) }, func() { w.begin(p) }, func() { w.send(p) }, func() { w.send(p) }, func() { w.finish(p) },
		func() { w.apply(p) }, func() { w.apply(p) }, func() { w.applyOld(p) },
		func() { w.report(p) }, func() { w.report(p) }, w.deliver, w.deliver, w.deliver,
		w.readFleet, w.decide, w.decide, w.decide,
		func() { p.frozen = w.choose(3) == 0 }, func() { p.cut = w.choose(3) == 0 }, func() { w.up = w.choose(4) > 0 },
		w.gossip, w.gossip, w.gossip,
		func() { w.kill(p) }, func() { w.join(p) }, func() { w.register(p) }, func() { w.leave(p) },
	}
	actions[w.choose(len(actions))]()
}

func (w *world) start(name string) *process {
	w.started++
	p := &process{Member: pb.Member{Name: name, Incarnation: fmt.Sprintf("i%d", w.started)}, gate: fleet.NewGate()}
	if w.v.backwardGate {
		p.gate = &naiveGate{Gate: fleet.NewGate()}
	}
	p.guest = true
	w.processes = append(w.processes, p)
	w.register(p)
	return p
}

// register writes a new process into the fleet, if it reaches the store.
func (w *world) register(p *process) {
	if !p.runs() || !p.guest || p.cut || !w.up {
		return
	}
	f, err := fleet.Register(w.value, &p.Member)
	if err == nil {
		f, err = fleet.NextWrite(f, f.Term, f.Controller, p.Incarnation)
	}
	if err != nil {
		w.failf("register: %v", err)
		return
	}
	w.write(f, w.version)
	p.guest = false
	p.known = true
	p.gate.Apply(f)
}

func (w *world) write(f *pb.Fleet, version int) bool {
	if !w.up || (version != w.version && !w.v.blindWrite) {
		return false
	}
	if f.Revision != w.value.Revision+1 || f.Term < w.value.Term {
		w.failf("revision %d term %d written over revision %d term %d", f.Revision, f.Term, w.value.Revision, w.value.Term)
	}
	for i, h := range f.Hosts {
		if h.Pool != w.value.Hosts[i].Pool {
			w.moved++
		}
	}
	w.value = f
	w.version++
	w.history = append(w.history, f)
	return true
}

// begin counts a request as in flight; a later send writes it.
func (w *world) begin(p *process) {
	i := w.choose(len(w.cfg.Hosts))
	host := w.cfg.Hosts[i].Name
	pool := pools[w.choose(len(pools))]
	if !p.runs() {
		return
	}
	if f := p.gate.Fleet(); f != nil && w.choose(4) > 0 {
		pool = f.Hosts[i].Pool
	}
	if release, err := p.gate.Begin(host, pool, w.now); err == nil {
		p.requests = append(p.requests, &request{host: host, pool: pool, release: release})
	}
}

func (w *world) send(p *process) {
	if !p.runs() {
		return
	}
	for _, r := range p.requests {
		if r.sent {
			continue
		}
		if p.gate.Check(r.host, r.pool) == nil {
			w.arrive(p, r)
			return
		}
	}
}

// arrive is the worker, the judge: the requests of one pool only run on it at any moment.
func (w *world) arrive(p *process, r *request) {
	r.sent = true
	on := w.running[r.host]
	if on == nil {
		on = map[string]int{}
		w.running[r.host] = on
	}
	on[r.pool]++
	for pool, n := range on {
		if pool != r.pool && n > 0 {
			w.failf("%s sent a request of %s to %s, which runs %d of %s", p.Incarnation, r.pool, r.host, n, pool)
		}
	}
}

func (w *world) finish(p *process) {
	if !p.runs() || len(p.requests) == 0 {
		return
	}
	w.end(p, w.choose(len(p.requests)))
}

func (w *world) end(p *process, i int) {
	r := p.requests[i]
	if r.sent {
		w.running[r.host][r.pool]--
	}
	r.release()
	p.requests = slices.Delete(p.requests, i, i+1)
}

func (w *world) apply(p *process) {
	if p.runs() && p.known && !p.cut && w.up {
		p.gate.Apply(w.value)
	}
}

// applyOld shows a process a fleet of the past, as a peer that lags does.
func (w *world) applyOld(p *process) {
	if p.runs() && p.known {
		p.gate.Apply(w.history[w.choose(len(w.history))])
	}
}

// join starts a process that learns the fleet from a member that sponsors it.
func (w *world) join(sponsor *process) {
	if !sponsor.runs() || !sponsor.known || w.started > 8 {
		return
	}
	was := w.up
	w.up = false
	p := w.start(fmt.Sprintf("g%d", w.started))
	w.up = was
	p.cut = true
	p.known = true
	sponsor.guests = append(sponsor.guests, p)
	p.gate.Apply(sponsor.gate.Fleet())
}

func (w *world) report(p *process) {
	if !p.runs() {
		return
	}
	p.guests = slices.DeleteFunc(p.guests, func(g *process) bool { return g.dead || !g.guest })
	p.sequence++
	h := &pb.Heartbeat{Name: p.Name, Incarnation: p.Incarnation, Sequence: p.sequence}
	h.FleetRevision, h.HeldHosts = p.gate.Snapshot(w.now)
	for _, g := range p.guests {
		if !w.v.noGuests {
			h.Guests = append(h.Guests, proto.CloneOf(&g.Member))
		}
	}
	w.transit = append(w.transit, h)
}

// deliver hands any heartbeat under way to a manager; it may be handed on again, or be lost.
func (w *world) deliver() {
	if len(w.transit) == 0 {
		return
	}
	i := w.choose(len(w.transit))
	w.hear(w.managers[w.choose(2)], w.transit[i])
	if w.choose(2) == 0 {
		w.transit = slices.Delete(w.transit, i, i+1)
	}
}

func (w *world) hear(m *manager, h *pb.Heartbeat) {
	if w.v.anyOrder {
		h = proto.CloneOf(h)
		h.Sequence = m.heard[h.Incarnation].Heartbeat.GetSequence() + 1
	}
	fleet.Record(m.heard, h, w.now)
}

// gossip is a quiet moment: each process that runs applies the fleet and reports, and a manager hears it and reads.
func (w *world) gossip() {
	m := w.managers[w.choose(2)]
	for _, p := range w.processes {
		w.apply(p)
		w.report(p)
		if p.runs() && w.choose(8) > 0 {
			w.hear(m, w.transit[len(w.transit)-1])
		}
	}
	if w.up {
		m.read = w.value
		m.version = w.version
	}
}

func (w *world) kill(p *process) {
	if w.choose(3) > 0 || w.unknownGuests(p) || w.alive() < 3 {
		return
	}
	w.die(p)
	if w.choose(2) == 0 && w.started <= 12 {
		w.start(p.Name)
	}
}

func (w *world) alive() int {
	n := 0
	for _, p := range w.processes {
		if !p.dead {
			n++
		}
	}
	return n
}

func (w *world) die(p *process) {
	for len(p.requests) > 0 {
		w.end(p, 0)
	}
	p.dead = true
	p.diedAt = w.now
}

// unknownGuests says whether a process has a guest that not every manager has heard of. A sponsor that dies then leaves a
// guest that nobody knows; FLEET.md names this as not proved.
func (w *world) unknownGuests(p *process) bool {
	for _, g := range p.guests {
		for _, m := range w.managers {
			named := slices.ContainsFunc(m.heard[p.Incarnation].Heartbeat.GetGuests(), func(x *pb.Member) bool {
				return x.Incarnation == g.Incarnation
			})
			if g.guest && !g.dead && !named {
				return true
			}
		}
	}
	return false
}

func (w *world) leave(p *process) {
	guests := slices.ContainsFunc(p.guests, func(g *process) bool { return g.guest && !g.dead })
	if !p.runs() || p.guest || p.cut || !w.up || p.gate.Busy() || guests || w.alive() < 3 || w.choose(3) > 0 {
		return
	}
	f, _ := fleet.Leave(w.value, p.Name, p.Incarnation)
	if f, err := fleet.NextWrite(f, f.Term, f.Controller, p.Incarnation); err == nil && w.write(f, w.version) {
		w.die(p)
	}
}
