// Package carriers decides which entry hosts make the calls to a pool's workers in place of the pool's owner.
//
// The owner of a small pool makes all calls itself. That of a large pool shares them among other hosts, its carriers: as
// many as the calls need processor time. Each worker has one carrier at a time and keeps it, so that its connections are
// reused. The package has no I/O, goroutines or clock.
package carriers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/rendezvous"
)

const (
	// minWorkers is the size from which a pool has carriers, keepWorkers that below which it gives them up.
	minWorkers  = 80
	keepWorkers = 60
	// cpuMilliPerWorker is the processor time that the calls to one worker need at most, in thousandths of a core.
	cpuMilliPerWorker = 6
	// defaultCPUMilli is assumed for hosts whose processor is not known.
	defaultCPUMilli = 1000
	// avoidFor is how long a carrier that failed gets no calls.
	avoidFor = 4 * time.Second
)

// Host is an entry host that may carry calls.
type Host struct {
	Name    string
	Address string
	// CPUMilli is its processor time in thousandths of a core; 0 means unknown.
	CPUMilli int64
}

func (h Host) cpu() int64 {
	if h.CPUMilli > 0 {
		return h.CPUMilli
	}
	return defaultCPUMilli
}

// Choose returns the carriers of a pool from the hosts that own no pool: those with the most processor time first, and
// among equals in an order that differs by pool.
func Choose(pool string, workers int, hosts []Host) []Host {
	poolHash := rendezvous.Hash(pool)
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(b.cpu(), a.cpu()),
			cmp.Compare(rendezvous.Weight(poolHash, b.Name), rendezvous.Weight(poolHash, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	need := int64(workers) * cpuMilliPerWorker
	for n, h := range ranked {
		if need <= 0 {
			return ranked[:n]
		}
		need -= h.cpu()
	}
	return ranked
}

// Shares assigns the workers of one pool to its carriers. It is not safe for concurrent use.
type Shares struct {
	pool string
	// carried is set while the pool is large enough for carriers.
	carried bool
	// carriers are keyed by name, carrierOf holds the carrier's name by worker.
	carriers  map[string]*carrier
	carrierOf map[string]string
	// avoidUntil holds the carriers that failed recently.
	avoidUntil map[string]time.Time
}

type carrier struct {
	Host
	workers int
}

// NewShares returns the shares of a pool without workers.
func NewShares(pool string) *Shares {
	return &Shares{
		pool: pool, carriers: map[string]*carrier{}, carrierOf: map[string]string{}, avoidUntil: map[string]time.Time{},
	}
}

// Update chooses the carriers anew for a number of workers. Workers whose carrier is not chosen any more get another one.
func (s *Shares) Update(now time.Time, workers int, hosts []Host) {
	s.carried = workers >= minWorkers || (s.carried && workers >= keepWorkers)
	s.avoidUntil = lo.PickBy(s.avoidUntil, func(_ string, until time.Time) bool { return now.Before(until) })
	var chosen []Host
	if s.carried {
		usable := lo.Reject(hosts, func(h Host, _ int) bool { return now.Before(s.avoidUntil[h.Name]) })
		chosen = Choose(s.pool, workers, usable)
	}
	next := make(map[string]*carrier, len(chosen))
	for _, h := range chosen {
		next[h.Name] = &carrier{Host: h}
	}
	s.carriers = next
	for worker, name := range s.carrierOf {
		if c := next[name]; c != nil {
			c.workers++
			continue
		}
		delete(s.carrierOf, worker)
	}
}

// Carrier returns the carrier of a worker, or false if the owner makes its calls. A worker without one gets the carrier with
// the fewest workers for its processor time.
func (s *Shares) Carrier(worker string) (Host, bool) {
	if c := s.carriers[s.carrierOf[worker]]; c != nil {
		return c.Host, true
	}
	var best *carrier
	for _, name := range slices.Sorted(maps.Keys(s.carriers)) {
		c := s.carriers[name]
		if best == nil || c.load() < best.load() {
			best = c
		}
	}
	if best == nil {
		return Host{}, false
	}
	best.workers++
	s.carrierOf[worker] = best.Name
	return best.Host, true
}

// Current returns the carrier that a worker has; it assigns none.
func (s *Shares) Current(worker string) (Host, bool) {
	c := s.carriers[s.carrierOf[worker]]
	if c == nil {
		return Host{}, false
	}
	return c.Host, true
}

// load returns the number of workers after one more, for the carrier's processor time.
func (c *carrier) load() float64 { return float64(c.workers+1) / float64(c.cpu()) }

// Remove forgets a worker that has left the pool.
func (s *Shares) Remove(worker string) {
	if c := s.carriers[s.carrierOf[worker]]; c != nil {
		c.workers--
	}
	delete(s.carrierOf, worker)
}

// Fail takes all workers from a carrier that did not answer. It gets none for a while.
func (s *Shares) Fail(now time.Time, name string) {
	s.avoidUntil[name] = now.Add(avoidFor)
	delete(s.carriers, name)
	for worker, of := range s.carrierOf {
		if of == name {
			delete(s.carrierOf, worker)
		}
	}
}

// Has reports whether a host is a carrier of the pool.
func (s *Shares) Has(name string) bool { return s.carriers[name] != nil }

// Carriers returns the number of carriers.
func (s *Shares) Carriers() int { return len(s.carriers) }
