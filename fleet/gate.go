package fleet

import (
	"sort"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Gate holds the fleet that an entry host has applied, and the entry host's requests in flight by host. It is safe for
// concurrent use.
//
// A process must apply its first fleet only when that fleet lists its incarnation as a member, or when a member has
// accepted it as a guest. Otherwise no controller would wait for its release.
//
// Apply and Begin are mutually exclusive. A heartbeat that reads Revision before Held therefore never reports a host as
// released while a request that began under an older fleet is about to be sent. Snapshot reads both at once.
type Gate struct {
	mu          sync.Mutex
	fleet       *pb.Fleet
	assignments map[string]assignment
	inFlight    map[string]map[uint64]inFlightRequest
	lastID      uint64
}

type assignment struct {
	pool   string
	active bool
}

type inFlightRequest struct {
	pool  string
	start time.Time
}

// NewGate returns a gate without a fleet. It refuses all requests until Apply.
func NewGate() *Gate {
	return &Gate{assignments: map[string]assignment{}, inFlight: map[string]map[uint64]inFlightRequest{}}
}

// Apply applies a newer fleet and returns true. It ignores an older or equal revision and returns false.
func (g *Gate) Apply(f *pb.Fleet) bool {
	own := proto.CloneOf(f)
	assignments := make(map[string]assignment, len(own.GetHosts()))
	for _, h := range own.GetHosts() {
		assignments[h.Host] = assignment{pool: h.Pool, active: h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if own.GetRevision() <= g.fleet.GetRevision() {
		return false
	}
	g.fleet = own
	g.assignments = assignments
	return true
}

// Begin counts a request as in flight on a host if the host is active in the pool, and otherwise returns a NotActive
// error. The caller calls release once, when the exchange with the host is over; further calls do nothing.
func (g *Gate) Begin(host, pool string, now time.Time) (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(host, pool); err != nil {
		return nil, err
	}
	g.lastID++
	id := g.lastID
	if g.inFlight[host] == nil {
		g.inFlight[host] = map[uint64]inFlightRequest{}
	}
	g.inFlight[host][id] = inFlightRequest{pool: pool, start: now}
	return func() { g.release(host, id) }, nil
}

// Check repeats the check of Begin immediately before the send, because the host may have started to drain since.
func (g *Gate) Check(host, pool string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(host, pool)
}

// Revision is the applied revision.
func (g *Gate) Revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.GetRevision()
}

// Fleet is the applied fleet, or nil. The caller must not change it.
func (g *Gate) Fleet() *pb.Fleet {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet
}

// Active returns the hosts that take work for a pool, sorted.
func (g *Gate) Active(pool string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for host, p := range g.assignments {
		if p.active && p.pool == pool {
			out = append(out, host)
		}
	}
	sort.Strings(out)
	return out
}

// Held returns the hosts that have requests in flight for a pool for which they take no more work, sorted.
func (g *Gate) Held(now time.Time) []*pb.HeldHost {
	_, held := g.Snapshot(now)
	return held
}

// Snapshot returns the applied revision and the hosts held at that revision. A heartbeat must report a consistent pair.
func (g *Gate) Snapshot(now time.Time) (revision uint64, held []*pb.HeldHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for host, requests := range g.inFlight {
		if h := g.held(host, requests, now); h != nil {
			held = append(held, h)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Host < held[j].Host })
	return g.fleet.GetRevision(), held
}

// Busy reports whether any request is in flight.
func (g *Gate) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight) > 0
}

func (g *Gate) check(host, pool string) error {
	p, ok := g.assignments[host]
	if !ok {
		return NotActive.New("%s is not in the fleet; choose another host", host)
	}
	if !p.active || p.pool != pool {
		return NotActive.New("%s does not serve pool %s now; choose another host", host, pool)
	}
	return nil
}

func (g *Gate) held(host string, requests map[uint64]inFlightRequest, now time.Time) *pb.HeldHost {
	p := g.assignments[host]
	out := &pb.HeldHost{Host: host}
	for _, r := range requests {
		if p.active && r.pool == p.pool {
			continue
		}
		out.Requests++
		out.OldestMs = max(out.OldestMs, now.Sub(r.start).Milliseconds())
	}
	if out.Requests == 0 {
		return nil
	}
	return out
}

func (g *Gate) release(host string, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight[host], id)
	if len(g.inFlight[host]) == 0 {
		delete(g.inFlight, host)
	}
}
