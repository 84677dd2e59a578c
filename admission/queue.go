package admission

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// maxUrgentStreak is the number of consecutive urgent starts after which a waiting normal request is started.
	maxUrgentStreak = 8
	// probeInterval is the least time between a start and the next probe of a service whose learned run time rules out
	// every request.
	probeInterval = time.Second
)

// service is the configuration and state of one service.
type service struct {
	name        string
	deadline    time.Duration
	urgentStart time.Duration
	maxQueue    int64
	// declared is the configured run time, from which learned starts.
	declared time.Duration
	learned  runTime
	// queued is the number of queued requests by class.
	queued    [2]int64
	running   int64
	lastStart time.Time
	// deadlines holds the queued items except the probe, urgentLimits the queued urgent items.
	deadlines    indexedHeap[byDeadline]
	urgentLimits indexedHeap[byUrgentLimit]
	probe        *item
}

// pool is the queue of one pool.
type pool struct {
	name  string
	lanes [2]*lane // by class
	// services lists the services that have had a request in this pool.
	services []*service
	// urgentStreak counts the urgent starts since the last normal one while normal requests waited.
	urgentStreak int
	running      int
	// idle is the number of slots that the last Next left unused.
	idle  int
	slots recentSlots
	// reachable is the number of slots set by SetReachable.
	reachable int
	arrivals  arrivalRate
}

// Queue holds the queues of one entry host for all pools. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	services map[string]*service
	// names lists the names of the services in order.
	names []string
	// activeServices holds the configured services; the others only finish their queued and running requests.
	activeServices map[string]bool
	teams          map[string]*team
	// activeTeams holds the configured teams.
	activeTeams map[string]bool
	pools       map[string]*pool
	items       map[uint64]*item
	// displaced holds rejections to be returned by the next call of Next or Expire.
	displaced []Rejection
}

// New returns an empty queue. It rejects every request until Configure is called.
func New(limits Limits) *Queue {
	return &Queue{
		limits:         limits,
		services:       map[string]*service{},
		activeServices: map[string]bool{},
		teams:          map[string]*team{},
		activeTeams:    map[string]bool{},
		pools:          map[string]*pool{},
		items:          map[uint64]*item{},
	}
}

// Configure applies a configuration. Queued requests stay queued, and a learned run time is kept unless the declared
// one has changed.
func (q *Queue) Configure(c *pb.Configuration) {
	q.activeServices = map[string]bool{}
	for _, s := range c.GetServices() {
		q.activeServices[s.GetName()] = true
		q.configureService(s)
		q.pool(s.GetPool())
	}
	q.activeTeams = map[string]bool{}
	for _, t := range c.GetTeams() {
		q.activeTeams[t.GetName()] = true
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
		q.setWeight(entry, t.GetWeight())
	}
}

func (q *Queue) setWeight(t *team, weight float64) {
	for _, p := range q.pools {
		for _, l := range p.lanes {
			if tq := l.teams[t.name]; tq != nil && tq.items.Len() > 0 {
				l.weight += weight - t.weight
			}
		}
	}
	t.weight = weight
}

// pool returns the queue of a pool and creates it if it doesn't exist.
func (q *Queue) pool(name string) *pool {
	p := q.pools[name]
	if p == nil {
		p = &pool{name: name, lanes: [2]*lane{newLane(), newLane()}}
		q.pools[name] = p
	}
	return p
}

// SetTeamUsage sets the number of slots that a team uses from all other entry hosts together.
func (q *Queue) SetTeamUsage(teamName string, otherHostsRunning int64) {
	if t := q.teams[teamName]; t != nil {
		t.otherHosts = otherHostsRunning
	}
}

// SetReachable sets the number of slots that this entry host may be able to use in a pool, including those in use, lent
// out or not yet borrowed. Wait estimates use it, or the recent maximum of running requests plus free slots passed to
// Next if that is larger.
func (q *Queue) SetReachable(poolName string, slots int) { q.pool(poolName).reachable = slots }

// Next starts requests of a pool, at most one for each of the given free slots. Before that it rejects expired requests
// of the pool's services and returns the rejections of requests displaced by Offer, as Expire does.
func (q *Queue) Next(now time.Time, poolName string, slots int) (starts []uint64, rejects []Rejection) {
	p := q.pool(poolName)
	p.slots.observe(now, p.running+slots)
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

// pick returns the item to start next, or nil.
func (p *pool) pick() *item {
	urgent := p.lanes[ClassUrgent].next()
	normal := p.lanes[ClassNormal].next()
	switch {
	case urgent == nil:
		p.urgentStreak = 0
		return normal
	case normal == nil:
		p.urgentStreak = 0
		return urgent
	case p.urgentStreak >= maxUrgentStreak:
		p.urgentStreak = 0
		return normal
	}
	p.urgentStreak++
	return urgent
}

func (q *Queue) start(now time.Time, p *pool, it *item) {
	it.lane.start(it)
	q.unlist(it)
	it.running = true
	it.service.running++
	it.service.lastStart = now
	it.teamQueue.team.running++
	p.running++
}

// unlist removes an item from its service's heaps.
func (q *Queue) unlist(it *item) {
	s := it.service
	s.queued[it.Class]--
	s.deadlines.remove(byDeadline{it})
	s.urgentLimits.remove(byUrgentLimit{it})
	if s.probe == it {
		s.probe = nil
	}
}

// drop removes a queued item.
func (q *Queue) drop(it *item) {
	it.lane.remove(it)
	q.unlist(it)
	delete(q.items, it.ID)
}

// Cancel drops a queued request in O(log n). It returns false if the request is not queued; a running request ends with
// Done.
func (q *Queue) Cancel(id uint64) bool {
	it := q.items[id]
	if it == nil || it.running {
		return false
	}
	q.drop(it)
	return true
}

// Done ends a started request that ran for the given time; ok reports whether the upstream completed the work.
func (q *Queue) Done(_ time.Time, id uint64, elapsed time.Duration, ok bool) {
	q.DoneBlocked(id, elapsed, 0, ok)
}

// DoneBlocked is Done for a request whose answer was blocked for part of the time by its caller. The team is charged
// for all of the time; blocked is excluded from the learned run time.
func (q *Queue) DoneBlocked(id uint64, elapsed, blocked time.Duration, ok bool) {
	it := q.items[id]
	if it == nil || !it.running {
		return
	}
	delete(q.items, id)
	it.service.running--
	it.teamQueue.team.running--
	q.pool(it.Pool).running--
	it.lane.correctCharge(it, elapsed)
	it.service.learned.learn(elapsed-blocked, ok)
}
