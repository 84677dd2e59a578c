package jobplatform

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// maxViolations limits the number of violations whose text is kept.
	maxViolations = 50
	// cancelGrace is how long tasks of a job may still start after its cancellation was acknowledged.
	cancelGrace = 6 * time.Second
)

// Ends of runs, as workers report them.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endBroken  = "broken"
	endAlone   = "alone"
	endGone    = "" // the worker terminated without a report
)

// History records what callers were answered and what workers did. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	jobs       map[string]*jobHistory
	gangs      map[gangID]*gang
	violations []string
	totals     Totals
	// starts holds the start times by pool.
	starts map[string][]time.Time
	// log receives each event; faultsEndedAt is when the last fault ended; views is keyed by entry host.
	log           io.Writer
	faultsEndedAt time.Time
	views         map[string]view
}

// Totals are counts of what workers did.
type Totals struct {
	Starts, Done, Failed, Stopped, Lapsed, Gone int
	// Apart counts runs that ended because other members of their gang were missing, Resumed runs that started from a checkpoint.
	Apart, Resumed         int
	Upkeeps, Moves, Broken int
	// ServedAgain counts attempts that had to be accepted after the last fault, Looks the configurations that were read.
	ServedAgain, Looks int
}

type jobHistory struct {
	Job
	tasks       map[taskID]*taskHistory
	cancelledAt time.Time
	// cancelAsked is set before a cancellation is sent.
	cancelAsked bool
	rejected    bool
}

type taskHistory struct {
	runs          []*runRecord
	running, done int
	// acknowledged is set once a successful end was acknowledged.
	acknowledged bool
	// displacedAt is when an order last ended the task while it was serving.
	startedAt, idleSince, displacedAt time.Time
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{jobs: make(map[string]*jobHistory), gangs: make(map[gangID]*gang), starts: make(map[string][]time.Time), views: make(map[string]view)}
}

// Add registers a job before it is submitted.
func (h *History) Add(j Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = &jobHistory{Job: j, tasks: make(map[taskID]*taskHistory)}
}

// CancelAsked records that the cancellation of a job is about to be sent.
func (h *History) CancelAsked(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].cancelAsked = true
	h.logLocked("job %s: a cancellation is sent", id)
}

// Cancelled records that the cancellation of a job was acknowledged.
func (h *History) Cancelled(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].cancelledAt = time.Now()
	h.logLocked("job %s: the cancellation is acknowledged", id)
}

// Refused records that all attempts to submit a job were rejected.
func (h *History) Refused(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	j.rejected = true
	h.logLocked("job %s: every attempt was rejected", id)
	if len(j.tasks) > 0 {
		h.reportViolationLocked("job %s was rejected and has run", id)
	}
}

// Completed records that a job was shown as completed.
func (h *History) Completed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	h.logLocked("job %s: shown as completed", id)
	if open := j.open(len(j.Steps)); open > 0 {
		h.reportViolationLocked("job %s was shown as completed with %d tasks open", id, open)
	}
}

// open returns the number of tasks in the first steps that have not succeeded.
func (j *jobHistory) open(steps int) int {
	open := 0
	for i := range j.Steps[:steps] {
		open += j.openInStep(i)
	}
	return open
}

func (j *jobHistory) openInStep(step int) int {
	open := 0
	for index := range j.Steps[step].Count {
		if t := j.tasks[taskID{j.ID, step, index}]; t == nil || t.done == 0 {
			open++
		}
	}
	if j.Steps[step].Gang && open < j.Steps[step].Count {
		return 0 // the success of one member counts for all
	}
	return open
}

// Running returns the number of running tasks of a job.
func (h *History) Running(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := 0
	for _, t := range h.jobs[id].tasks {
		running += t.running
	}
	return running
}

// FirstStart returns the time of the first start in a pool after a given time, zero if there was none.
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

// ReportViolation records a violation of a guarantee.
func (h *History) ReportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportViolationLocked(format, args...)
}

func (h *History) reportViolationLocked(format string, args ...any) {
	h.totals.Broken++
	h.logLocked("BROKEN: "+format, args...)
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// Verdict returns the counts and the first maxViolations violations.
func (h *History) Verdict() (Totals, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totals, slices.Clone(h.violations)
}
