package scheduler

import "time"

const (
	// fullPacePercent is the pace of a task at its start.
	fullPacePercent = 100
	// A tail latency above paceCutRatio of its target cuts the pace of the backfill tasks beside it. Below
	// paceRaiseRatio the pace is raised again.
	paceCutRatio   = 0.7
	paceRaiseRatio = 0.5
	// tailWindow is the period over which workers measure tail latencies.
	tailWindow = 500 * time.Millisecond
	// paceRaiseStepPercent is the amount by which the pace is raised at a time. minPacePercent is the lowest pace
	// above a full stop.
	paceRaiseStepPercent = 15
	minPacePercent       = 10
	// probePacePercent is tried if the tail latency stays high for probePaceDelay although the pace of all backfill
	// tasks is 0.
	probePacePercent = 25
	probePaceDelay   = 4 * time.Second
)

// paceState is the pace of the backfill tasks on one worker.
type paceState struct {
	percent   int
	changedAt time.Time
	listClock int64
}

// checkPace adjusts the pace of backfill tasks beside serving tasks to the latest tail latencies.
func (p *Pool) checkPace(now time.Time) {
	if !p.hasBackfill {
		return
	}
	for _, w := range p.sortedWorkers {
		if w.backfillRuns == 0 || !w.reported || w.replaced {
			w.pace.percent = fullPacePercent
			continue
		}
		if w.pace.listClock != w.listClock {
			w.pace.listClock = w.listClock
			p.adjustPace(now, w)
		}
		p.orderPaces(w)
	}
}

func (p *Pool) adjustPace(now time.Time, w *worker) {
	worstRatio, serving := w.worstTailRatio()
	since := now.Sub(w.pace.changedAt)
	settled := since >= p.cfg.PaceDelay+tailWindow
	next := w.pace.percent
	switch {
	case !serving:
		next = fullPacePercent
	case !settled:
	case worstRatio > 1:
		next /= 4
	case worstRatio > paceCutRatio:
		next /= 2
	case worstRatio < paceRaiseRatio:
		next = min(fullPacePercent, next+paceRaiseStepPercent)
	}
	if next < minPacePercent && next < w.pace.percent {
		next = 0
	}
	if worstRatio > paceCutRatio && w.pace.percent == 0 && since > probePaceDelay {
		next = probePacePercent
	}
	if next != w.pace.percent {
		w.pace.percent = next
		w.pace.changedAt = now
	}
}

// worstTailRatio returns the highest ratio of tail latency to target among the serving tasks on the worker, and
// whether there are any.
func (w *worker) worstTailRatio() (float64, bool) {
	worst, serving := 0.0, false
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		target := r.task.step.spec.GetTargetMs()
		if target <= 0 || r.task.step.spec.GetFills() {
			continue
		}
		serving = true
		if r.isAvailable() {
			worst = max(worst, float64(r.tail)/float64(target))
		}
	}
	return worst, serving
}

func (p *Pool) orderPaces(w *worker) {
	for _, r := range w.runs {
		if !r.isBackfill() || r.stopping || r.paceInFlight || r.pace == w.pace.percent {
			continue
		}
		if r.state != runRunning && r.state != runAccepted {
			continue
		}
		r.paceInFlight = true
		p.out.Orders = append(p.out.Orders, Order{
			Kind: OrderPace, Worker: w.ID, Address: w.Address, Born: w.Born, Fence: p.fenceFor(w), Task: r.id, Run: r.number,
			Percent: w.pace.percent,
		})
	}
}

func (r *run) isBackfill() bool { return r.task != nil && r.task.step.spec.GetFills() }

func (p *Pool) paceResult(now time.Time, r *run, res OrderResult) {
	r.paceInFlight = false
	if res.Outcome == OutcomeDone {
		r.pace = res.Order.Percent
		r.markProgress(now, r.worker.clock.lowerBound(now))
		return
	}
	// It is unknown which pace is in force, so the pace is ordered again.
	r.pace = -1
}
