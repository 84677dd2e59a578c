package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// simRun is a run on a simulated worker.
type simRun struct {
	sim        *sim
	task       scheduler.TaskID
	run        int64
	step       *pb.JobStep
	startedAt  int64
	checkpoint string
	workDone   float64 // in ms
	workNeeded float64
	fails      bool
	stopping   bool
	hangs      bool
	savedWork  float64
	// crashes means that the run crashes its worker crashAfter ms after its start.
	crashes    bool
	crashAfter int64
}

// simWorker is a worker id with its current incarnation.
type simWorker struct {
	sim         *sim
	id          string
	rack        string
	up          bool
	incarnation int64
	clockRate   float64
	speed       float64
	failsAll    bool
	hangs       bool
	capacity    scheduler.Resources
	// largerUntil holds earlier capacities and the times until which starts may still fill them.
	largerUntil []formerCapacity
	fence       uint64
	leaseUntil  int64
	running     []*simRun
	ended       []scheduler.EndedRun
	endedAt     map[int64]int64
	lastEnd     int64
	// forgotten is the highest acknowledgement. Ends up to it are never listed, also those to come.
	forgotten int64
	// lastEndBeforeLapse is the number of the last end when the lease last expired. The checker ignores ends up to
	// it.
	lastEndBeforeLapse int64
	highestRun         map[scheduler.TaskID]int64
	draining           bool
	// incarnationsAlike means that all incarnations have the same id, so that calls cannot tell them apart.
	incarnationsAlike bool
}

// formerCapacity is a capacity that starts may fill until the given time.
type formerCapacity struct {
	capacity scheduler.Resources
	until    int64
}

// simCapacityGrace is the time in ms after which a smaller capacity must be respected.
const simCapacityGrace = 4500

// resize changes the capacity of the running incarnation.
func (w *simWorker) resize(share float64) {
	w.sim.trace("EVENT resize %s %f", w.id, share)
	w.largerUntil = append(w.largerUntil, formerCapacity{w.capacity, w.sim.now + simCapacityGrace})
	w.capacity = scaledCapacity(share)
}

// scaledCapacity returns the share of the capacity that a simulated worker has at first.
func scaledCapacity(share float64) scheduler.Resources {
	return scheduler.Resources{CPUMilli: int64(8000 * share), MemoryMB: int64(16000 * share), GPU: 1}
}

// mayHold reports whether the use does not exceed the capacity, or one that was reduced a moment ago.
func (w *simWorker) mayHold(use scheduler.Resources) bool {
	fits := func(c scheduler.Resources) bool {
		return use.CPUMilli <= c.CPUMilli && use.MemoryMB <= c.MemoryMB && use.GPU <= c.GPU
	}
	return fits(w.capacity) || slices.ContainsFunc(w.largerUntil, func(f formerCapacity) bool {
		return w.sim.now < f.until && fits(f.capacity)
	})
}

// matchesIncarnation reports whether a call for the expected incarnation is accepted.
func (w *simWorker) matchesIncarnation(expected int64) bool {
	return w.incarnationsAlike || w.incarnation == expected
}

func (w *simWorker) boot() {
	if w.up {
		return
	}
	w.up = true
	w.sim.trace("EVENT boot %s", w.id)
	w.incarnation = w.sim.now + 1_000_000
	w.fence, w.leaseUntil, w.lastEnd, w.lastEndBeforeLapse, w.forgotten = 0, 0, 0, 0, 0
	w.running, w.ended, w.largerUntil = nil, nil, nil
	if w.sim.faults.resizes > 0 {
		if w.incarnationsAlike {
			// Until it answers, no caller can tell that this is another incarnation.
			w.largerUntil = []formerCapacity{{w.capacity, w.sim.now + simCapacityGrace}}
		}
		w.capacity = scaledCapacity(0.3 + 0.7*w.sim.rng.Float64())
	}
	w.endedAt = map[int64]int64{}
	w.highestRun = map[scheduler.TaskID]int64{}
}

func (w *simWorker) crash() {
	w.sim.checker.lastCrash = w.sim.now
	for _, r := range w.running {
		w.sim.checker.runOver(w, r)
		w.sim.checker.crashedUnder[r.task]++
	}
	w.running, w.ended = nil, nil
	w.up = false
	w.sim.trace("EVENT crash %s", w.id)
}

func (w *simWorker) clock() int64 {
	return 5000 + int64(float64(w.sim.now+1_000_000-w.incarnation)*w.clockRate)
}

func (w *simWorker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+w.sim.config().MaxLease.Milliseconds()))
}

func (w *simWorker) start(o scheduler.Order) scheduler.Outcome {
	if o.Fence < w.fence {
		return scheduler.OutcomeFenced
	}
	w.fence = o.Fence
	if o.Until < w.clock() {
		return scheduler.OutcomeLate
	}
	w.extend(o.Until)
	for _, r := range w.running {
		if r.task == o.Task {
			if r.run == o.Run {
				return scheduler.OutcomeDone
			}
			return scheduler.OutcomeOutdated
		}
	}
	if o.Run <= w.highestRun[o.Task] {
		return scheduler.OutcomeOutdated
	}
	if w.sim.jobs[o.Task.Job].rec.GetQueue() == "advised" && o.Ticket != w.ticket(o.Task.Job, o.Task.Step) {
		return scheduler.OutcomeTicket
	}
	r := w.sim.newRun(w, o)
	w.sim.checker.checkStart(w, r, o)
	w.running = append(w.running, r)
	if r.crashes {
		return w.crashUnder(r)
	}
	return scheduler.OutcomeDone
}

// crashUnder crashes the worker because of the run, at once or later, and boots it again after rebootMs.
func (w *simWorker) crashUnder(r *simRun) scheduler.Outcome {
	incarnation := w.incarnation
	crash := func() {
		if w.up && w.incarnation == incarnation && slices.Contains(w.running, r) {
			if w.sim.onCrash != nil {
				w.sim.onCrash(w)
			}
			w.crash()
			w.sim.after(w.sim.rebootMs, w.boot)
		}
	}
	if r.crashAfter == 0 {
		crash()
		return scheduler.OutcomeUnknown
	}
	w.sim.after(r.crashAfter, crash)
	return scheduler.OutcomeDone
}

func (w *simWorker) permitted(job string) bool { return (len(w.id)+int(w.id[2])+int(job[3]))%3 != 0 }

func (w *simWorker) ticket(job string, step int) string {
	return fmt.Sprintf("%s/%d/%s/%d", job, step, w.id, w.incarnation)
}

func (w *simWorker) stop(o scheduler.Order) scheduler.Outcome {
	if o.Fence < w.fence {
		return scheduler.OutcomeFenced
	}
	w.fence = o.Fence
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	for _, r := range w.running {
		if r.task == o.Task && r.run <= o.Run && !r.stopping {
			if r.isAvailable() {
				w.sim.checker.unavailableSince[r.task] = w.sim.now
			}
			r.stopping = true
			born := w.incarnation
			w.sim.after(w.sim.rng.Int64N(simConfig.StopTime.Milliseconds()), func() {
				if w.incarnation == born && w.up && slices.Contains(w.running, r) {
					w.save(r)
					w.end(r, scheduler.EndStopped)
				}
			})
		}
	}
	return scheduler.OutcomeDone
}

func (w *simWorker) save(r *simRun) {
	if r.step.GetSavesProgress() {
		r.savedWork = r.workDone
		r.checkpoint = fmt.Sprintf("%s.%d.%d.%d@%.0f", r.task.Job, r.task.Occurrence, r.task.Step, checkpointIndex(r), r.workDone)
	}
}

// checkpointIndex is 0 for all members of a gang, since any member's checkpoint is valid for all.
func checkpointIndex(r *simRun) int {
	if r.step.GetGang() {
		return 0
	}
	return r.task.Index
}

func (w *simWorker) end(r *simRun, how scheduler.RunEnd) {
	w.running = slices.DeleteFunc(w.running, func(x *simRun) bool { return x == r })
	w.lastEnd++
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.lastEnd, Task: r.task, Run: r.run, End: how, Checkpoint: r.checkpoint})
	w.endedAt[w.lastEnd] = w.sim.now
	w.sim.checker.runOver(w, r)
	w.sim.checker.runEnded(w, r, how)
	w.forget()
	if how != scheduler.EndLapsed && how != scheduler.EndBroken && r.step.GetGang() {
		w.sim.endGangAttempt(r, how)
	}
}

// forget drops the ends that were acknowledged.
func (w *simWorker) forget() {
	for len(w.ended) > 0 && w.ended[0].Number <= w.forgotten {
		w.sim.checker.endAcked(w, w.ended[0])
		w.ended = w.ended[1:]
	}
}

// tick advances the runs by the given time in ms.
func (w *simWorker) tick(ms int64) {
	if !w.up {
		return
	}
	if w.clock() > w.leaseUntil {
		w.lastEndBeforeLapse = w.lastEnd
		for _, r := range slices.Clone(w.running) {
			w.end(r, scheduler.EndLapsed)
		}
		return
	}
	for _, r := range slices.Clone(w.running) {
		if !slices.Contains(w.running, r) {
			continue
		}
		if r.step.GetGang() && !w.sim.gangComplete(r) {
			if w.sim.now-r.startedAt > simConfig.GangTime.Milliseconds() {
				w.end(r, scheduler.EndAlone)
			}
			continue
		}
		if r.hangs {
			continue
		}
		r.workDone += float64(ms) * w.speed
		if r.workDone-r.savedWork >= 1000 {
			w.save(r)
		}
		if r.workDone < r.workNeeded || r.stopping {
			continue
		}
		if r.fails {
			w.end(r, scheduler.EndFailed)
		} else if !r.step.GetPersistent() {
			w.end(r, scheduler.EndSucceeded)
		}
	}
}

// hold returns the response to a hold that does not wait.
func (w *simWorker) hold(h scheduler.Hold) scheduler.Report {
	if !w.beginHold(h) {
		return scheduler.Report{Worker: w.id, Address: w.id, Born: w.incarnation, Clock: w.clock(), Fence: h.Fence, LastSeen: h.LastSeen, Until: h.Until, Fenced: true}
	}
	return w.answerHold(h)
}

// beginHold applies a hold when it arrives, and reports whether its fence is accepted.
func (w *simWorker) beginHold(h scheduler.Hold) bool {
	if h.Fence < w.fence {
		return false
	}
	w.fence = h.Fence
	w.extend(h.Until)
	w.forgotten = max(w.forgotten, h.LastSeen)
	w.forget()
	return true
}

// answerHold lists the runs and ends in answer to a hold that may have waited while a later owner called.
func (w *simWorker) answerHold(h scheduler.Hold) scheduler.Report {
	rep := scheduler.Report{Worker: w.id, Address: w.id, Born: w.incarnation, Clock: w.clock(), Fence: h.Fence, LastSeen: h.LastSeen, Until: h.Until}
	rep.Ended = slices.Clone(w.ended)
	if limit := w.sim.config().MaxEndsPerReport; limit > 0 {
		rep.Ended = rep.Ended[:min(len(rep.Ended), limit)]
	}
	for _, r := range w.running {
		percent := 100
		if !r.step.GetPersistent() {
			percent = int(100 * r.workDone / r.workNeeded)
		} else if w.sim.now-r.startedAt < simStartup {
			percent = 10
		}
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: r.task, Run: r.run, Checkpoint: r.checkpoint, Percent: percent})
	}
	return rep
}

// workSavedIn parses how much work a checkpoint contains.
func workSavedIn(checkpoint string) float64 {
	_, at, ok := strings.Cut(checkpoint, "@")
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(at, 64)
	if err != nil {
		return 0
	}
	return v
}
