package jobplatform

import (
	"slices"
	"sync"
	"time"
)

const (
	// stopTime is the duration of a stop.
	stopTime = 100 * time.Millisecond
	// startupTime is the time from the start of a persistent task until it serves.
	startupTime = 300 * time.Millisecond
	// maxLease is the longest lease of runs.
	maxLease = 10 * time.Second
	// maxReportedEnds limits the ended runs in one report.
	maxReportedEnds = 500
	thousandths     = 1000
)

// worker is one incarnation of a machine's worker. Its clock counts milliseconds from clockBase and is slow by clockLag, in
// thousandths.
type worker struct {
	id, pool  string
	capacity  capacity
	enforces  bool
	history   *History
	born      time.Time
	clockBase int64
	clockLag  int64

	mu     sync.Mutex
	dead   bool
	fence  uint64
	until  int64
	runs   []*run
	ended  []endedRun
	number int64
	// seen is the highest lastSeen; ends up to it are not listed, even if they follow it.
	seen    int64
	highest map[taskID]int64
	changed chan struct{}
}

type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// endedRun is an end that no owner has acknowledged. It has lapsed once the worker's lease expired after it.
type endedRun struct {
	number int64
	run    *run
	how    string
	lapsed bool
}

func (w *worker) clock() int64 {
	return w.clockBase + time.Since(w.born).Milliseconds()*(thousandths-w.clockLag)/thousandths
}

// expireLocked ends all runs if the lease has expired.
func (w *worker) expireLocked() {
	if w.clock() <= w.until {
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, r := range slices.Clone(w.runs) {
		w.endLocked(r, endLapsed)
	}
}

func (w *worker) extendLocked(until int64) {
	w.until = max(w.until, min(until, w.clock()+maxLease.Milliseconds()))
}

// fencedLocked reports whether an order's fencing token is too low, and keeps the highest.
func (w *worker) fencedLocked(fence uint64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

// reasonDead is never sent: a terminated worker does not answer.
const reasonDead = "dead"

// start starts a run. The reason of a rejection is empty if the run exists afterwards.
func (w *worker) start(o orderBody, t taskID) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return reasonDead
	}
	if w.fencedLocked(o.Fence) {
		return "fence"
	}
	if o.UntilMs < w.clock() {
		return "late"
	}
	w.expireLocked()
	w.extendLocked(o.UntilMs)
	if slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == t && r.number == o.Run }) {
		return ""
	}
	if o.Run <= w.highest[t] {
		return "old"
	}
	return w.startRunLocked(o, t)
}

func (w *worker) startRunLocked(o orderBody, t taskID) (reason string) {
	need, known := w.history.demand(t)
	fits := known && w.fitsLocked(need)
	if w.enforces && known && !fits {
		return "room"
	}
	record, step, ok := w.history.started(w.id, w.pool, o, t)
	if !ok {
		return "room"
	}
	if !fits {
		w.history.ReportViolation("%v started on worker %s beyond its capacity", t, w.id)
	}
	w.highest[t] = o.Run
	r := newRun(o, t, step, record)
	if o.Checkpoint != "" && !r.resume(o.Checkpoint) {
		w.history.ReportViolation("%v started with checkpoint %q of another task", t, o.Checkpoint)
	}
	if r.restored > 0 {
		w.history.count(func(t *Totals) { t.Resumed++ })
	}
	if step.Gang {
		r.gang = w.history.join(t, o.Run, step.Count)
	}
	w.runs = append(w.runs, r)
	return ""
}

func (w *worker) fitsLocked(need capacity) bool {
	for _, r := range w.runs {
		need.CPU += r.step.CPUMilli
		need.MemMB += r.step.MemoryMB
	}
	return need.CPU <= w.capacity.CPU && need.MemMB <= w.capacity.MemMB
}

// stop stops the runs of a task up to a number. The reason of a rejection is empty if the order was accepted.
func (w *worker) stop(o orderBody, t taskID) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(o.Fence) {
		return "fence"
	}
	w.highest[t] = max(w.highest[t], o.Run)
	for _, r := range w.runs {
		if r.task == t && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			w.history.displaced(t)
		}
	}
	return ""
}

// tick saves checkpoints and ends the runs that are due.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLocked()
	for _, r := range slices.Clone(w.runs) {
		r.save(now, false)
		how := r.outcome(now)
		switch {
		case r.stopAt.IsZero() && how != "":
			w.endLocked(r, how)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			r.save(now, true)
			w.endLocked(r, endStopped)
		}
	}
}

func (w *worker) endLocked(ended *run, how string) {
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r == ended })
	w.number++
	w.ended = append(w.ended, endedRun{number: w.number, run: ended, how: how})
	if ended.gang != nil {
		ended.gang.ended(how)
	}
	w.history.runEnded(ended.record, how)
	w.acknowledgeLocked(w.seen)
	close(w.changed)
	w.changed = make(chan struct{})
}

// terminate ends all runs without a report; ordered reports whether an order caused it.
func (w *worker) terminate(ordered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, r := range w.runs {
		if ordered {
			w.history.displaced(r.task)
		}
		if r.gang != nil {
			r.gang.ended(endGone)
		}
		w.history.runEnded(r.record, endGone)
	}
	w.runs, w.ended = nil, nil
	close(w.changed)
	w.changed = make(chan struct{})
}

// acknowledgeLocked drops the ends that an owner has acknowledged.
func (w *worker) acknowledgeLocked(lastSeen int64) {
	w.seen = max(w.seen, lastSeen)
	for len(w.ended) > 0 && w.ended[0].number <= w.seen {
		if e := w.ended[0]; e.how == endDone {
			w.history.successAcknowledged(e.run.record, e.lapsed)
		}
		w.ended = w.ended[1:]
	}
}
