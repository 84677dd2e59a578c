package scheduler

import "time"

// A job may have any number of occurrences that are overdue, and each of them any number of tasks. Those that are open follow
// what the pool runs: further ones are opened as earlier ones start, so that neither the work of one step nor the memory grows
// with the number of overdue ones.
const (
	// maxReadyTasks is the number of tasks that wait for a worker, from which no more occurrences of a job are opened.
	maxReadyTasks = 1000
	// maxBlockedTasks is the same for the tasks of steps that depend on others.
	maxBlockedTasks = 50_000
	// maxOpenedTasks bounds the tasks of the occurrences opened in one step, apart from those of the last one.
	maxOpenedTasks = 4000
	// openingPause is the time after which opening goes on if it was cut short by maxOpenedTasks.
	openingPause = 5 * time.Millisecond
)

// openOccurrences opens the occurrences that are due. Jobs take turns to be the first.
func (p *Pool) openOccurrences(now time.Time) {
	p.openedTasks = 0
	kept := p.repeating[:0]
	cutShort := -1
	for i, j := range p.repeating {
		if j.isTerminal() || j.nextOccurrence >= j.totalOccurrences {
			continue
		}
		if p.openedTasks >= maxOpenedTasks && cutShort < 0 {
			cutShort = len(kept)
		}
		p.openDueOccurrences(now, j)
		if j.nextOccurrence < j.totalOccurrences {
			kept = append(kept, p.repeating[i])
		}
	}
	clear(p.repeating[len(kept):])
	p.repeating = kept
	if cutShort > 0 && cutShort < len(kept) {
		rotate(p.repeating, cutShort)
	}
}

// rotate moves the element at the index to the front, and those before it to the end.
func rotate(jobs []*job, first int) {
	front := append([]*job(nil), jobs[:first]...)
	copy(jobs, jobs[first:])
	copy(jobs[len(jobs)-first:], front)
}

// openDueOccurrences opens the occurrences of a job that are due, as far as the bounds allow.
func (p *Pool) openDueOccurrences(now time.Time, j *job) {
	ready, blocked := j.waitingTasks()
	for {
		j.nextOccurrence = j.finishedOccurrences.nextMissing(j.nextOccurrence)
		if j.nextOccurrence >= j.totalOccurrences {
			return
		}
		due := j.dueAt(j.nextOccurrence)
		if opens := due.Add(-p.cfg.Early / 2); now.Before(opens) {
			p.wake(opens)
			return
		}
		if ready >= maxReadyTasks || blocked >= maxBlockedTasks {
			return
		}
		if p.openedTasks >= maxOpenedTasks {
			p.wake(now.Add(openingPause))
			return
		}
		if j.occurrence(j.nextOccurrence) == nil {
			o := p.openOccurrence(now, j, j.nextOccurrence, due)
			moreReady, moreBlocked := o.waitingTasks()
			ready, blocked = ready+moreReady, blocked+moreBlocked
			p.openedTasks += int(tasksPerOccurrence(j.spec))
		}
		j.nextOccurrence++
	}
}

// waitingTasks returns the number of tasks of the open occurrences that wait for a worker, and of those of steps that depend on
// others.
func (j *job) waitingTasks() (ready, blocked int) {
	for _, o := range j.occurrences {
		r, b := o.waitingTasks()
		ready, blocked = ready+r, blocked+b
	}
	return ready, blocked
}

func (o *occurrence) waitingTasks() (ready, blocked int) {
	for _, s := range o.steps {
		if s.opened {
			ready += len(s.ready)
		} else {
			blocked += len(s.tasks) - s.doneTasks
		}
	}
	return ready, blocked
}

func (j *job) dueAt(number int) time.Time {
	return time.UnixMilli(j.spec.GetStartAtMs() + int64(number)*j.spec.GetIntervalMs())
}

func (j *job) occurrence(number int) *occurrence { return j.byNumber[number] }
