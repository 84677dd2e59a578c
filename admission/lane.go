package admission

import (
	"container/list"
	"time"
)

// maxDebtSeconds bounds the run time that a team can owe the others, so that a long session doesn't lock its team out
// of a contended pool.
const maxDebtSeconds = 10.0

// item is a request that is queued or running.
type item struct {
	Request
	service   *service
	lane      *lane
	teamQueue *teamQueue
	element   *list.Element
	// cost is the expected run time that the start charges to the team, in seconds.
	cost    float64
	running bool
	// probe marks an item that may start although it can't finish by the learned run time.
	probe bool
	// urgentLimit is the time by which an urgent request must have started.
	urgentLimit   time.Time
	deadlineIndex int
	urgentIndex   int
}

// byDeadline orders items by deadline.
type byDeadline struct{ *item }

func (a byDeadline) less(b byDeadline) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}
func (a byDeadline) heapIndex() *int { return &a.deadlineIndex }

// byUrgentLimit orders urgent items by urgentLimit.
type byUrgentLimit struct{ *item }

func (a byUrgentLimit) less(b byUrgentLimit) bool {
	if !a.urgentLimit.Equal(b.urgentLimit) {
		return a.urgentLimit.Before(b.urgentLimit)
	}
	return a.ID < b.ID
}
func (a byUrgentLimit) heapIndex() *int { return &a.urgentIndex }

// team is the state of one team over all pools.
type team struct {
	name   string
	weight float64
	quota  int64
	// running is the number of the team's requests started by this entry host, otherHosts that of all other entry
	// hosts.
	running    int64
	otherHosts int64
	queued     int64
}

// room returns the number of slots left under the team's quota.
func (t *team) room() int64 { return t.quota - t.running - t.otherHosts }

// teamQueue is the FIFO queue of one team in a lane.
type teamQueue struct {
	team  *team
	items *list.List
	// tag is the start tag of the team's next request, in virtual time.
	tag float64
	// work is the expected run time of the team's queued requests, in seconds.
	work         float64
	tagIndex     int
	backlogIndex int
}

func (t *teamQueue) less(o *teamQueue) bool {
	if t.tag != o.tag {
		return t.tag < o.tag
	}
	return t.team.name < o.team.name
}
func (t *teamQueue) heapIndex() *int { return &t.tagIndex }

// byBacklog orders teams by queued work relative to weight, largest first.
type byBacklog struct{ *teamQueue }

func (a byBacklog) less(b byBacklog) bool {
	x, y := a.work/a.team.weight, b.work/b.team.weight
	if x != y {
		return x > y
	}
	return a.team.name < b.team.name
}
func (a byBacklog) heapIndex() *int { return &a.backlogIndex }

// lane is the queue of one class in one pool. Teams share it by start-time fair queueing.
type lane struct {
	teams map[string]*teamQueue
	// byTag holds the teams with queued requests, ordered by start tag.
	byTag indexedHeap[*teamQueue]
	// largest holds the same teams, the one with the largest backlog relative to its weight first.
	largest indexedHeap[byBacklog]
	// virtualTime is the largest start tag among the started requests.
	virtualTime float64
	// work is the expected run time of all queued requests, in seconds.
	work float64
	// weight is the sum of the weights of the teams with queued requests.
	weight float64
	count  int
}

func newLane() *lane { return &lane{teams: map[string]*teamQueue{}} }

// teamQueue returns the queue of a team and creates it if it doesn't exist.
func (l *lane) teamQueue(t *team) *teamQueue {
	tq := l.teams[t.name]
	if tq == nil {
		tq = &teamQueue{team: t, items: list.New(), tagIndex: -1, backlogIndex: -1}
		l.teams[t.name] = tq
	}
	return tq
}

// add appends an item to its team's queue.
func (l *lane) add(it *item) {
	tq := it.teamQueue
	if tq.items.Len() == 0 {
		tq.tag = max(tq.tag, l.virtualTime)
		l.weight += tq.team.weight
		l.byTag.push(tq)
	}
	it.element = tq.items.PushBack(it)
	tq.team.queued++
	tq.work += it.cost
	if tq.backlogIndex < 0 {
		l.largest.push(byBacklog{tq})
	} else {
		l.largest.fix(byBacklog{tq})
	}
	l.work += it.cost
	l.count++
}

func (l *lane) remove(it *item) {
	tq := it.teamQueue
	tq.items.Remove(it.element)
	it.element = nil
	tq.team.queued--
	tq.work -= it.cost
	l.work -= it.cost
	l.count--
	l.largest.fix(byBacklog{tq})
	if tq.items.Len() == 0 {
		tq.work = 0
		l.largest.remove(byBacklog{tq})
		l.weight -= tq.team.weight
		l.byTag.remove(tq)
	}
	if l.count == 0 {
		l.work = 0
		l.weight = 0
	}
}

// next returns the first item of the team with the smallest start tag among those below their quotas, or nil.
func (l *lane) next() *item {
	var blocked []*teamQueue
	var chosen *teamQueue
	for l.byTag.len() > 0 {
		tq := l.byTag.first()
		if tq.team.room() > 0 {
			chosen = tq
			break
		}
		l.byTag.remove(tq)
		blocked = append(blocked, tq)
	}
	for _, tq := range blocked {
		l.byTag.push(tq)
	}
	if chosen == nil {
		return nil
	}
	return chosen.items.Front().Value.(*item)
}

// last returns the newest item of the team with the largest backlog relative to its weight, or nil.
func (l *lane) last() *item {
	if l.largest.len() == 0 {
		return nil
	}
	return l.largest.first().items.Back().Value.(*item)
}

// start removes an item and charges its team.
func (l *lane) start(it *item) {
	tq := it.teamQueue
	l.virtualTime = max(l.virtualTime, tq.tag)
	tq.tag += it.cost / tq.team.weight
	l.byTag.fix(tq)
	l.remove(it)
}

// correctCharge replaces the charge for a run by its actual duration, within maxDebtSeconds.
func (l *lane) correctCharge(it *item, elapsed time.Duration) {
	tq := it.teamQueue
	tq.tag = max(0, tq.tag+(elapsed.Seconds()-it.cost)/tq.team.weight)
	tq.tag = min(tq.tag, l.virtualTime+maxDebtSeconds/tq.team.weight)
	l.byTag.fix(tq)
}
