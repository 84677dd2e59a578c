package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// simRun is what executes on a simulated worker.
type simRun struct {
	sim        *sim
	task       scheduler.TaskID
	run        int64
	step       *pb.JobStep
	began      int64
	saved      string
	done       float64 // ms of work done
	need       float64
	fails      bool
	stopping   bool
	hung       bool
	savedShare float64
}

// simWorker is one id with its present lifetime.
type simWorker struct {
	sim        *sim
	id         string
	rack       string
	up         bool
	born       int64
	rate       float64
	speed      float64
	failsAll   bool
	hangs      bool
	capacity   scheduler.Resources
	fence      uint64
	leaseUntil int64
	running    []*simRun
	ended      []scheduler.EndedRun
	endAt      map[int64]int64
	next       int64
	// lapsedAt is the last end before the lease last lapsed: such ends are not taken note of.
	lapsedAt int64
	highest  map[scheduler.TaskID]int64
	draining bool
	// keepsID means that each lifetime has the same id, so that calls cannot tell them apart.
	keepsID bool
}

// meant tells whether a call that expects a lifetime is for this one.
func (w *simWorker) meant(born int64) bool { return w.keepsID || w.born == born }

func (w *simWorker) boot() {
	if w.up {
		return
	}
	w.up = true
	w.sim.trace("EVENT boot %s", w.id)
	w.born = w.sim.now + 1_000_000
	w.fence, w.leaseUntil, w.next, w.lapsedAt = 0, 0, 0, 0
	w.running, w.ended = nil, nil
	w.endAt = map[int64]int64{}
	w.highest = map[scheduler.TaskID]int64{}
}

func (w *simWorker) crash() {
	for _, r := range w.running {
		w.sim.check.over(w, r)
	}
	w.running, w.ended = nil, nil
	w.up = false
	w.sim.trace("EVENT crash %s", w.id)
}

func (w *simWorker) clock() int64 {
	return 5000 + int64(float64(w.sim.now+1_000_000-w.born)*w.rate)
}

func (w *simWorker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+simConfig.MaxLease.Milliseconds()))
}

func (w *simWorker) start(fence uint64, o scheduler.Order) scheduler.Outcome {
	if fence < w.fence {
		return scheduler.OutcomeFenced
	}
	w.fence = fence
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
	if o.Run <= w.highest[o.Task] {
		return scheduler.OutcomeOutdated
	}
	if w.sim.jobs[o.Task.Job].rec.GetQueue() == "advised" && o.Ticket != w.ticket(o.Task.Job, o.Task.Step) {
		return scheduler.OutcomeTicket
	}
	r := w.sim.newRun(w, o)
	w.sim.check.started(w, r, o)
	w.running = append(w.running, r)
	return scheduler.OutcomeDone
}

func (w *simWorker) permitted(job string) bool { return (len(w.id)+int(w.id[2])+int(job[3]))%3 != 0 }

func (w *simWorker) ticket(job string, step int) string {
	return fmt.Sprintf("%s/%d/%s/%d", job, step, w.id, w.born)
}

func (w *simWorker) stop(fence uint64, o scheduler.Order) scheduler.Outcome {
	if fence < w.fence {
		return scheduler.OutcomeFenced
	}
	w.fence = fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	for _, r := range w.running {
		if r.task == o.Task && r.run <= o.Run && !r.stopping {
			if r.atWork() {
				w.sim.check.lastOver[r.task] = w.sim.now
			}
			r.stopping = true
			born := w.born
			w.sim.after(w.sim.rng.Int64N(simConfig.StopTime.Milliseconds()), func() {
				if w.born == born && w.up && slices.Contains(w.running, r) {
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
		r.savedShare = r.done
		r.saved = fmt.Sprintf("%s.%d.%d.%d@%.0f", r.task.Job, r.task.Occurrence, r.task.Step, memberIndex(r), r.done)
	}
}

// memberIndex is 0 for all members of a gang, as any member's checkpoint is valid for all.
func memberIndex(r *simRun) int {
	if r.step.GetGang() {
		return 0
	}
	return r.task.Index
}

func (w *simWorker) end(r *simRun, how scheduler.RunEnd) {
	w.running = slices.DeleteFunc(w.running, func(x *simRun) bool { return x == r })
	w.next++
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.next, Task: r.task, Run: r.run, End: how, Checkpoint: r.saved})
	w.endAt[w.next] = w.sim.now
	w.sim.check.over(w, r)
	w.sim.check.ended(w, r, how)
	if how != scheduler.EndLapsed && how != scheduler.EndBroken && r.step.GetGang() {
		w.sim.breakGang(r, how)
	}
}

// tick lets ms of time pass for what runs.
func (w *simWorker) tick(ms int64) {
	if !w.up {
		return
	}
	if w.clock() > w.leaseUntil {
		w.lapsedAt = w.next
		for _, r := range slices.Clone(w.running) {
			w.end(r, scheduler.EndLapsed)
		}
		return
	}
	for _, r := range slices.Clone(w.running) {
		if !slices.Contains(w.running, r) {
			continue
		}
		if r.step.GetGang() && !w.sim.gangPresent(r) {
			if w.sim.now-r.began > simConfig.GangTime.Milliseconds() {
				w.end(r, scheduler.EndAlone)
			}
			continue
		}
		if r.hung {
			continue
		}
		r.done += float64(ms) * w.speed
		if r.done-r.savedShare >= 1000 {
			w.save(r)
		}
		if r.done < r.need || r.stopping {
			continue
		}
		if r.fails {
			w.end(r, scheduler.EndFailed)
		} else if !r.step.GetPersistent() {
			w.end(r, scheduler.EndSucceeded)
		}
	}
}

// hold answers a call as it stands now.
func (w *simWorker) hold(fence uint64, h scheduler.Hold) scheduler.Report {
	rep := scheduler.Report{Worker: w.id, Born: w.born, Clock: w.clock(), LastSeen: h.LastSeen, Until: h.Until}
	if fence < w.fence {
		rep.Fenced = true
		return rep
	}
	w.fence = fence
	w.extend(h.Until)
	for len(w.ended) > 0 && w.ended[0].Number <= h.LastSeen {
		w.sim.check.noted(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	rep.Ended = slices.Clone(w.ended)
	for _, r := range w.running {
		percent := 100
		if !r.step.GetPersistent() {
			percent = int(100 * r.done / r.need)
		} else if w.sim.now-r.began < simStartup {
			percent = 10
		}
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: r.task, Run: r.run, Checkpoint: r.saved, Percent: percent})
	}
	return rep
}

// resumeFrom reads how far a checkpoint has come.
func resumeFrom(checkpoint string) float64 {
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
