package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// While the tasks of a queue crash workers, its untried tasks start on few workers and not beside untried tasks of other
// jobs, so that a crash ends few other runs and charges one job only. A task is untried until a run of its job has been
// cleared.
const (
	// containmentCrashes crashes charged to a queue within containmentWindow begin its containment, and one more if another
	// queue was charged as often. It ends after containmentWindow without another one.
	containmentCrashes = 2
	containmentWindow  = 5 * time.Second
	// At most one trusted worker in containmentDivisor is used for untried tasks.
	containmentDivisor = 3
	// An untried step that has waited for containmentWait may use other workers too, and after isolationWait any worker. A step
	// must not wait for 3 s beside unused capacity.
	containmentWait = 1500 * time.Millisecond
	isolationWait   = 2500 * time.Millisecond
	// containmentPenalty is the cost of a containment worker to all other tasks: more than that of a worker with the same
	// persistent step, less than that of the wrong rack.
	containmentPenalty = 15
)

// containment tracks the queues whose tasks crash workers.
type containment struct {
	// crashes holds the latest crashes that are not charged to a contained queue.
	crashes []queueCrash
	queues  map[string]*containedQueue
	// workers are those on which untried tasks of contained queues start.
	workers map[*worker]bool
	// untried holds the runs of untried tasks of contained queues that are not cleared yet.
	untried []*run
}

// queueCrash is a crash of a worker with uncleared runs of the queues.
type queueCrash struct {
	at     time.Time
	queues map[string]bool
}

type containedQueue struct {
	since, lastCrash time.Time
	crashes          int
}

// observeCrash records a crash of a worker with uncleared runs of the queues, and begins the containment of a queue that
// crashes workers. A crash that may be due to a contained queue is not charged to another one.
func (p *Pool) observeCrash(now time.Time, queues map[string]bool) {
	c := &p.containment
	known := false
	for name := range queues {
		if q := c.queues[name]; q != nil {
			q.lastCrash, known = now, true
			q.crashes++
		}
	}
	if known || len(queues) == 0 {
		return
	}
	c.crashes = slices.DeleteFunc(c.crashes, func(x queueCrash) bool { return now.Sub(x.at) > containmentWindow })
	c.crashes = append(c.crashes, queueCrash{now, queues})
	for _, name := range c.mostCharged() {
		p.beginContainment(now, name)
	}
}

// mostCharged returns the queues to contain: those charged with the most crashes, among equals those with the most crashes
// that only they are charged with.
func (c *containment) mostCharged() []string {
	charged, alone := map[string]int{}, map[string]int{}
	most, mostAlone := 0, 0
	for _, x := range c.crashes {
		for name := range x.queues {
			charged[name]++
			most = max(most, charged[name])
			if len(x.queues) == 1 {
				alone[name]++
			}
		}
	}
	var found []string
	for _, name := range sortedKeys(charged) {
		if charged[name] < most {
			continue
		}
		if alone[name] > mostAlone {
			found, mostAlone = nil, alone[name]
		}
		if alone[name] == mostAlone {
			found = append(found, name)
		}
	}
	if most < containmentCrashes || len(found) > 1 && most == containmentCrashes {
		return nil
	}
	return found
}

func (p *Pool) beginContainment(now time.Time, name string) {
	c := &p.containment
	q := &containedQueue{since: now, lastCrash: now}
	c.crashes = slices.DeleteFunc(c.crashes, func(x queueCrash) bool {
		if x.queues[name] {
			q.crashes++
		}
		return x.queues[name]
	})
	if c.queues == nil {
		c.queues = map[string]*containedQueue{}
	}
	c.queues[name] = q
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionContained, Queue: name, Crashes: q.crashes})
	p.wakePlacement(now)
}

// checkContainment ends the containments that are over, selects the workers of the others, and polls those with untried
// runs that should be cleared.
func (p *Pool) checkContainment(now time.Time) {
	c := &p.containment
	if len(c.queues) == 0 {
		return
	}
	for _, name := range sortedKeys(c.queues) {
		q := c.queues[name]
		if end := q.lastCrash.Add(containmentWindow); now.Before(end) {
			p.wake(end)
			continue
		}
		delete(c.queues, name)
		p.out.Decisions = append(p.out.Decisions, Decision{
			Kind: DecisionContainmentEnded, Queue: name, Crashes: q.crashes, Age: now.Sub(q.since),
		})
		p.wakePlacement(now)
	}
	p.checkUntried(now)
	if len(c.queues) == 0 {
		c.workers = nil
		return
	}
	p.selectContainmentWorkers(now)
}

// checkUntried drops the untried runs that are over or cleared, and polls the workers of those that should be.
func (p *Pool) checkUntried(now time.Time) {
	c := &p.containment
	kept := c.untried[:0]
	for _, r := range c.untried {
		if r.state != runOver && !r.isCleared() && len(c.queues) > 0 {
			kept = append(kept, r)
			p.pollTrial(now, r)
			continue
		}
		p.placementDue = true
	}
	clear(c.untried[len(kept):])
	c.untried = kept
}

// selectContainmentWorkers keeps the usable containment workers, and adds those with the fewest persistent runs and the least
// used capacity.
func (p *Pool) selectContainmentWorkers(now time.Time) {
	c := &p.containment
	trusted, _ := p.trustedWorkers(now)
	wanted := max(1, len(trusted)/containmentDivisor)
	workers := make(map[*worker]bool, wanted)
	rest := make([]*worker, 0, len(trusted))
	for _, w := range trusted {
		if c.workers[w] && len(workers) < wanted {
			workers[w] = true
			continue
		}
		rest = append(rest, w)
	}
	slices.SortStableFunc(rest, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.countPersistent(), b.countPersistent()), cmp.Compare(a.used.CPUMilli, b.used.CPUMilli))
	})
	for _, w := range rest[:min(wanted-len(workers), len(rest))] {
		workers[w] = true
	}
	c.workers = workers
}

func (w *worker) countPersistent() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step.spec.GetPersistent() {
			n++
		}
	}
	return n
}

// isContained reports whether the job belongs to a contained queue and none of its runs has been cleared.
func (p *Pool) isContained(j *job) bool {
	return len(p.containment.queues) > 0 && p.containment.queues[j.queue] != nil && !j.isTried()
}

// isTried reports whether a task of the job has succeeded or has a cleared run.
func (j *job) isTried() bool {
	if j.tried || j.anySucceeded {
		return true
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if slices.ContainsFunc(s.tasks[i].runs, (*run).isCleared) {
					j.tried = true
					return true
				}
			}
		}
	}
	return false
}

// permitsContained reports whether the step may use the worker as far as containment is concerned.
func (p *Pool) permitsContained(now time.Time, s *step, w *worker) bool {
	j := s.occ.job
	if !p.isContained(j) {
		return true
	}
	waited := now.Sub(s.readySince)
	if waited >= isolationWait {
		return true
	}
	if !p.containment.workers[w] && waited < containmentWait {
		return false
	}
	return !slices.ContainsFunc(w.runs, func(r *run) bool {
		// The worker of an overdue run has probably crashed, or does not answer.
		return r.task != nil && r.task.job() != j && !r.isCleared() && r.age(now) < r.task.crashes.trialTime()+trialPollTimeout
	})
}

// containmentCost is the cost of the worker to the task because of contained queues. An untried task prefers the worker on
// which a crash ends the least work, and all others prefer workers without untried tasks.
func (p *Pool) containmentCost(t *task, w *worker) float64 {
	const usedWeight = 4
	switch {
	case len(p.containment.queues) == 0:
		return 0
	case t.crashes.suspected:
		return 0
	case p.isContained(t.job()):
		return usedWeight * float64(w.used.CPUMilli) / float64(max(1, w.Capacity.CPUMilli))
	case p.containment.workers[w]:
		return containmentPenalty
	default:
		return 0
	}
}

// awaitsTrialOfSibling reports whether the trial of a contained queue's task waits for that of another task of its job, the
// one with the most crashes first. The job fails with it, so that further trials would only crash more workers.
func (p *Pool) awaitsTrialOfSibling(now time.Time, t *task) bool {
	s := t.step
	j := t.job()
	if p.containment.queues[j.queue] == nil || s.spec.GetGang() || s.spec.GetPersistent() || now.Sub(s.readySince) >= isolationWait {
		return false
	}
	for i := range s.tasks {
		other := &s.tasks[i]
		if other == t || other.done || !other.crashes.suspected {
			continue
		}
		if len(other.runs) > 0 || cmp.Or(cmp.Compare(t.crashes.total(), other.crashes.total()), cmp.Compare(i, t.index)) < 0 {
			return true
		}
	}
	return false
}

// trackUntried has the worker of an untried run polled until the run is cleared.
func (p *Pool) trackUntried(now time.Time, r *run) {
	if r.onTrial || !p.isContained(r.task.job()) {
		return
	}
	p.containment.untried = append(p.containment.untried, r)
	p.wake(now.Add(r.task.crashes.trialTime()))
}

// hasUntried reports whether an untried run of a contained queue is on the worker.
func (p *Pool) hasUntried(w *worker) bool {
	return slices.ContainsFunc(p.containment.untried, func(r *run) bool { return r.worker == w && r.state != runOver })
}
