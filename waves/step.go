package waves

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// minSample is the number of hosts from which the share of failures is taken at least, unless the wave is smaller: one
// failure among the first two hosts of a large wave says little.
const minSample = 5

// Kind says what an Action does.
type Kind int

// Kinds of actions.
const (
	// StartMaintenance drains a pending host.
	StartMaintenance Kind = iota
	// FinishHost counts a host in progress as done.
	FinishHost
	// FailHost counts a host as failed. One that did not come back from maintenance goes down.
	FailHost
	// DropHost takes a host out of the wave: it left the fleet, or its drain was cancelled.
	DropHost
	// YieldHost cancels the drain of a host, which is pending again: hosts failed and its pool needs it.
	YieldHost
	// StopWave stops a wave until an operator resumes it.
	StopWave
	// FinishWave ends a wave whose hosts are all dealt with.
	FinishWave
	// Wait changes nothing: Reason says why a wave with pending hosts and none in progress starts none.
	Wait
)

// Action is one decision on a wave.
type Action struct {
	Kind   Kind
	Wave   string
	Host   string
	Reason string
}

// Load is what runs on a host.
type Load struct {
	Requests int64
	// Oldest is the age of the oldest request.
	Oldest time.Duration
}

// Input is what Step decides on. It is not changed.
type Input struct {
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Failed are hosts known not to work, whatever their phase.
	Failed map[string]bool
	// Load tells what runs on hosts; an absent host counts as idle.
	Load map[string]Load
}

// Step decides on all waves. The same input gives the same actions.
//
// A pool's second host and further ones start only if one more could fail after that without breaking the budget; the
// first host needs no such reserve, or pools with room for one would never be maintained.
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

// wave decides on one wave: first what became of its hosts, then whether it stops, then which hosts start.
func (s *stepper) wave(w *pb.Wave) []Action {
	ended := s.ended(w)
	left := s.left(w)
	out := slices.Concat(ended, s.broken(w), left)
	if w.Phase != pb.WavePhase_WAVE_PHASE_RUNNING {
		return out
	}
	if reason := s.tooManyFailures(w, len(w.Failed)+count(out, FailHost)); reason != "" {
		return append(out, Action{Kind: StopWave, Wave: w.Name, Reason: reason})
	}
	starts, wait := s.starts(w)
	out = append(out, starts...)
	if len(starts) > 0 || len(ended) < len(w.InProgress) || count(ended, YieldHost) > 0 {
		return out
	}
	if len(w.Pending) == len(left) {
		return append(out, Action{Kind: FinishWave, Wave: w.Name})
	}
	return append(out, Action{Kind: Wait, Wave: w.Name, Reason: wait})
}

func count(actions []Action, kind Kind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// left lists the pending hosts that the wave will never get.
func (s *stepper) left(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.Pending {
		h := s.hosts[host]
		if h == nil || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
			out = append(out, Action{Kind: DropHost, Wave: w.Name, Host: host, Reason: "left the fleet"})
		}
	}
	return out
}

// ended lists what became of the hosts in progress.
func (s *stepper) ended(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.InProgress {
		if a, ok := s.outcome(w, host); ok {
			out = append(out, a)
		}
	}
	return out
}

// broken lists the hosts that were done and do not work now.
func (s *stepper) broken(w *pb.Wave) []Action {
	var out []Action
	for _, host := range w.Done {
		h := s.hosts[host]
		if s.in.Failed[host] && h.GetPhase() == pb.HostPhase_HOST_PHASE_ACTIVE {
			out = append(out, Action{Kind: FailHost, Wave: w.Name, Host: host, Reason: "does not work after maintenance"})
		}
	}
	return out
}

// yields says whether a draining host must go back to work: its pool has too few hosts since others failed, and it works.
func (s *stepper) yields(h *pb.HostState) bool {
	if fleet.WasDown(h) || s.in.Failed[h.Host] || s.budgets.Room(h.Pool) >= 0 {
		return false
	}
	s.budgets.Return(h.Host)
	return true
}

// outcome says what became of a host in progress, if anything.
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

func (s *stepper) tooManyFailures(w *pb.Wave, failed int) string {
	share := s.in.Config.GetMaintenance().GetFailureShare()
	started := len(w.Done) + len(w.Failed) + len(w.InProgress)
	sample := max(started, min(minSample, started+len(w.Pending)))
	if float64(failed) <= share*float64(sample)+1e-9 {
		return ""
	}
	return fmt.Sprintf("%d of %d hosts failed, more than the share %g allows; mend them and resume the wave, or cancel it",
		failed, sample, share)
}

// starts picks the hosts to drain now, and tells why the first one that can't be started waits.
func (s *stepper) starts(w *pb.Wave) (out []Action, wait string) {
	left := s.startable(w.Pending)
	if len(left) == 0 && len(w.Pending) > 0 {
		wait = "its hosts are busy with other orders"
	}
	for len(left) > 0 && s.limits.room() {
		var reason string
		left, reason = s.allowed(left)
		if len(left) == 0 {
			return out, reason
		}
		best := s.pick(left)
		host := left[best]
		left = slices.Delete(left, best, best+1)
		s.budgets.Take(host)
		s.limits.take(host, s.hosts[host].Pool)
		out = append(out, Action{Kind: StartMaintenance, Wave: w.Name, Host: host})
	}
	if len(left) > 0 {
		wait = "max_parallel hosts are in maintenance"
	}
	return out, wait
}

// allowed returns the hosts that may start now, and why the first of the others may not.
func (s *stepper) allowed(hosts []string) (out []string, reason string) {
	for _, host := range hosts {
		why := s.blocked(host)
		if why == "" {
			out = append(out, host)
			continue
		}
		if reason == "" {
			reason = why
		}
	}
	return out, reason
}

func (s *stepper) blocked(host string) string {
	if err := s.budgets.MayDrain(host); err != nil {
		return err.Error()
	}
	pool := s.hosts[host].Pool
	if !s.limits.out[host] && s.limits.pools[pool] > 0 && s.budgets.Room(pool) < 2 {
		return fmt.Sprintf("%s: pool %s has a host in maintenance, and room for one failure only", host, pool)
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

// pick returns the index of the host to start first: one that is out of service already, then one in the rack with the
// fewest hosts out, then one that drains soonest, which has the fewest and then the oldest requests.
func (s *stepper) pick(hosts []string) int {
	best := 0
	for i := 1; i < len(hosts); i++ {
		if s.before(hosts[i], hosts[best]) {
			best = i
		}
	}
	return best
}

func (s *stepper) before(a, b string) bool {
	if x, y := s.limits.out[a], s.limits.out[b]; x != y {
		return x
	}
	if x, y := s.limits.rackOut(a), s.limits.rackOut(b); x != y {
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
