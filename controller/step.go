package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
	"github.com/agateturn/agateturn/waves"
)

// platformOperation is the operation identity of hosts that leave by the platform's list.
const platformOperation = "platform"

// rebootOrder begins the operation identity of a host in maintenance. The boot that is to end follows: the platform does
// the reboot once however often it is asked, and a controller that takes over knows by it whether the reboot is done.
const rebootOrder = "reboot/"

// Step decides. All changes go into one write, each on top of those before, so that no host is taken twice.
func Step(now time.Time, in Input) Decision {
	s := newStepper(now, in)
	s.takeOver()
	s.draft.Reconcile(in.Config, now)
	s.members()
	s.platformHosts()
	s.orders()
	s.yieldMoves()
	s.progress()
	s.waves()
	s.schedule()
	s.moves()
	s.owners()
	s.actions()
	s.write()
	return s.out
}

type stepper struct {
	now     time.Time
	in      Input
	draft   *fleet.Draft
	reports fleet.Reports
	workers map[string]PlatformHost
	out     Decision
}

func newStepper(now time.Time, in Input) *stepper {
	s := &stepper{
		now:     now,
		in:      in,
		draft:   fleet.NewDraft(in.Fleet),
		reports: fleet.Reports{Now: now, PauseLimit: in.PauseLimit, Heartbeats: in.Heartbeats, Gone: map[string]time.Time{}},
		workers: map[string]PlatformHost{},
	}
	for _, p := range in.Platform {
		switch {
		case p.Role == RoleWorker:
			s.workers[p.Name] = p
		case p.State == StateGone && p.Incarnation != "":
			s.reports.Gone[p.Incarnation] = p.SeenAt
		}
	}
	return s
}

func (s *stepper) note(kind NoteKind, subject, format string, args ...any) {
	s.out.Notes = append(s.out.Notes, Note{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (s *stepper) takeOver() {
	s.draft.TakeOver(s.in.Self)
	if s.draft.Changed() {
		s.note(NoteTerm, s.in.Self, "took over at term %d", s.draft.Fleet().Term)
	}
}

// members removes those that the platform shows gone.
func (s *stepper) members() {
	incarnations := map[string]string{}
	for _, m := range s.in.Fleet.GetMembers() {
		incarnations[m.Name] = m.Incarnation
	}
	for _, p := range s.in.Platform {
		incarnation := incarnations[p.Name]
		if p.Role != RoleEntryHost || p.State != StateGone || incarnation == "" {
			continue
		}
		proof := fleet.Proof{Incarnation: p.Incarnation, SeenAt: p.SeenAt}
		if err := s.draft.RemoveGone(p.Name, incarnation, proof, s.reports); err != nil {
			s.note(NoteMemberKept, p.Name, "%v", err)
			continue
		}
		s.note(NoteMemberRemoved, p.Name, "incarnation %s is gone", incarnation)
	}
}

// platformHosts lets hosts leave that the platform takes away, and takes back those that it shows live again.
func (s *stepper) platformHosts() {
	for _, h := range s.draft.Fleet().Hosts {
		p, listed := s.workers[h.Host]
		if !listed {
			continue
		}
		if p.State != StateLive {
			s.leave(h)
			continue
		}
		left := h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE && h.OperationId == platformOperation
		if left && h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
			s.apply(h.Host, s.draft.MarkUp(h.Host, "", s.now))
		}
	}
}

// leave drains a host that goes. One in maintenance may well be off the list while it reboots; it fails by its own limit.
func (s *stepper) leave(h *pb.HostState) {
	if h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
		return
	}
	s.apply(h.Host, s.draft.BeginLeave(h.Host, platformOperation, s.now))
}

// apply notes a host's new phase unless the change was refused.
func (s *stepper) apply(host string, err error) {
	if err != nil {
		return
	}
	h := s.draft.Host(host)
	s.note(NoteHostPhase, host, "%s in pool %s", fleet.PhaseName(h.Phase), h.Pool)
}

// progress completes drains that every member has released, and ends maintenance that is done.
func (s *stepper) progress() {
	for _, h := range s.in.Fleet.GetHosts() {
		switch h.Phase {
		case pb.HostPhase_HOST_PHASE_DRAINING:
			s.complete(h.Host)
		case pb.HostPhase_HOST_PHASE_MAINTENANCE:
			s.maintained(h)
		default:
		}
	}
}

// yieldMoves cancels moves out of pools that need the host since others failed. Waves do so for their own hosts.
func (s *stepper) yieldMoves() {
	budgets := fleet.NewBudgets(s.draft.Fleet(), s.in.Config, s.in.Failed)
	for _, h := range s.draft.Fleet().Hosts {
		moving := h.Phase == pb.HostPhase_HOST_PHASE_DRAINING && h.Purpose == pb.HostPurpose_HOST_PURPOSE_MOVE
		if !moving || s.in.Failed[h.Host] || budgets.Room(h.Pool) >= 0 {
			continue
		}
		if s.draft.Cancel(h.Host, s.now) == nil {
			budgets.Return(h.Host)
			s.note(NoteMove, h.Host, "stays in %s, which needs it since other hosts failed", h.Pool)
		}
	}
}

func (s *stepper) complete(host string) {
	h := s.draft.Host(host)
	if h.GetPhase() != pb.HostPhase_HOST_PHASE_DRAINING {
		return
	}
	maintenance := h.Purpose == pb.HostPurpose_HOST_PURPOSE_MAINTENANCE
	boot := s.workers[host].BootID
	if maintenance && boot == "" {
		s.unknownBoot(h)
		return
	}
	if err := s.draft.Complete(host, s.reports); err != nil {
		s.note(NoteHostHeld, host, "%v", err)
		return
	}
	if maintenance {
		s.draft.SetOperation(host, rebootOrder+host+"/"+boot)
	}
	s.apply(host, nil)
}

// maintained ends maintenance that is done, or that took too long and is of no wave any more; a wave fails its own hosts.
func (s *stepper) maintained(h *pb.HostState) {
	if s.rebooted(h) {
		s.apply(h.Host, s.draft.Returned(h.Host, s.now))
		return
	}
	if s.late(h) && !waves.Carries(s.in.Fleet, h.Host) {
		s.apply(h.Host, s.draft.MarkDown(h.Host, h.OperationId, s.now))
	}
}

// unknownBoot keeps a host of which the platform tells no boot id from its reboot, which could not be seen. Once it is
// released and the time for a reboot is over it goes down, so that it does not take up its wave for ever.
func (s *stepper) unknownBoot(h *pb.HostState) {
	s.note(NoteHostHeld, h.Host, "the platform does not tell its boot id; a reboot could not be seen")
	if s.late(h) && fleet.Released(s.in.Fleet, h.Host, s.reports) {
		s.apply(h.Host, s.draft.MarkDown(h.Host, h.OperationId, s.now))
	}
}

// late says whether a host is in its phase for longer than a reboot may take.
func (s *stepper) late(h *pb.HostState) bool {
	limit := s.in.Config.GetMaintenance().GetRebootLimit().AsDuration()
	return s.now.UnixMilli()-h.PhaseSinceUnixMs > limit.Milliseconds()
}

// rebooted says whether the boot that was to end has ended and the host is live again.
func (s *stepper) rebooted(h *pb.HostState) bool {
	p, listed := s.workers[h.Host]
	if !listed || p.State != StateLive || p.BootID == "" {
		return false
	}
	return strings.HasPrefix(h.OperationId, rebootOrder) && h.OperationId != rebootOrder+h.Host+"/"+p.BootID
}

func (s *stepper) waves() {
	actions := waves.Step(s.now, waves.Input{
		Fleet: s.draft.Fleet(), Config: s.in.Config, Failed: s.in.Failed, Load: s.in.Load,
	})
	waves.Apply(s.draft, actions, s.now)
	for _, a := range actions {
		switch a.Kind {
		case waves.Wait:
			s.note(NoteWaveWaits, a.Wave, "%s", a.Reason)
		case waves.StopWave:
			s.note(NoteWaveStopped, a.Wave, "stopped: %s", a.Reason)
		case waves.FinishWave:
			s.note(NoteWave, a.Wave, "finished")
		case waves.FailHost:
			s.note(NoteWave, a.Wave, "%s failed: %s", a.Host, a.Reason)
		default:
		}
	}
}

func (s *stepper) schedule() {
	due := waves.Due(s.now, s.draft.Fleet(), s.in.Config)
	if len(due) == 0 {
		return
	}
	name := waves.SchedulePrefix + s.now.UTC().Format("20060102-150405")
	f, err := waves.Create(s.draft.Fleet(), name, due, name, s.now)
	if err != nil {
		s.note(NoteWaveWaits, name, "%v", err)
		return
	}
	s.draft.Replace(f)
	s.note(NoteWave, name, "made by the schedule for %d hosts", len(due))
}

func (s *stepper) moves() {
	if len(s.in.Demand) == 0 {
		return
	}
	requests := make(map[string]int64, len(s.in.Load))
	for host, load := range s.in.Load {
		requests[host] = load.Requests
	}
	moves := mover.Step(s.now, mover.Input{
		Fleet: s.draft.Fleet(), Config: s.in.Config, Demand: s.in.Demand, Failed: s.in.Failed,
		Requests: requests, DrainTime: s.in.DrainTime, RollOut: s.in.RollOut,
	})
	for _, m := range moves {
		order := fmt.Sprintf("move/%s/%d", m.Host, s.in.Fleet.GetRevision())
		if s.draft.BeginMove(m.Host, m.To, order, s.now) == nil {
			s.note(NoteMove, m.Host, "from %s to %s: %s", m.From, m.To, m.Reason)
		}
	}
}

func (s *stepper) owners() {
	if s.draft.SettleOwners(s.reports) {
		s.note(NoteOwners, s.in.Self, "owner sets change")
		return
	}
	if waiting := fleet.Unsettled(s.draft.Fleet(), s.reports); len(waiting) > 0 {
		s.note(NoteOwners, waiting[0].Name, "owner sets wait for %s", waiting[0])
	}
}

// actions asks the platform for what the stored fleet allows; what this step decides is not in force yet.
func (s *stepper) actions() {
	for _, h := range s.in.Fleet.GetHosts() {
		if h.Purpose != pb.HostPurpose_HOST_PURPOSE_MAINTENANCE {
			continue
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
			s.out.Actions = append(s.out.Actions, Action{Kind: Checkpoint, Host: h.Host, OperationID: "checkpoint/" + h.OperationId})
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE && !s.rebooted(h) {
			s.out.Actions = append(s.out.Actions, Action{Kind: Reboot, Host: h.Host, OperationID: h.OperationId})
		}
	}
}

func (s *stepper) write() {
	if !s.draft.Changed() {
		return
	}
	next, err := s.draft.Write(s.draft.Fleet().Term, s.in.Self, s.in.WriteID)
	if err != nil {
		s.note(NoteTerm, s.in.Self, "%v", err)
		return
	}
	s.out.Fleet = next
}
