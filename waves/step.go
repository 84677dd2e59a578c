package waves

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// minSample is the smallest number of hosts over which the share of failures is computed, unless the wave is smaller:
// one failure among the first two hosts of a large wave is not significant.
const minSample = 5

// Kind is the type of an Action.
type Kind int

// Kinds of actions.
const (
	// StartMaintenance drains a pending host.
	StartMaintenance Kind = iota
	// FinishHost counts a host in progress as done.
	FinishHost
	// FailHost counts a host as failed. A host that did not return from maintenance in time goes down.
	FailHost
	// DropHost removes a host from the wave because it left or is leaving the fleet, or its drain was cancelled.
	DropHost
	// YieldHost cancels the drain of a host and makes it pending again, because other hosts failed and its pool needs
	// it.
	YieldHost
	// StopWave stops a wave until an operator resumes it.
	StopWave
	// FinishWave ends a wave that has no host pending or in progress.
	FinishWave
	// Wait changes nothing. Reason says why a wave with pending hosts and none in progress does not start one.
	Wait
)

// Action is one decision on a wave.
type Action struct {
	Kind   Kind
	Wave   string
	Host   string
	Reason string
}

// Load describes the requests that run on a host.
type Load struct {
	Requests int64
	// Oldest is the age of the oldest request.
	Oldest time.Duration
}

// Input is the input of Step, which does not modify it.
type Input struct {
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Failed holds the hosts that are known to have failed, whatever their phase.
	Failed map[string]bool
	// Load is the load by host; an absent host counts as idle.
	Load map[string]Load
}

// Step returns the actions for all waves. It is deterministic.
//
// A pool's first host starts if the budget allows it. Further hosts of the pool start only if one more host could then
// fail without exceeding the budget. The first host needs no such reserve, because pools whose budget allows only one
// host out of service would otherwise never be maintained.
func Step(now time.Time, in Input) []Action {
	s := newStepper(now, in)
	var out []Action
	for _, w := range in.Fleet.GetWaves() {
		if w.Phase == pb.WavePhase_WAVE_PHASE_DONE {
			continue
		}
		out = append(out, s.wave(w)...)
	}
	return out
}

type stepper struct {
	now     time.Time
	in      Input
	hosts   map[string]*pb.HostState
	limits  *limits
	budgets *fleet.Budgets
}

func newStepper(now time.Time, in Input) *stepper {
	s := &stepper{now: now, in: in, hosts: make(map[string]*pb.HostState, len(in.Fleet.GetHosts()))}
	for _, h := range in.Fleet.GetHosts() {
		s.hosts[h.Host] = h
	}
	s.budgets = fleet.NewBudgets(in.Fleet, in.Config, in.Failed)
	s.limits = newLimits(in)
	return s
}

// wave returns the actions for one wave: first the outcomes of its hosts, then whether it stops, then the hosts to
// start.
func (s *stepper) wave(w *pb.Wave) []Action {
	outcomes := s.outcomes(w)
	departed := s.departed(w)
	out := slices.Concat(outcomes, s.failedAfterDone(w), departed)
	if w.Phase != pb.WavePhase_WAVE_PHASE_RUNNING {
		return out
	}
	if reason := s.stopReason(w, len(w.Failed)+countKind(out, FailHost)); reason != "" {
		return append(out, Action{Kind: StopWave, Wave: w.Name, Reason: reason})
	}
	starts, waitReason := s.selectStarts(w)
	out = append(out, starts...)
	if len(starts) > 0 || len(outcomes) < len(w.InProgress) || countKind(outcomes, YieldHost) > 0 {
		return out
	}
	if len(w.Pending) == len(departed) {
		return append(out, Action{Kind: FinishWave, Wave: w.Name})
	}
	return append(out, Action{Kind: Wait, Wave: w.Name, Reason: waitReason})
}

func countKind(actions []Action, kind Kind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// departed returns a DropHost action for each pending host that left or is leaving the fleet.
func (s *stepper) departed(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.Pending {
		h := s.hosts[host]
		if h == nil || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
			out = append(out, Action{Kind: DropHost, Wave: w.Name, Host: host, Reason: "left the fleet"})
		}
	}
	return out
}

// outcomes returns the actions for the hosts in progress whose maintenance or drain has ended or must end.
func (s *stepper) outcomes(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.InProgress {
		if a, ok := s.outcome(w, host); ok {
			out = append(out, a)
		}
	}
	return out
}

// failedAfterDone returns a FailHost action for each done host that has failed since.
func (s *stepper) failedAfterDone(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.Done {
		h := s.hosts[host]
		if s.in.Failed[host] && h.GetPhase() == pb.HostPhase_HOST_PHASE_ACTIVE {
			out = append(out, Action{Kind: FailHost, Wave: w.Name, Host: host, Reason: "does not work after maintenance"})
		}
	}
	return out
}

// yields reports whether a working host must stop draining because failures left its pool with too few hosts. If so, it
// returns the host to the budget.
func (s *stepper) yields(h *pb.HostState) bool {
	if fleet.WasDown(h) || s.in.Failed[h.Host] || s.budgets.Headroom(h.Pool) >= 0 {
		return false
	}
	s.budgets.Return(h.Host)
	return true
}

// outcome returns the action for a host in progress, and false if it stays in progress.
func (s *stepper) outcome(w *pb.Wave, host string) (Action, bool) {
	h := s.hosts[host]
	a := Action{Wave: w.Name, Host: host}
	switch {
	case h == nil || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE:
		a.Kind = DropHost
		a.Reason = "left the fleet"
	case h.Phase == pb.HostPhase_HOST_PHASE_DOWN:
		a.Kind = FailHost
		a.Reason = "is down"
	case h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE:
		a.Kind = FailHost
		a.Reason = "did not come back in time"
		return a, s.now.UnixMilli()-h.PhaseSinceUnixMs > s.in.Config.GetMaintenance().GetRebootLimit().AsDuration().Milliseconds()
	case h.Phase == pb.HostPhase_HOST_PHASE_DRAINING && h.Purpose == pb.HostPurpose_HOST_PURPOSE_MAINTENANCE:
		a.Kind = YieldHost
		a.Reason = "its pool needs it since other hosts failed"
		return a, s.yields(h)
	case h.MaintainedUnixMs >= w.StartedUnixMs:
		a.Kind = FinishHost
	default:
		a.Kind = DropHost
		a.Reason = "its drain was cancelled"
	}
	return a, true
}

func (s *stepper) stopReason(w *pb.Wave, failed int) string {
	share := s.in.Config.GetMaintenance().GetFailureShare()
	started := len(w.Done) + len(w.Failed) + len(w.InProgress)
	sample := max(started, min(minSample, started+len(w.Pending)))
	if float64(failed) <= share*float64(sample)+1e-9 {
		return ""
	}
	return fmt.Sprintf("%d of %d hosts failed, more than the share %g allows; mend them and resume the wave, or cancel it",
		failed, sample, share)
}

// selectStarts selects the hosts to drain now and charges them to the budgets and limits. It also returns why the first
// host that can't be started waits.
func (s *stepper) selectStarts(w *pb.Wave) (out []Action, waitReason string) {
	left := s.startable(w.Pending)
	if len(left) == 0 && len(w.Pending) > 0 {
		waitReason = "its hosts are busy with other orders"
	}
	for len(left) > 0 && s.limits.hasCapacity() {
		var reason string
		left, reason = s.allowed(left)
		if len(left) == 0 {
			return out, reason
		}
		best := s.pick(left)
		host := left[best]
		left = slices.Delete(left, best, best+1)
		s.budgets.Take(host)
		s.limits.reserve(host, s.hosts[host].Pool)
		out = append(out, Action{Kind: StartMaintenance, Wave: w.Name, Host: host})
	}
	if len(left) > 0 {
		waitReason = "max_parallel hosts are in maintenance"
	}
	return out, waitReason
}

// allowed returns the hosts that may start now, and why the first of the other hosts may not.
func (s *stepper) allowed(hosts []string) (out []string, reason string) {
	for _, host := range hosts {
		blockedReason := s.blocked(host)
		if blockedReason == "" {
			out = append(out, host)
			continue
		}
		if reason == "" {
			reason = blockedReason
		}
	}
	return out, reason
}

// blocked returns why the budgets or limits keep a host in service, or "" if they do not.
func (s *stepper) blocked(host string) string {
	if err := s.budgets.MayDrain(host); err != nil {
		return err.Error()
	}
	pool := s.hosts[host].Pool
	if !s.limits.outOfService[host] && s.limits.poolCounts[pool] > 0 && s.budgets.Headroom(pool) < 2 {
		return fmt.Sprintf("%s: pool %s has a host in maintenance, and its budget allows at most one more host out of service", host, pool)
	}
	return s.limits.blocked(host)
}

func (s *stepper) startable(pending []string) []string {
	var out []string
	for _, host := range pending {
		h := s.hosts[host]
		if h == nil || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
			continue
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE || h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
			out = append(out, host)
		}
	}
	return out
}

// pick returns the index of the host to start first. It prefers a host that is already out of service, then the rack
// with the fewest hosts out of service, then the host that is likely to drain soonest: fewest requests, then oldest
// request.
func (s *stepper) pick(hosts []string) int {
	best := 0
	for i := 1; i < len(hosts); i++ {
		if s.startsBefore(hosts[i], hosts[best]) {
			best = i
		}
	}
	return best
}

func (s *stepper) startsBefore(a, b string) bool {
	if x, y := s.limits.outOfService[a], s.limits.outOfService[b]; x != y {
		return x
	}
	if x, y := s.limits.rackOutOfService(a), s.limits.rackOutOfService(b); x != y {
		return x < y
	}
	la, lb := s.in.Load[a], s.in.Load[b]
	if la.Requests != lb.Requests {
		return la.Requests < lb.Requests
	}
	if la.Oldest != lb.Oldest {
		return la.Oldest > lb.Oldest
	}
	return a < b
}
