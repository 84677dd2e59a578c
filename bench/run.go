package bench

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/admission"
)

// The faults and the daemon's periods.
const (
	// deathTurn and freezeTurn are the bursts in which an entry host dies or freezes, peak into them.
	deathTurn   = 4
	freezeTurn  = 9
	peak        = burstTime / 2
	freezeTime  = 6 * time.Second
	frozenEntry = 1
	// balancerNotices is the time until the balancer stops sending to an entry host that is gone.
	balancerNotices = time.Second
	// provedGone is the time until the death of a process is proved.
	provedGone = 3 * time.Second
	// applyTime is the longest time until an entry host has heard of a new fleet.
	applyTime = 500 * time.Millisecond
	decision  = 100 * time.Millisecond
	heartbeat = time.Second
	// sampleTime is the time between two samples of what is usable.
	sampleTime = 50 * time.Millisecond
	// recoveredShare is the part of the pool's slots that must be usable again after the death.
	recoveredShare = 0.95
)

// balancerWeights are the uneven shares of the entry hosts; they shift by one with each burst.
var balancerWeights = [entryHosts]float64{5, 3, 2, 1, 1, 1, 0.5, 0.5, 0.5}

// slot is a slot that a way has handed out.
type slot struct {
	host  string
	token any
}

// sharing is a way of sharing slots.
type sharing interface {
	// free is the number of slots of a pool that an entry host may take now.
	free(node int, pool string) int
	// take takes one of them.
	take(node int, pool string) slot
	release(node int, pool string, s slot)
	// queued is called after a request was queued.
	queued(node int, pool string)
	// decide is called at each decision of an entry host, beat at each of its heartbeats.
	decide(node int)
	beat(node int)
	// died is called at the death of an entry host.
	died(node int)
	// usable is the number of slots of a pool that live entry hosts may use now or are using.
	usable(pool string) int
}

// entry is one entry host.
type entry struct {
	queue    *admission.Queue
	dead     bool
	frozen   bool
	deferred []func()
	sent     int64
	// waiting counts what is queued for each pool, and active holds what runs.
	waiting map[string]int
	active  map[uint64]slot
}

// load is the load of a pool over all entry hosts.
type load struct {
	slots   int
	running int
	queued  int
	since   time.Time
}

// exchange is one run of one way.
type exchange struct {
	timeline
	deployment Deployment
	rng        *rand.Rand
	way        sharing
	entries    [entryHosts]*entry
	pools      map[string]*load
	workers    map[string]int
	requests   []arrival
	// left marks the balancer's view: an entry host that gets no more requests.
	left   [entryHosts]bool
	victim int
	diedAt time.Time
	result Result
}

func newExchange(d Deployment, seed uint64, way func(*exchange) sharing) *exchange {
	x := &exchange{
		timeline:   timeline{now: start},
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 2)),
		pools:      map[string]*load{},
		workers:    map[string]int{},
		requests:   demand(d, rand.New(rand.NewPCG(seed, 1))),
	}
	for i := range x.entries {
		q := admission.New(admission.Limits{})
		q.Configure(d.configuration())
		x.entries[i] = &entry{queue: q, waiting: map[string]int{}, active: map[uint64]slot{}}
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = &load{slots: p.Workers * slotsPerHost, since: start}
	}
	x.victim = dispatcherOf(d.Pools[deathTurn%len(d.Pools)].Name, x.live())
	x.way = way(x)
	return x
}

// play runs the whole demand and the faults.
func (x *exchange) play() Result {
	for i := range x.entries {
		offset := time.Duration(x.rng.Int64N(int64(decision)))
		x.repeat(i, offset, decision, drained(), func() { x.decide(i) })
		x.repeat(i, time.Duration(x.rng.Int64N(int64(heartbeat))), heartbeat, end(), func() { x.way.beat(i) })
	}
	for i := range x.requests {
		x.after(x.requests[i].at.Sub(start), func() { x.arrive(uint64(i)) })
	}
	x.after(turnStart(deathTurn).Add(peak).Sub(start), x.kill)
	x.after(turnStart(freezeTurn).Add(peak).Sub(start), x.freeze)
	x.run(drained())
	x.result.Offered = len(x.requests)
	x.finishResult()
	return x.result
}

// repeat runs something of an entry host's at intervals while it lives; a frozen one skips its turns.
func (x *exchange) repeat(node int, offset, interval time.Duration, until time.Time, do func()) {
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

// live lists the entry hosts that have not died.
func (x *exchange) live() []int {
	var out []int
	for i, e := range x.entries {
		if e == nil || !e.dead {
			out = append(out, i)
		}
	}
	return out
}

// delay is the time that a message takes from one entry host to another.
func (x *exchange) delay(from, to int) time.Duration {
	const local = 100 * time.Microsecond
	n := len(x.deployment.DataCentres)
	if from%n == to%n {
		return local
	}
	return x.deployment.OneWay
}

// send delivers a message to a live entry host, and counts its bytes. A frozen one loses it.
func (x *exchange) send(from, to int, m proto.Message, receive func()) {
	x.entries[from].sent += int64(proto.Size(m))
	x.after(x.delay(from, to), func() {
		if e := x.entries[to]; !e.dead && !e.frozen {
			receive()
		}
	})
}

// pick is the balancer's choice.
func (x *exchange) pick(a arrival) int {
	turn := int(a.at.Sub(turnStart(0)) / turnTime)
	total := 0.0
	for i := range x.entries {
		if !x.left[i] {
			total += balancerWeights[(i+turn)%entryHosts]
		}
	}
	rest := a.balance * total
	last := 0
	for i := range x.entries {
		if x.left[i] {
			continue
		}
		last = i
		rest -= balancerWeights[(i+turn)%entryHosts]
		if rest < 0 {
			break
		}
	}
	return last
}

// arrive offers a request to the entry host that the balancer picks. A dead or frozen one loses it.
func (x *exchange) arrive(id uint64) {
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
	x.way.queued(node, a.pool)
	x.pump(node, a.pool)
}

// pump starts what can start.
func (x *exchange) pump(node int, pool string) {
	e := x.entries[node]
	if e.dead || e.frozen {
		return
	}
	starts, rejects := e.queue.Next(x.now, pool, x.way.free(node, pool))
	x.shed(node, rejects)
	for _, id := range starts {
		x.begin(node, id)
	}
}

func (x *exchange) shed(node int, rejects []admission.Rejection) {
	for _, r := range rejects {
		pool := x.requests[r.ID].pool
		x.result.Shed++
		x.result.ShedAfter += x.now.Sub(x.requests[r.ID].at)
		x.account(pool, 0, -1)
		x.entries[node].waiting[pool]--
	}
}

// begin runs a request on a worker.
func (x *exchange) begin(node int, id uint64) {
	a := x.requests[id]
	e := x.entries[node]
	s := x.way.take(node, a.pool)
	x.workers[s.host]++
	if x.workers[s.host] > slotsPerHost {
		x.result.Violations++
	}
	x.account(a.pool, 1, -1)
	e.waiting[a.pool]--
	e.active[id] = s
	x.after(a.run, func() {
		if x.leaveWorker(node, id) {
			x.onEntry(node, func() { x.finish(node, id, s) })
		}
	})
}

// leaveWorker frees the worker of a run, and says whether it was still running.
func (x *exchange) leaveWorker(node int, id uint64) bool {
	e := x.entries[node]
	s, ok := e.active[id]
	if ok {
		delete(e.active, id)
		x.workers[s.host]--
		x.account(x.requests[id].pool, -1, 0)
	}
	return ok
}

// onEntry does something on an entry host: at once, once it is no longer frozen, or never if it died.
func (x *exchange) onEntry(node int, do func()) {
	e := x.entries[node]
	switch {
	case e.dead:
	case e.frozen:
		e.deferred = append(e.deferred, do)
	default:
		do()
	}
}

// finish ends a request on its entry host.
func (x *exchange) finish(node int, id uint64, s slot) {
	a := x.requests[id]
	x.entries[node].queue.Done(x.now, id, a.run, true)
	if x.now.After(a.deadline) {
		x.result.Late++
	} else {
		x.result.InTime++
	}
	x.way.release(node, a.pool, s)
	x.pump(node, a.pool)
}

// decide is the periodic decision of an entry host.
func (x *exchange) decide(node int) {
	x.shed(node, x.entries[node].queue.Expire(x.now))
	if !x.now.After(end()) {
		x.way.decide(node)
	}
	x.pumpAll(node)
}

func (x *exchange) pumpAll(node int) {
	for _, p := range x.deployment.Pools {
		x.pump(node, p.Name)
	}
}
