package jobplatform

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// maxBroken bounds the broken promises that are kept word for word.
	maxBroken = 50
	// cancelTime is how long after its acknowledgement a cancelled job's tasks may still start.
	cancelTime = 6 * time.Second
)

// ends of runs, as workers report them.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endBroken  = "broken"
	endAlone   = "alone"
	endGone    = "" // the worker is gone and reports nothing
)

// History notes what callers were told and what workers did. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	jobs   map[string]*jobHistory
	gangs  map[gangID]*gang
	broken []string
	totals Totals
	// starts are the times of the starts in each pool.
	starts map[string][]time.Time
	// log is told of each event; calmAt is when the last fault ended; views are by entry host.
	log    io.Writer
	calmAt time.Time
	views  map[string]view
}

// Totals are counts of what workers did.
type Totals struct {
	Starts, Done, Failed, Stopped, Lapsed, Gone int
	// Apart are runs that ended because other members of their gang were missing; Resumed began from a checkpoint.
	Apart, Resumed         int
	Upkeeps, Moves, Broken int
	// ServedAgain counts attempts that had to be accepted after the last fault, Looks those at configurations.
	ServedAgain, Looks int
}

type jobHistory struct {
	Job
	tasks       map[taskID]*taskHistory
	cancelledAt time.Time
	// cancelAsked is set once a cancellation was sent.
	cancelAsked bool
	refused     bool
}

type taskHistory struct {
	running, runs, done int
	// noted is set once an end with success was taken note of.
	noted bool
	// displacedAt is when an order last ended the task at work.
	startedAt, idleSince, displacedAt time.Time
}

// NewHistory returns a History of nothing.
func NewHistory() *History {
	return &History{jobs: make(map[string]*jobHistory), gangs: make(map[gangID]*gang), starts: make(map[string][]time.Time), views: make(map[string]view)}
}

// Add tells of a job before it is handed in.
func (h *History) Add(j Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = &jobHistory{Job: j, tasks: make(map[taskID]*taskHistory)}
}

// CancelAsked tells that a job's cancellation is about to be sent.
func (h *History) CancelAsked(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].cancelAsked = true
	h.noteLocked("job %s: a cancellation is sent", id)
}

// Cancelled tells that the cancellation of a job was acknowledged.
func (h *History) Cancelled(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].cancelledAt = time.Now()
	h.noteLocked("job %s: the cancellation is acknowledged", id)
}

// Refused tells that all attempts to hand a job in were refused.
func (h *History) Refused(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	j.refused = true
	h.noteLocked("job %s: every attempt was refused", id)
	if len(j.tasks) > 0 {
		h.breakLocked("job %s was refused and has run", id)
	}
}

// Completed tells that a job was shown as completed.
func (h *History) Completed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	h.noteLocked("job %s: shown as completed", id)
	if open := j.open(len(j.Steps)); open > 0 {
		h.breakLocked("job %s was shown as completed with %d tasks open", id, open)
	}
}

// open counts the tasks of the first steps that have not succeeded.
func (j *jobHistory) open(steps int) int {
	open := 0
	for i := range j.Steps[:steps] {
		open += j.openIn(i)
	}
	return open
}

func (j *jobHistory) openIn(step int) int {
	open := 0
	for index := range j.Steps[step].Count {
		if t := j.tasks[taskID{j.ID, step, index}]; t == nil || t.done == 0 {
			open++
		}
	}
	if j.Steps[step].Gang && open < j.Steps[step].Count {
		return 0 // one member's end stands for all
	}
	return open
}

// Running counts the tasks of a job that run now.
func (h *History) Running(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := 0
	for _, t := range h.jobs[id].tasks {
		running += t.running
	}
	return running
}

// FirstStart is the first start in a pool after a time, zero if there was none.
func (h *History) FirstStart(pool string, after time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.starts[pool] {
		if at.After(after) {
			return at
		}
	}
	return time.Time{}
}

// Broken notes a broken promise.
func (h *History) Broken(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakLocked(format, args...)
}

func (h *History) breakLocked(format string, args ...any) {
	h.totals.Broken++
	h.noteLocked("BROKEN: "+format, args...)
	if len(h.broken) < maxBroken {
		h.broken = append(h.broken, fmt.Sprintf(format, args...))
	}
}

// Verdict returns the counts and the first broken promises.
func (h *History) Verdict() (Totals, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totals, slices.Clone(h.broken)
}
