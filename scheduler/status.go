package scheduler

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// Status returns the load of the pool.
func (p *Pool) Status(now time.Time) *pb.PoolStatusResponse {
	out := &pb.PoolStatusResponse{
		Owner: !p.fenced, Fence: p.cfg.Fence, ArrivedMilliMs: p.arrivals.total, LargestMilliMs: p.arrivals.largest(now),
	}
	p.eachRunnable(func(s *step, tasks int) {
		if s.spec.GetPersistent() {
			out.WaitingPersistentCpuMilli += int64(tasks) * s.need.CPUMilli
			out.WaitingPersistentMemoryMb += int64(tasks) * s.need.MemoryMB
			return
		}
		out.WaitingTasks += int64(tasks)
		work := int64(float64(tasks) * s.expectedTaskWork())
		out.BacklogMilliMs += work
		if s.projectedDuration(now) > p.objective(s.occ) {
			out.LateMilliMs += work
		}
	})
	out.StuckCpuMilli = p.stuckCPU(now)
	out.CarriedCpuMilli = int64(p.sendBudget.throughputMilli)
	for _, w := range p.sortedWorkers {
		if w.departed && len(w.runs) == 0 {
			continue
		}
		out.Workers = append(out.Workers, p.workerLoad(now, w))
	}
	return out
}

func (p *Pool) workerLoad(now time.Time, w *worker) *pb.WorkerLoad {
	// A worker that is stopped cannot report its ends to a later owner.
	recorded := !w.endsHidden && len(w.ends.unrecorded()) == 0
	out := &pb.WorkerLoad{
		Id: w.ID, Tasks: int64(len(w.runs)), UsedCpuMilli: w.used.CPUMilli, UsedMemoryMb: w.used.MemoryMB,
		Evacuated: w.evacuating && w.emptyConfirmed && len(w.runs) == 0 && recorded,
		Stoppable: (w.reported || p.earlierLeasesExpired(now, w)) && recorded,
	}
	w.describeIncarnation(out)
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		if r.task.step.spec.GetPersistent() {
			out.PersistentTasks++
			out.PersistentCpuMilli += r.need.CPUMilli
			out.PersistentMemoryMb += r.need.MemoryMB
		} else {
			out.RemainingMs = max(out.RemainingMs, r.remaining(now).Milliseconds())
		}
		out.Stoppable = out.Stoppable && p.isSafeToStop(now, r)
	}
	return out
}

// remaining estimates how much longer a batch run takes.
func (r *run) remaining(now time.Time) time.Duration {
	const minRemaining = 100 * time.Millisecond
	if r.orderedAt.IsZero() {
		return r.task.step.expected
	}
	return max(minRemaining, r.task.step.expected-now.Sub(r.orderedAt))
}

// Explain returns an explanation for operators of why a job waits.
func (p *Pool) Explain(id string) []string {
	j := p.jobs[id]
	if j == nil {
		return []string{"the owner of the pool does not know the job"}
	}
	out := []string{fmt.Sprintf("state %s, queue %s", jobstate.Name(j.visibleState()), j.queue)}
	if j.workspace != "" {
		out[0] += ", workspace " + j.workspace
	}
	if j.isTerminal() {
		if !j.rec.durable() {
			out = append(out, "the final state is not durable yet")
		}
		return out
	}
	if p.takeover.blocksStarts() {
		out = append(out, fmt.Sprintf("takeover: %d workers have not reported yet", len(p.takeover.awaited)))
	}
	for _, w := range p.hidingWorkers {
		out = append(out, fmt.Sprintf("takeover: worker %s has not listed all ended runs of earlier owners yet", w.ID))
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			out = append(out, p.explainStep(s))
		}
	}
	return out
}

func (p *Pool) explainStep(s *step) string {
	placed := 0
	for _, n := range s.active {
		placed += n
	}
	text := fmt.Sprintf("occurrence %d step %d: %d of %d done, %d placed, %d waiting",
		s.occ.number, s.number, s.doneTasks, len(s.tasks), placed, len(s.ready))
	if n := s.countSuspected(); n > 0 {
		text = fmt.Sprintf("%s, %d suspected of crashing workers and started one at a time", text, n)
	}
	if n := s.countGivenUp(); n > 0 {
		text = fmt.Sprintf("%s, %d given up", text, n)
	}
	switch {
	case s.blockedBy > 0:
		return fmt.Sprintf("%s; depends on %d unfinished steps", text, s.blockedBy)
	case len(s.ready) > 0 && p.awaitsEnds(s):
		return text + "; may have ended on a worker that has not listed all ended runs"
	case len(s.ready) > 0 && p.withinLimit(s, 1) == 0:
		return text + "; " + reasonHeld
	case len(s.ready) > 0 && p.countPreempting(s) > 0:
		return text + "; runs of lower-priority queues are being preempted"
	case len(s.ready) > 0 && placed == 0:
		return text + "; no usable and permitted worker has room"
	default:
		return text
	}
}
