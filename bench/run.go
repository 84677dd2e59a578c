package bench

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/admission"
)

// The faults, and the intervals of the daemon.
const (
	// deathBurst and freezeBurst are the bursts in which an entry host dies or freezes, faultOffset after their start.
	deathBurst  = 4
	freezeBurst = 9
	faultOffset = burstTime / 2
	freezeTime  = 6 * time.Second
	frozenEntry = 1
	// balancerDelay is the time until the balancer stops sending to an entry host that is gone.
	balancerDelay = time.Second
	// deathProofDelay is the time until the death of a process is proved.
	deathProofDelay = 3 * time.Second
	// maxApplyDelay is the longest time until an entry host has applied a new fleet.
	maxApplyDelay     = 500 * time.Millisecond
	decisionInterval  = 100 * time.Millisecond
	heartbeatInterval = time.Second
	// sampleInterval is the time between two samples of the usable slots.
	sampleInterval = 50 * time.Millisecond
	// recoveredShare is the share of the pool's slots that must be usable again for the recovery to count as complete.
	recoveredShare = 0.95
)

// balancerWeights are the uneven weights of the entry hosts; they shift by one position with each burst.
var balancerWeights = [entryHosts]float64{5, 3, 2, 1, 1, 1, 0.5, 0.5, 0.5}

// slot is a slot that an allocator has assigned to a request.
type slot struct {
	host  string
	token any
}

// allocator allocates the slots of workers to entry hosts.
type allocator interface {
	// free returns the number of slots of a pool that an entry host may take now.
	free(node int, pool string) int
	// take takes one of the free slots.
	take(node int, pool string) slot
	release(node int, pool string, s slot)
	// onQueued is called after a request was queued.
	onQueued(node int, pool string)
	// decide is called at each decision of an entry host, sendHeartbeats at each of its heartbeat intervals.
	decide(node int)
	sendHeartbeats(node int)
	// onDeath is called at the death of an entry host.
	onDeath(node int)
	// usable returns the number of slots of a pool that live entry hosts may use now or are using.
	usable(pool string) int
}

type entryHost struct {
	queue    *admission.Queue
	dead     bool
	frozen   bool
	deferred []func()
	sent     int64
	// waiting counts the queued requests of each pool, and active holds the slots of the running requests.
	waiting map[string]int
	active  map[uint64]slot
}

// poolLoad is the load of a pool over all entry hosts.
type poolLoad struct {
	slots   int
	running int
	queued  int
	since   time.Time
}

// simulation is one run of one strategy.
type simulation struct {
	timeline
	deployment Deployment
	rng        *rand.Rand
	allocator  allocator
	entries    [entryHosts]*entryHost
	pools      map[string]*poolLoad
	workers    map[string]int
	requests   []arrival
	// unavailable marks the entry hosts to which the balancer sends no requests.
	unavailable [entryHosts]bool
	victim      int
	diedAt      time.Time
	result      Result
}

func newSimulation(d Deployment, seed uint64, newAllocator func(*simulation) allocator) *simulation {
	x := &simulation{
		timeline:   timeline{now: start},
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 2)),
		pools:      map[string]*poolLoad{},
		workers:    map[string]int{},
		requests:   demand(d, rand.New(rand.NewPCG(seed, 1))),
	}
	for i := range x.entries {
		q := admission.New(admission.Limits{})
		q.Configure(d.configuration())
		x.entries[i] = &entryHost{queue: q, waiting: map[string]int{}, active: map[uint64]slot{}}
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = &poolLoad{slots: p.Workers * slotsPerHost, since: start}
	}
	x.victim = dispatcherOf(d.Pools[deathBurst%len(d.Pools)].Name, x.live())
	x.allocator = newAllocator(x)
	return x
}

// play runs the whole demand with the faults, and returns the result.
func (x *simulation) play() Result {
	for i := range x.entries {
		offset := time.Duration(x.rng.Int64N(int64(decisionInterval)))
		x.repeat(i, offset, decisionInterval, drained(), func() { x.decide(i) })
		x.repeat(i, time.Duration(x.rng.Int64N(int64(heartbeatInterval))), heartbeatInterval, end(), func() { x.allocator.sendHeartbeats(i) })
	}
	for i := range x.requests {
		x.after(x.requests[i].at.Sub(start), func() { x.arrive(uint64(i)) })
	}
	x.after(burstStart(deathBurst).Add(faultOffset).Sub(start), x.kill)
	x.after(burstStart(freezeBurst).Add(faultOffset).Sub(start), x.freeze)
	x.run(drained())
	x.result.Offered = len(x.requests)
	x.finishResult()
	return x.result
}

// repeat runs a function of an entry host at intervals until the entry host dies; while it is frozen, runs are skipped.
func (x *simulation) repeat(node int, offset, interval time.Duration, until time.Time, do func()) {
	x.after(offset, func() {
		if x.entries[node].dead || x.now.After(until) {
			return
		}
		if !x.entries[node].frozen {
			do()
		}
		x.repeat(node, interval, interval, until, do)
	})
}

// live returns the entry hosts that have not died.
func (x *simulation) live() []int {
	var out []int
	for i, e := range x.entries {
		if e == nil || !e.dead {
			out = append(out, i)
		}
	}
	return out
}

// delay returns the latency of a message from one entry host to another.
func (x *simulation) delay(from, to int) time.Duration {
	const local = 100 * time.Microsecond
	n := len(x.deployment.DataCentres)
	if from%n == to%n {
		return local
	}
	return x.deployment.OneWay
}

// send delivers a message to a live entry host, and counts its bytes. A frozen entry host drops it.
func (x *simulation) send(from, to int, m proto.Message, receive func()) {
	x.entries[from].sent += int64(proto.Size(m))
	x.after(x.delay(from, to), func() {
		if e := x.entries[to]; !e.dead && !e.frozen {
			receive()
		}
	})
}

// pick returns the entry host that the balancer chooses for a request.
func (x *simulation) pick(a arrival) int {
	burst := int(a.at.Sub(burstStart(0)) / burstPeriod)
	total := 0.0
	for i := range x.entries {
		if !x.unavailable[i] {
			total += balancerWeights[(i+burst)%entryHosts]
		}
	}
	remaining := a.balance * total
	last := 0
	for i := range x.entries {
		if x.unavailable[i] {
			continue
		}
		last = i
		remaining -= balancerWeights[(i+burst)%entryHosts]
		if remaining < 0 {
			break
		}
	}
	return last
}

// arrive offers a request to the entry host that the balancer picks. A dead or frozen entry host loses it.
func (x *simulation) arrive(id uint64) {
	a := x.requests[id]
	node := x.pick(a)
	e := x.entries[node]
	if e.dead || e.frozen {
		x.result.Lost++
		return
	}
	r := admission.Request{ID: id, Service: a.pool, Pool: a.pool, Team: a.team, Class: a.class, Deadline: a.deadline, Arrival: a.at}
	if !e.queue.Offer(x.now, r).Queued {
		x.result.Shed++
		return
	}
	x.account(a.pool, 0, 1)
	e.waiting[a.pool]++
	x.allocator.onQueued(node, a.pool)
	x.pump(node, a.pool)
}

// pump starts the queued requests of a pool for which slots are free.
func (x *simulation) pump(node int, pool string) {
	e := x.entries[node]
	if e.dead || e.frozen {
		return
	}
	starts, rejects := e.queue.Next(x.now, pool, x.allocator.free(node, pool))
	x.shed(node, rejects)
	for _, id := range starts {
		x.startRequest(node, id)
	}
}

func (x *simulation) shed(node int, rejects []admission.Rejection) {
	for _, r := range rejects {
		pool := x.requests[r.ID].pool
		x.result.Shed++
		x.result.ShedAfter += x.now.Sub(x.requests[r.ID].at)
		x.account(pool, 0, -1)
		x.entries[node].waiting[pool]--
	}
}

// startRequest runs a request on a worker.
func (x *simulation) startRequest(node int, id uint64) {
	a := x.requests[id]
	e := x.entries[node]
	s := x.allocator.take(node, a.pool)
	x.workers[s.host]++
	if x.workers[s.host] > slotsPerHost {
		x.result.Violations++
	}
	x.account(a.pool, 1, -1)
	e.waiting[a.pool]--
	e.active[id] = s
	x.after(a.run, func() {
		if x.freeWorker(node, id) {
			x.onEntry(node, func() { x.finish(node, id, s) })
		}
	})
}

// freeWorker frees the worker of a request, and reports whether the request was still running.
func (x *simulation) freeWorker(node int, id uint64) bool {
	e := x.entries[node]
	s, ok := e.active[id]
	if ok {
		delete(e.active, id)
		x.workers[s.host]--
		x.account(x.requests[id].pool, -1, 0)
	}
	return ok
}

// onEntry runs a function on an entry host: at once, after it is no longer frozen, or never if it has died.
func (x *simulation) onEntry(node int, do func()) {
	e := x.entries[node]
	switch {
	case e.dead:
	case e.frozen:
		e.deferred = append(e.deferred, do)
	default:
		do()
	}
}

// finish completes a request on its entry host.
func (x *simulation) finish(node int, id uint64, s slot) {
	a := x.requests[id]
	x.entries[node].queue.Done(x.now, id, a.run, true)
	if x.now.After(a.deadline) {
		x.result.Late++
	} else {
		x.result.InTime++
	}
	x.allocator.release(node, a.pool, s)
	x.pump(node, a.pool)
}

// decide runs the periodic decision of an entry host.
func (x *simulation) decide(node int) {
	x.shed(node, x.entries[node].queue.Expire(x.now))
	if !x.now.After(end()) {
		x.allocator.decide(node)
	}
	x.pumpAll(node)
}

func (x *simulation) pumpAll(node int) {
	for _, p := range x.deployment.Pools {
		x.pump(node, p.Name)
	}
}
