package admission

import (
	"container/list"
	"time"
)

// maxDebt is the run time, in seconds, that a team of weight 1 can owe the others, so that a long session doesn't shut its
// team out of a contended pool.
const maxDebt = 10.0

// item is a request that is queued or running.
type item struct {
	Request
	service *service
	lane    *lane
	team    *teamLane
	element *list.Element
	// cost is the run time charged to its team, in seconds.
	cost    float64
	running bool
	// probe lets it start although the learned run time says that it can't finish.
	probe bool
	// urgentLimit is when an urgent request must have started.
	urgentLimit   time.Time
	deadlinePlace int
	urgentPlace   int
}

// byDeadline orders items by deadline.
type byDeadline struct{ *item }

func (a byDeadline) less(b byDeadline) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}
func (a byDeadline) place() *int { return &a.deadlinePlace }

// byUrgentLimit orders urgent items by when they must start.
type byUrgentLimit struct{ *item }

func (a byUrgentLimit) less(b byUrgentLimit) bool {
	if !a.urgentLimit.Equal(b.urgentLimit) {
		return a.urgentLimit.Before(b.urgentLimit)
	}
	return a.ID < b.ID
}
func (a byUrgentLimit) place() *int { return &a.urgentPlace }

// team is a team over all pools.
type team struct {
	name   string
	weight float64
	quota  int64
	// running is the team's requests that run from this entry host, others those from the other ones.
	running int64
	others  int64
	queued  int64
}

// room is the number of slots that the team may still take.
func (t *team) room() int64 { return t.quota - t.running - t.others }

// teamLane is the queue of one team in a lane, first come first served.
type teamLane struct {
	team  *team
	queue *list.List
	// tag is the virtual time at which the team's next request starts.
	tag       float64
	work      float64
	heapPlace int
	longPlace int
}

func (t *teamLane) less(o *teamLane) bool {
	if t.tag != o.tag {
		return t.tag < o.tag
	}
	return t.team.name < o.team.name
}
func (t *teamLane) place() *int { return &t.heapPlace }

// byBacklog orders teams by what they have queued for their weight, the most first.
type byBacklog struct{ *teamLane }

func (a byBacklog) less(b byBacklog) bool {
	x, y := a.work/a.team.weight, b.work/b.team.weight
	if x != y {
		return x > y
	}
	return a.team.name < b.team.name
}
func (a byBacklog) place() *int { return &a.longPlace }

// lane is the queue of one class in one pool, shared out over teams by start-time fair queueing.
type lane struct {
	teams   map[string]*teamLane
	backlog indexedHeap[*teamLane]
	// longest holds the same teams, the one that is furthest behind first.
	longest indexedHeap[byBacklog]
	// now is the virtual time: the tag of the last start.
	now float64
	// work is the run time of all that is queued, in seconds.
	work float64
	// weight is the weight of the teams that have something queued.
	weight float64
	count  int
}

func newLane() *lane { return &lane{teams: map[string]*teamLane{}} }

// teamLane returns the queue of a team, and adds it if need be.
func (l *lane) teamLane(t *team) *teamLane {
	tl := l.teams[t.name]
	if tl == nil {
		tl = &teamLane{team: t, queue: list.New(), heapPlace: -1, longPlace: -1}
		l.teams[t.name] = tl
	}
	return tl
}

// add appends an item to its team's queue.
func (l *lane) add(it *item) {
	tl := it.team
	if tl.queue.Len() == 0 {
		tl.tag = max(tl.tag, l.now)
		l.weight += tl.team.weight
		l.backlog.push(tl)
	}
	it.element = tl.queue.PushBack(it)
	tl.team.queued++
	tl.work += it.cost
	if tl.longPlace < 0 {
		l.longest.push(byBacklog{tl})
	} else {
		l.longest.fix(byBacklog{tl})
	}
	l.work += it.cost
	l.count++
}

// remove takes a queued item out.
func (l *lane) remove(it *item) {
	tl := it.team
	tl.queue.Remove(it.element)
	it.element = nil
	tl.team.queued--
	tl.work -= it.cost
	l.work -= it.cost
	l.count--
	l.longest.fix(byBacklog{tl})
	if tl.queue.Len() == 0 {
		tl.work = 0
		l.longest.remove(byBacklog{tl})
		l.weight -= tl.team.weight
		l.backlog.remove(tl)
	}
	if l.count == 0 {
		l.work = 0
		l.weight = 0
	}
}

// next returns the first item of the team whose turn it is among those with room under their quotas, or nil.
func (l *lane) next() *item {
	var blocked []*teamLane
	var chosen *teamLane
	for l.backlog.len() > 0 {
		tl := l.backlog.first()
		if tl.team.room() > 0 {
			chosen = tl
			break
		}
		l.backlog.remove(tl)
		blocked = append(blocked, tl)
	}
	for _, tl := range blocked {
		l.backlog.push(tl)
	}
	if chosen == nil {
		return nil
	}
	return chosen.queue.Front().Value.(*item)
}

// last returns the newest item of the team that is furthest behind, or nil.
func (l *lane) last() *item {
	if l.longest.len() == 0 {
		return nil
	}
	return l.longest.first().queue.Back().Value.(*item)
}

// start takes an item out and charges its team.
func (l *lane) start(it *item) {
	tl := it.team
	l.now = max(l.now, tl.tag)
	tl.tag += it.cost / tl.team.weight
	l.backlog.fix(tl)
	l.remove(it)
}

// correct replaces the charge for a run by what it took, within the bound of a team's debt.
func (l *lane) correct(it *item, took time.Duration) {
	tl := it.team
	tl.tag = max(0, tl.tag+(took.Seconds()-it.cost)/tl.team.weight)
	tl.tag = min(tl.tag, l.now+maxDebt/tl.team.weight)
	l.backlog.fix(tl)
}
