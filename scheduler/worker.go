package scheduler

import (
	"sort"
	"time"
)

const (
	// silentAfter is how long after the last report a worker counts as silent: its lease is not extended.
	silentAfter = 2500 * time.Millisecond
	// lapseMargin is added to the time by which a lease has lapsed.
	lapseMargin = 100 * time.Millisecond
	// slowAnswer is how long the answer to a start may take before the worker gets no more.
	slowAnswer = 400 * time.Millisecond
	// keepLeft is how long a worker that left is remembered after its last run is over.
	keepLeft = 30 * time.Second
)

// worker is what is known of one id.
type worker struct {
	Worker
	clock workerClock
	// reported means that this lifetime has answered a hold of this owner.
	reported   bool
	lastReport time.Time
	// listClock is the worker's clock of the newest list of what runs.
	listClock int64
	listSent  time.Time
	// leaseUntil is the longest lease asked for, on the worker's clock in ms.
	leaseUntil int64
	// gone means that another lifetime answered at its address, since goneAt.
	gone   bool
	goneAt time.Time
	left   bool
	leftAt time.Time

	runs  []*run
	byKey map[runKey]*run
	used  Resources

	ends  endLog
	trust trust
	// pausedUntil keeps starts away after refusals; doubt counts starts without an answer since the last report.
	pausedUntil time.Time
	pauses      int
	doubt       int
	evacuating  bool
	// freedFor is the step for which runs here give way.
	freedFor *step
	// drainBy is the earliest time at which a draining worker leaves.
	drainBy time.Time
	// emptyConfirmed means that a report has shown that nothing is here.
	emptyConfirmed bool
	// fillers counts runs that fill, fillCPU is what they ask for.
	fillers int
	fillCPU int64
	pace    paceState
}

type runKey struct {
	task TaskID
	run  int64
}

// SetWorkers takes the whole registry of the pool. Workers that are missing have left.
func (p *Pool) SetWorkers(now time.Time, ws []Worker) {
	seen := make(map[string]bool, len(ws))
	for i := range ws {
		seen[ws[i].ID] = true
		p.setWorker(now, &ws[i])
	}
	for _, w := range p.order {
		if !seen[w.ID] && !w.left {
			w.left = true
			w.leftAt = now
		}
	}
	p.takeover.registry = true
}

func (p *Pool) setWorker(now time.Time, fresh *Worker) {
	w := p.workers[fresh.ID]
	if w == nil {
		p.addWorker(now, fresh)
		return
	}
	w.left = false
	if fresh.Born < w.Born && fresh.Born != 0 {
		// The registry lags behind what the worker said of itself.
		return
	}
	if fresh.Born > w.Born && w.Born != 0 {
		p.restarted(now, w)
	}
	if w.Draining != fresh.Draining || w.Unlisted != fresh.Unlisted || w.Capacity != fresh.Capacity || w.gone {
		p.place = true
	}
	p.noteDrain(now, w, fresh)
	born := max(w.Born, fresh.Born)
	w.Worker = *fresh
	w.Born = born
	p.markEvacuating(w)
}

func (p *Pool) addWorker(now time.Time, fresh *Worker) {
	w := &worker{Worker: *fresh, byKey: map[runKey]*run{}, listClock: -1}
	w.lastReport = now
	p.markEvacuating(w)
	w.pace.percent = fullPace
	w.drainBy = now.Add(fresh.DrainLeft)
	p.workers[fresh.ID] = w
	at := sort.Search(len(p.order), func(i int) bool { return p.order[i].ID >= fresh.ID })
	p.order = append(p.order, nil)
	copy(p.order[at+1:], p.order[at:])
	p.order[at] = w
	p.takeover.expect(now, fresh.ID)
}

// noteDrain keeps when a worker that begins to drain leaves.
func (p *Pool) noteDrain(now time.Time, w *worker, fresh *Worker) {
	if !fresh.Draining {
		return
	}
	by := now.Add(fresh.DrainLeft)
	if !w.Draining || by.Before(w.drainBy) {
		w.drainBy = by
	}
}

// restarted ends what an earlier lifetime was seen to run. Orders name the id only, so a start that no list has shown may
// have reached, or yet reach, the lifetime that follows under the same id: its answer or a list tells.
func (p *Pool) restarted(now time.Time, w *worker) {
	p.lifetimeOver(now, w, "restarted", func(r *run) bool { return r.state == runRunning })
	w.gone = false
	for _, r := range w.runs {
		r.stopAcked = stamp{}
		r.stopAt = now
		r.giveUpAt = now.Add(longestLease(p.cfg.MaxLease))
	}
}

// lifetimeOver ends the runs of a lifetime that has crashed or left for good.
func (p *Pool) lifetimeOver(now time.Time, w *worker, reason string, ends func(*run) bool) {
	if !w.gone && !w.Draining {
		p.noteRestart(now, w)
	}
	runs := append([]*run(nil), w.runs...)
	for _, r := range runs {
		if !ends(r) {
			continue
		}
		p.decide("lost", r, reason)
		p.endRun(now, r, EndLapsed, "")
	}
	w.clock = workerClock{}
	w.reported = false
	w.listClock = -1
	w.leaseUntil = 0
	w.ends = endLog{}
	w.doubt = 0
	w.emptyConfirmed = false
	w.lastReport = now
	p.wakePlacement(now)
}

// checkWorkers ends the runs of workers whose lease has lapsed, and drops workers that left.
func (p *Pool) checkWorkers(now time.Time) {
	kept := p.order[:0]
	for _, w := range p.order {
		p.checkLapse(now, w)
		if w.left && len(w.runs) == 0 && now.Sub(w.leftAt) > keepLeft {
			delete(p.workers, w.ID)
			continue
		}
		kept = append(kept, w)
	}
	p.order = kept
}

func (p *Pool) checkLapse(now time.Time, w *worker) {
	if len(w.runs) == 0 || !w.silent(now) {
		return
	}
	lapsed := w.lapsed()
	if now.Before(lapsed) {
		p.wake(lapsed)
		return
	}
	for _, r := range append([]*run(nil), w.runs...) {
		p.decide("lost", r, "lease lapsed")
		p.endRun(now, r, EndLapsed, "")
	}
}

// lapsed is when the lease of a silent worker has lapsed, also one that a start to the lifetime before has asked for.
func (w *worker) lapsed() time.Time {
	var last time.Time
	if w.clock.known {
		last = w.clock.passed(w.leaseUntil).Add(lapseMargin)
	}
	for _, r := range w.runs {
		if r.giveUpAt.After(last) {
			last = r.giveUpAt
		}
	}
	return last
}

func (w *worker) silent(now time.Time) bool {
	return now.Sub(w.lastReport) > silentAfter
}

// closing tells whether the worker is gone, or is to get nothing new until it is listed otherwise.
func (w *worker) closing() bool {
	return w.gone || w.left || w.Draining || w.Unlisted || w.evacuating
}

// usable tells whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool {
	if !w.reported || !w.clock.known || w.closing() || w.doubt > 0 {
		return false
	}
	return !w.silent(now) && !now.Before(w.pausedUntil) && !w.slowToAnswer(now)
}

// slowToAnswer tells whether a start has been without an answer for long: the next would be, too.
func (w *worker) slowToAnswer(now time.Time) bool {
	for _, r := range w.runs {
		if r.state == runOrdered && now.Sub(r.orderedAt) > slowAnswer {
			return true
		}
	}
	return false
}

func (w *worker) free() Resources {
	return Resources{
		CPUMilli: w.Capacity.CPUMilli - w.used.CPUMilli,
		MemoryMB: w.Capacity.MemoryMB - w.used.MemoryMB,
		GPU:      w.Capacity.GPU - w.used.GPU,
	}
}

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// add reserves room for the run.
func (w *worker) add(r *run) {
	w.runs = append(w.runs, r)
	w.byKey[r.key()] = r
	w.used = w.used.plus(r.need)
	w.emptyConfirmed = false
	if r.fills() {
		w.fillers++
		w.fillCPU += r.task.step.spec.GetCpuMilli()
	}
}

// remove frees the room of the run.
func (w *worker) remove(r *run) {
	delete(w.byKey, r.key())
	for i, x := range w.runs {
		if x == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			break
		}
	}
	w.used = w.used.minus(r.need)
	if r.fills() {
		w.fillers--
		w.fillCPU -= r.task.step.spec.GetCpuMilli()
	}
}

// pause keeps starts away for a while that doubles with each refusal.
func (w *worker) pause(now time.Time, base time.Duration) {
	const maxDoublings = 4
	w.pausedUntil = now.Add(base << min(w.pauses, maxDoublings))
	w.pauses++
}

func (a Resources) plus(b Resources) Resources {
	return Resources{a.CPUMilli + b.CPUMilli, a.MemoryMB + b.MemoryMB, a.GPU + b.GPU}
}

func (a Resources) minus(b Resources) Resources {
	return Resources{a.CPUMilli - b.CPUMilli, a.MemoryMB - b.MemoryMB, a.GPU - b.GPU}
}

func (a Resources) fits(b Resources) bool {
	return a.CPUMilli <= b.CPUMilli && a.MemoryMB <= b.MemoryMB && a.GPU <= b.GPU
}
