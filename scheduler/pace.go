package scheduler

import "time"

const (
	// fullPace is the pace of a task at its start, in percent.
	fullPace = 100
	// A tail above cutAt of its target cuts the pace of what fills beside it; below raiseAt it is raised again.
	cutAt   = 0.7
	raiseAt = 0.5
	// tailWindow is the time over which workers measure tails.
	tailWindow = 500 * time.Millisecond
	// raiseStep is by how many percent the pace is raised at once; minPace is the lowest before a full stop.
	raiseStep = 15
	minPace   = 10
	// idlePace is tried when the tail stays high although nothing fills.
	idlePace      = 25
	idlePaceAfter = 4 * time.Second
)

// paceState is the pace of what fills on one worker.
type paceState struct {
	percent   int
	changedAt time.Time
	listClock int64
}

// checkPace sets the pace of what fills beside tasks that serve, from the newest tails.
func (p *Pool) checkPace(now time.Time) {
	if !p.fills {
		return
	}
	for _, w := range p.order {
		if w.fillers == 0 || !w.reported || w.gone {
			w.pace.percent = fullPace
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
	worst, serves := w.worstTail()
	since := now.Sub(w.pace.changedAt)
	settled := since >= p.cfg.PaceDelay+tailWindow
	next := w.pace.percent
	switch {
	case !serves:
		next = fullPace
	case !settled:
	case worst > 1:
		next /= 4
	case worst > cutAt:
		next /= 2
	case worst < raiseAt:
		next = min(fullPace, next+raiseStep)
	}
	if next < minPace && next < w.pace.percent {
		next = 0
	}
	if worst > cutAt && w.pace.percent == 0 && since > idlePaceAfter {
		next = idlePace
	}
	if next != w.pace.percent {
		w.pace.percent = next
		w.pace.changedAt = now
	}
}

// worstTail is the highest tail of a task that serves, against its target.
func (w *worker) worstTail() (float64, bool) {
	worst, serves := 0.0, false
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		target := r.task.step.spec.GetTargetMs()
		if target <= 0 || r.task.step.spec.GetFills() {
			continue
		}
		serves = true
		if r.atWork() {
			worst = max(worst, float64(r.tail)/float64(target))
		}
	}
	return worst, serves
}

func (p *Pool) orderPaces(w *worker) {
	for _, r := range w.runs {
		if !r.fills() || r.stopping || r.pacing || r.pace == w.pace.percent {
			continue
		}
		if r.state != runRunning && r.state != runAccepted {
			continue
		}
		r.pacing = true
		p.out.Orders = append(p.out.Orders, Order{
			Kind: OrderPace, Worker: w.ID, Address: w.Address, Born: w.Born, Task: r.id, Run: r.number,
			Percent: w.pace.percent,
		})
	}
}

func (r *run) fills() bool { return r.task != nil && r.task.step.spec.GetFills() }

func (p *Pool) paceResult(now time.Time, r *run, res OrderResult) {
	r.pacing = false
	if res.Outcome == OutcomeDone {
		r.pace = res.Order.Percent
		r.percentAt = now
		return
	}
	// Not known which pace is in force: order it again.
	r.pace = -1
}
