package fleet

import (
	"sort"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Gate is an entry host's applied view of the fleet and the count of its requests in flight by host. It is safe for
// concurrent use.
//
// A process applies its first fleet only when that fleet names its incarnation as a member, or when a member has taken it
// in as a guest: a process that nobody knows of would be asked by nobody.
//
// Apply and Begin exclude each other, so a heartbeat that takes Revision before Held never says released while a request
// begun under an older view is about to be sent. Snapshot takes both at once.
type Gate struct {
	mu     sync.Mutex
	fleet  *pb.Fleet
	places map[string]place
	flight map[string]map[uint64]started
	next   uint64
}

type place struct {
	pool   string
	active bool
}

type started struct {
	pool string
	at   time.Time
}

// NewGate returns a gate that knows no fleet yet and lets nothing through.
func NewGate() *Gate {
	return &Gate{places: map[string]place{}, flight: map[string]map[uint64]started{}}
}

// Apply puts a newer fleet in force and returns true. An older or equal revision is ignored.
func (g *Gate) Apply(f *pb.Fleet) bool {
	own := proto.CloneOf(f)
	places := make(map[string]place, len(own.GetHosts()))
	for _, h := range own.GetHosts() {
		places[h.Host] = place{pool: h.Pool, active: h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if own.GetRevision() <= g.fleet.GetRevision() {
		return false
	}
	g.fleet = own
	g.places = places
	return true
}

// Begin counts a request as in flight on a host if the host is active in the pool. The caller calls release once, when
// the exchange with the host is over; further calls do nothing.
func (g *Gate) Begin(host, pool string, now time.Time) (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(host, pool); err != nil {
		return nil, err
	}
	g.next++
	id := g.next
	if g.flight[host] == nil {
		g.flight[host] = map[uint64]started{}
	}
	g.flight[host][id] = started{pool: pool, at: now}
	return func() { g.release(host, id) }, nil
}

// Check is the last look before the send: a host may have begun to drain since Begin.
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

// Active lists the hosts that take work for a pool, sorted.
func (g *Gate) Active(pool string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for host, p := range g.places {
		if p.active && p.pool == pool {
			out = append(out, host)
		}
	}
	sort.Strings(out)
	return out
}

// Held lists the hosts that carry requests and take no more for the requests' pool, sorted.
func (g *Gate) Held(now time.Time) []*pb.HeldHost {
	_, held := g.Snapshot(now)
	return held
}

// Snapshot returns the applied revision and what is held under it, as one heartbeat must report them.
func (g *Gate) Snapshot(now time.Time) (revision uint64, held []*pb.HeldHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for host, requests := range g.flight {
		if h := g.held(host, requests, now); h != nil {
			held = append(held, h)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Host < held[j].Host })
	return g.fleet.GetRevision(), held
}

// Busy says whether any request is in flight.
func (g *Gate) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flight) > 0
}

func (g *Gate) check(host, pool string) error {
	p, ok := g.places[host]
	if !ok {
		return NotActive.New("%s is not in the fleet; choose another host", host)
	}
	if !p.active || p.pool != pool {
		return NotActive.New("%s does not serve pool %s now; choose another host", host, pool)
	}
	return nil
}

func (g *Gate) held(host string, requests map[uint64]started, now time.Time) *pb.HeldHost {
	p := g.places[host]
	out := &pb.HeldHost{Host: host}
	for _, r := range requests {
		if p.active && r.pool == p.pool {
			continue
		}
		out.Requests++
		out.OldestMs = max(out.OldestMs, now.Sub(r.at).Milliseconds())
	}
	if out.Requests == 0 {
		return nil
	}
	return out
}

func (g *Gate) release(host string, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flight[host], id)
	if len(g.flight[host]) == 0 {
		delete(g.flight, host)
	}
}
