package admission

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// urgentRun is the number of urgent starts in a row after which a normal request that waits gets its turn.
	urgentRun = 8
	// probeInterval is the time between two starts of a service whose learned run time rules out every request.
	probeInterval = time.Second
)

// service is what the queue knows of one service.
type service struct {
	name        string
	deadline    time.Duration
	urgentStart time.Duration
	maxQueue    int64
	declared    time.Duration
	learned     runTime
	queued      [2]int64
	running     int64
	lastStart   time.Time
	// deadlines and urgentLimits hold the queued items.
	deadlines    indexedHeap[byDeadline]
	urgentLimits indexedHeap[byUrgentLimit]
	probe        *item
}

// pool is the queue of one pool.
type pool struct {
	name  string
	lanes [2]*lane
	// services are those that have had a request in this pool.
	services []*service
	// urgentStarts counts the urgent starts since a normal one while normal requests waited.
	urgentStarts int
	running      int
	// idle is the number of slots that the last Next left unused.
	idle  int
	slots slotsSeen
	// reachable is the number of slots that the embedder expects to get for the pool.
	reachable int
	arrivals  arrivalRate
}

// Queue is the queues of one entry host, for all pools. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	services map[string]*service
	// names lists the services in order.
	names []string
	// active are the configured services; another one only finishes what it has.
	active map[string]bool
	teams  map[string]*team
	known  map[string]bool
	pools  map[string]*pool
	items  map[uint64]*item
	// displaced are rejections to be handed out by the next Next or Expire.
	displaced []Rejection
}

// New returns an empty queue. It refuses everything until it is configured.
func New(limits Limits) *Queue {
	return &Queue{
		limits:   limits,
		services: map[string]*service{},
		active:   map[string]bool{},
		teams:    map[string]*team{},
		known:    map[string]bool{},
		pools:    map[string]*pool{},
		items:    map[uint64]*item{},
	}
}

// Configure applies a configuration. What is queued stays queued, and what was learned is kept unless the declared run
// time has changed.
func (q *Queue) Configure(c *pb.Configuration) {
	q.active = map[string]bool{}
	for _, s := range c.GetServices() {
		q.active[s.GetName()] = true
		q.configureService(s)
		q.pool(s.GetPool())
	}
	q.known = map[string]bool{}
	for _, t := range c.GetTeams() {
		q.known[t.GetName()] = true
		q.configureTeam(t)
	}
}

func (q *Queue) configureService(s *pb.Service) {
	entry := q.services[s.GetName()]
	if entry == nil {
		entry = &service{name: s.GetName()}
		q.services[s.GetName()] = entry
		q.names = append(q.names, s.GetName())
		sort.Strings(q.names)
	}
	entry.deadline = s.GetDeadline().AsDuration()
	entry.urgentStart = s.GetUrgentStart().AsDuration()
	entry.maxQueue = s.GetMaxQueue()
	if declared := s.GetRunTime().AsDuration(); declared != entry.declared {
		entry.declared = declared
		entry.learned = newRunTime(declared)
	}
}

func (q *Queue) configureTeam(t *pb.Team) {
	entry := q.teams[t.GetName()]
	if entry == nil {
		entry = &team{name: t.GetName()}
		q.teams[t.GetName()] = entry
	}
	entry.quota = t.GetQuota()
	if entry.weight != t.GetWeight() {
		q.reweigh(entry, t.GetWeight())
	}
}

// reweigh changes a team's weight.
func (q *Queue) reweigh(t *team, weight float64) {
	for _, p := range q.pools {
		for _, l := range p.lanes {
			if tl := l.teams[t.name]; tl != nil && tl.queue.Len() > 0 {
				l.weight += weight - t.weight
			}
		}
	}
	t.weight = weight
}

// pool returns the queue of a pool, and adds it if need be.
func (q *Queue) pool(name string) *pool {
	p := q.pools[name]
	if p == nil {
		p = &pool{name: name, lanes: [2]*lane{newLane(), newLane()}}
		q.pools[name] = p
	}
	return p
}

// SetTeamUsage says how many slots a team uses from the other entry hosts together.
func (q *Queue) SetTeamUsage(teamName string, otherHostsRunning int64) {
	if t := q.teams[teamName]; t != nil {
		t.others = otherHostsRunning
	}
}

// SetReachable says how many slots this entry host can come to use in a pool, including those in use, lent out or still to
// be borrowed. Waits are estimated by them, or by the slots that Next was given of late if those are more.
func (q *Queue) SetReachable(poolName string, slots int) { q.pool(poolName).reachable = slots }

// Next starts at most the given number of requests of a pool, after rejecting, as Expire does, what its services have to
// give up.
// Slots is the number of slots that are free now.
func (q *Queue) Next(now time.Time, poolName string, slots int) (starts []uint64, rejects []Rejection) {
	p := q.pool(poolName)
	p.slots.see(now, p.running+slots)
	rejects = q.takeDisplaced()
	for _, s := range p.services {
		rejects = q.expireService(now, s, rejects)
	}
	for range slots {
		it := p.pick()
		if it == nil {
			break
		}
		q.start(now, p, it)
		starts = append(starts, it.ID)
	}
	p.idle = slots - len(starts)
	return starts, rejects
}

// pick returns the item that starts next, or nil.
func (p *pool) pick() *item {
	urgent := p.lanes[ClassUrgent].next()
	normal := p.lanes[ClassNormal].next()
	switch {
	case urgent == nil:
		p.urgentStarts = 0
		return normal
	case normal == nil:
		p.urgentStarts = 0
		return urgent
	case p.urgentStarts >= urgentRun:
		p.urgentStarts = 0
		return normal
	}
	p.urgentStarts++
	return urgent
}

func (q *Queue) start(now time.Time, p *pool, it *item) {
	it.lane.start(it)
	q.unlist(it)
	it.running = true
	it.service.running++
	it.service.lastStart = now
	it.team.team.running++
	p.running++
}

// unlist takes an item out of its service's lists.
func (q *Queue) unlist(it *item) {
	s := it.service
	s.queued[it.Class]--
	s.deadlines.remove(byDeadline{it})
	s.urgentLimits.remove(byUrgentLimit{it})
	if s.probe == it {
		s.probe = nil
	}
}

// drop ends a queued item.
func (q *Queue) drop(it *item) {
	it.lane.remove(it)
	q.unlist(it)
	delete(q.items, it.ID)
}

// Cancel drops a queued request, in O(log n). It returns false if the request is not queued; one that runs ends with
// Done.
func (q *Queue) Cancel(id uint64) bool {
	it := q.items[id]
	if it == nil || it.running {
		return false
	}
	q.drop(it)
	return true
}

// Done ends a started request that ran for the given time; ok says whether the upstream did the work.
func (q *Queue) Done(_ time.Time, id uint64, took time.Duration, ok bool) {
	q.DoneHeldUp(id, took, 0, ok)
}

// DoneHeldUp is Done for a request whose answer waited for its caller for a part of the time. Its team is charged for all of
// it; the run time is learned without that part.
func (q *Queue) DoneHeldUp(id uint64, took, heldUp time.Duration, ok bool) {
	it := q.items[id]
	if it == nil || !it.running {
		return
	}
	delete(q.items, id)
	it.service.running--
	it.team.team.running--
	q.pool(it.Pool).running--
	it.lane.correct(it, took)
	it.service.learned.learn(took-heldUp, ok)
}
