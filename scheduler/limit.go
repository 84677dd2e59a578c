package scheduler

import (
	"time"
)

const (
	// keepHeadroomWait is how long a step waits for its workspace's limit before headroom is kept for it as it is freed:
	// smaller tasks of the workspace would otherwise take it as long as any come. Persistent tasks do not wait.
	keepHeadroomWait = 5 * time.Second
	// keptHeadroomTime is how long sufficient headroom is kept for a step that finds no room on the workers.
	keptHeadroomTime = 2 * time.Second
	// heldLogInterval is the minimum time between two decisions that a workspace's tasks wait for its limit.
	heldLogInterval = time.Second
)

// reasonHeld is why a step waits that its workspace's limit does not let start.
const reasonHeld = "waits for its workspace's limit"

func (s *step) account() *account { return s.occ.job.account }

// atomicNeed returns the need that must be met at once for a task of the step to start.
func (s *step) atomicNeed() Resources {
	if s.spec.GetGang() {
		return s.need.times(len(s.tasks))
	}
	return s.need
}

// held reports whether the step waited only for its workspace's limit at the last placement.
func (s *step) held() bool { return !s.heldSince.IsZero() }

// lacksRoomSince returns since when the step has been waiting for room on the workers.
func (s *step) lacksRoomSince() time.Time {
	if s.admittedAt.After(s.readySince) {
		return s.admittedAt
	}
	return s.readySince
}

// withinLimit returns how many of n tasks of the step its workspace's limit lets start now. A gang starts whole or not at
// all. Nothing starts while the workspace exceeds its limit of any resource.
func (p *Pool) withinLimit(s *step, n int) int {
	a := s.account()
	if a == nil || !a.limited {
		return n
	}
	others := a.promised
	if others != (Resources{}) {
		others = others.minus(s.need.times(p.countPromised(s)))
	}
	left := a.headroom(a.used.plus(others))
	if a.keptFor != nil && a.keptFor != s && !s.spec.GetPersistent() {
		left = left.lessFor(s.need, a.keptFor.atomicNeed())
	}
	return s.countAdmitted(left, n)
}

// countAdmitted returns how many of n tasks of the step the headroom suffices for.
func (s *step) countAdmitted(headroom Resources, n int) int {
	if !s.atomicNeed().fits(headroom) {
		return 0
	}
	if s.spec.GetGang() {
		return n
	}
	return min(n, headroom.countFitting(s.need))
}

// lessFor returns the resources less what is kept, except for resources of which a task needs nothing.
func (a Resources) lessFor(need, kept Resources) Resources {
	if need.CPUMilli > 0 {
		a.CPUMilli -= kept.CPUMilli
	}
	if need.MemoryMB > 0 {
		a.MemoryMB -= kept.MemoryMB
	}
	if need.GPU > 0 {
		a.GPU -= kept.GPU
	}
	return a
}

// exceedsLimit reports whether the workspace of the step uses more than its limit, so that a run that ends could not be
// replaced.
func (s *step) exceedsLimit() bool {
	a := s.account()
	return a != nil && a.limited && !Resources{}.fits(a.headroom(a.used))
}

// eachRunnable calls do for each waiting step with the number of its tasks that the limits of the workspaces let start now,
// if they all start in the order of the list and persistent ones first.
func (p *Pool) eachRunnable(do func(s *step, tasks int)) {
	for _, a := range p.sortedAccounts {
		a.left = a.headroom(a.used)
	}
	for _, persistent := range [...]bool{true, false} {
		for _, s := range p.waitingSteps {
			if s.spec.GetPersistent() != persistent {
				continue
			}
			n := len(s.ready)
			if a := s.account(); a != nil && a.limited {
				n = s.countAdmitted(a.left, n)
				a.left = a.left.minus(s.need.times(n))
			}
			if n > 0 {
				do(s, n)
			}
		}
	}
}

// updateHeld determines the steps that wait only for their workspaces' limits. They are not ranked, so that they neither
// reserve nor preempt anything. It is called before and after each placement.
func (p *Pool) updateHeld(now time.Time, placed bool) {
	if len(p.workspaceLimits) == 0 && p.heldSteps == 0 {
		return
	}
	p.updatePromised(placed)
	for _, a := range p.sortedAccounts {
		a.heldTasks, a.next = 0, nil
		if !a.stillKept(now) {
			a.keptFor = nil
		}
	}
	for _, s := range p.waitingSteps {
		p.findHeadroomKeeper(now, s)
	}
	p.heldSteps = 0
	for _, s := range p.waitingSteps {
		p.updateHeldStep(now, s)
	}
	if placed {
		p.logHeld(now)
	}
}

// stillKept reports whether the step for which headroom is kept still waits, for the limit or for room.
func (a *account) stillKept(now time.Time) bool {
	s := a.keptFor
	if s == nil || !a.limited || len(s.ready) == 0 || s.occ.job.isTerminal() || !a.mayFit(s) {
		return false
	}
	return s.held() || now.Sub(s.admittedAt) < keptHeadroomTime
}

// mayFit reports whether the step will fit into the limit once the workspace's other runs have ended, except for persistent
// ones.
func (a *account) mayFit(s *step) bool {
	return s.atomicNeed().fits(a.headroom(a.persistent))
}

// findHeadroomKeeper keeps headroom for the step if it takes precedence over the workspace's other steps: persistent ones
// first, then the longest held.
func (p *Pool) findHeadroomKeeper(now time.Time, s *step) {
	a := s.account()
	if a == nil || !a.limited || !s.held() || !s.complete() || !a.mayFit(s) {
		return
	}
	persistent := s.spec.GetPersistent()
	if !persistent && now.Sub(s.heldSince) < keepHeadroomWait {
		return
	}
	if k := a.keptFor; k == nil || compareHeld(s, k) < 0 && k.held() {
		a.keptFor = s
	}
}

// complete reports whether the step waits with as many tasks as have to start at once.
func (s *step) complete() bool {
	return len(s.ready) > 0 && (!s.spec.GetGang() || len(s.ready) == len(s.tasks))
}

// compareHeld orders held steps of a workspace by precedence.
func compareHeld(s, other *step) int {
	if persistent := s.spec.GetPersistent(); persistent != other.spec.GetPersistent() {
		if persistent {
			return -1
		}
		return 1
	}
	return s.heldSince.Compare(other.heldSince)
}

func (p *Pool) updateHeldStep(now time.Time, s *step) {
	a := s.account()
	if a == nil || len(s.ready) == 0 || p.withinLimit(s, 1) > 0 {
		if s.held() {
			s.heldSince, s.admittedAt = time.Time{}, now
		}
		return
	}
	if !s.held() {
		s.heldSince = now
	}
	p.heldSteps++
	a.heldTasks += len(s.ready)
	if s.complete() && (a.next == nil || compareHeld(s, a.next) < 0) {
		a.next = s
	}
}

// updatePromised sums up the needs of the tasks for which runs are being preempted, so that no other task of the workspace
// takes the headroom. After a placement, the promises whose room has come free end.
func (p *Pool) updatePromised(placed bool) {
	for _, a := range p.sortedAccounts {
		a.promised = Resources{}
	}
	for _, w := range p.sortedWorkers {
		s := w.preemptingFor
		switch {
		case s == nil:
		case placed && !w.isPreempting():
			w.preemptingFor = nil
		case len(s.ready) > 0:
			s.account().promise(s.need)
		}
	}
}

func (a *account) promise(need Resources) {
	if a != nil {
		a.promised = a.promised.plus(need)
	}
}

// countPromised counts the tasks of the step for which runs are being preempted.
func (p *Pool) countPromised(s *step) int {
	n := 0
	for _, w := range p.sortedWorkers {
		if w.preemptingFor == s && len(s.ready) > 0 {
			n++
		}
	}
	return n
}

// hasPlaceableSteps reports whether any step waits for something other than its workspace's limit.
func (p *Pool) hasPlaceableSteps() bool { return len(p.waitingSteps) > p.heldSteps }

// logHeld adds a decision for each workspace with held steps, at most one in heldLogInterval.
func (p *Pool) logHeld(now time.Time) {
	for _, a := range p.sortedAccounts {
		if a.next == nil || now.Sub(a.heldLoggedAt) < heldLogInterval {
			continue
		}
		a.heldLoggedAt = now
		s := a.next
		p.out.Decisions = append(p.out.Decisions, Decision{
			Kind: DecisionHeld, Reason: reasonHeld, Workspace: a.workspace, Count: a.heldTasks, Age: now.Sub(s.heldSince),
			Task: TaskID{Job: s.occ.job.id, Occurrence: s.occ.number, Step: s.number},
		})
	}
}

// waitsForLimit reports whether the task waits only for its workspace's limit.
func (t *task) waitsForLimit() bool { return len(t.runs) == 0 && t.step.held() }
