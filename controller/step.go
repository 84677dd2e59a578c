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

// platformOperation is the operation id of hosts that leave because of the platform's list.
const platformOperation = "platform"

// rebootPrefix starts the operation id of a host in maintenance. It is followed by the host's name and the id of the
// boot that the reboot ends. The id makes the reboot idempotent on the platform, and lets a new controller detect
// whether the host has rebooted.
const rebootPrefix = "reboot/"

// Step decides on the whole fleet. All changes go into one write and each is based on the earlier ones, so no host is
// assigned twice.
func Step(now time.Time, in Input) Decision {
	s := newStepper(now, in)
	s.takeOver()
	s.draft.Reconcile(in.Config, now)
	s.removeGoneMembers()
	s.followPlatformList()
	s.applyOrders()
	s.cancelMovesOverBudget()
	s.advanceHosts()
	s.stepWaves()
	s.createScheduledWave()
	s.startMoves()
	s.settleOwners()
	s.requestActions()
	s.writeDraft()
	return s.decision
}

type stepper struct {
	now      time.Time
	in       Input
	draft    *fleet.Draft
	reports  fleet.Reports
	workers  map[string]PlatformHost
	decision Decision
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
	s.decision.Notes = append(s.decision.Notes, Note{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (s *stepper) takeOver() {
	s.draft.TakeOver(s.in.Self)
	if s.draft.Changed() {
		s.note(NoteTerm, s.in.Self, "took over at term %d", s.draft.Fleet().Term)
	}
}

// removeGoneMembers removes the members that the platform lists as gone, or notes why one is kept.
func (s *stepper) removeGoneMembers() {
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

// followPlatformList drains hosts that the platform lists as leaving or gone. A host that went down for this reason
// returns to service once it is listed as live again.
func (s *stepper) followPlatformList() {
	for _, h := range s.draft.Fleet().Hosts {
		p, listed := s.workers[h.Host]
		if !listed {
			continue
		}
		if p.State != StateLive {
			s.drainLeaving(h)
			continue
		}
		left := h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE && h.OperationId == platformOperation
		if left && h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
			s.noteHostPhase(h.Host, s.draft.MarkUp(h.Host, "", s.now))
		}
	}
}

// drainLeaving drains a host that leaves. It skips hosts in maintenance, which may not be live on the list while they
// reboot; those that do not return go down after reboot_limit.
func (s *stepper) drainLeaving(h *pb.HostState) {
	if h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
		return
	}
	s.noteHostPhase(h.Host, s.draft.BeginLeave(h.Host, platformOperation, s.now))
}

// noteHostPhase notes a host's new phase unless err says that the change was refused.
func (s *stepper) noteHostPhase(host string, err error) {
	if err != nil {
		return
	}
	h := s.draft.Host(host)
	s.note(NoteHostPhase, host, "%s in pool %s", fleet.PhaseName(h.Phase), h.Pool)
}

// advanceHosts completes drains that every member has released, and ends maintenance that is done or overdue.
func (s *stepper) advanceHosts() {
	for _, h := range s.in.Fleet.GetHosts() {
		switch h.Phase {
		case pb.HostPhase_HOST_PHASE_DRAINING:
			s.completeDrain(h.Host)
		case pb.HostPhase_HOST_PHASE_MAINTENANCE:
			s.endMaintenance(h)
		default:
		}
	}
}

// cancelMovesOverBudget cancels moves out of pools that need the host because others failed. Waves do the same for
// their own hosts.
func (s *stepper) cancelMovesOverBudget() {
	budgets := fleet.NewBudgets(s.draft.Fleet(), s.in.Config, s.in.Failed)
	for _, h := range s.draft.Fleet().Hosts {
		moving := h.Phase == pb.HostPhase_HOST_PHASE_DRAINING && h.Purpose == pb.HostPurpose_HOST_PURPOSE_MOVE
		if !moving || s.in.Failed[h.Host] || budgets.Headroom(h.Pool) >= 0 {
			continue
		}
		if s.draft.Cancel(h.Host, s.now) == nil {
			budgets.Return(h.Host)
			s.note(NoteMove, h.Host, "stays in %s, which needs it because other hosts failed", h.Pool)
		}
	}
}

func (s *stepper) completeDrain(host string) {
	h := s.draft.Host(host)
	if h.GetPhase() != pb.HostPhase_HOST_PHASE_DRAINING {
		return
	}
	maintenance := h.Purpose == pb.HostPurpose_HOST_PURPOSE_MAINTENANCE
	boot := s.workers[host].BootID
	if maintenance && boot == "" {
		s.holdUnknownBoot(h)
		return
	}
	if err := s.draft.Complete(host, s.reports); err != nil {
		s.note(NoteHostHeld, host, "%v", err)
		return
	}
	if maintenance {
		s.draft.SetOperation(host, rebootPrefix+host+"/"+boot)
	}
	s.noteHostPhase(host, nil)
}

// endMaintenance ends maintenance that is done. It marks an overdue host down only if no wave has the host in progress,
// since a wave fails its own hosts.
func (s *stepper) endMaintenance(h *pb.HostState) {
	if s.rebooted(h) {
		s.noteHostPhase(h.Host, s.draft.Returned(h.Host, s.now))
		return
	}
	if s.overdue(h) && !waves.HasInProgress(s.in.Fleet, h.Host) {
		s.noteHostPhase(h.Host, s.draft.MarkDown(h.Host, h.OperationId, s.now))
	}
}

// holdUnknownBoot keeps a host draining whose boot id the platform does not report, because its reboot could not be
// detected. Once the host is released and reboot_limit has passed it goes down, so that it does not block its wave
// forever.
func (s *stepper) holdUnknownBoot(h *pb.HostState) {
	s.note(NoteHostHeld, h.Host, "the platform does not report its boot id; a reboot could not be detected")
	if s.overdue(h) && fleet.Released(s.in.Fleet, h.Host, s.reports) {
		s.noteHostPhase(h.Host, s.draft.MarkDown(h.Host, h.OperationId, s.now))
	}
}

// overdue reports whether a host has been in its phase for longer than reboot_limit.
func (s *stepper) overdue(h *pb.HostState) bool {
	limit := s.in.Config.GetMaintenance().GetRebootLimit().AsDuration()
	return s.now.UnixMilli()-h.PhaseSinceUnixMs > limit.Milliseconds()
}

// rebooted reports whether the host has a new boot id and is live again.
func (s *stepper) rebooted(h *pb.HostState) bool {
	p, listed := s.workers[h.Host]
	if !listed || p.State != StateLive || p.BootID == "" {
		return false
	}
	return strings.HasPrefix(h.OperationId, rebootPrefix) && h.OperationId != rebootPrefix+h.Host+"/"+p.BootID
}

func (s *stepper) stepWaves() {
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

func (s *stepper) createScheduledWave() {
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
	s.note(NoteWave, name, "created by the schedule for %d hosts", len(due))
}

func (s *stepper) startMoves() {
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
		operationID := fmt.Sprintf("move/%s/%d", m.Host, s.in.Fleet.GetRevision())
		if s.draft.BeginMove(m.Host, m.To, operationID, s.now) == nil {
			s.note(NoteMove, m.Host, "from %s to %s: %s", m.From, m.To, m.Reason)
		}
	}
}

func (s *stepper) settleOwners() {
	if s.draft.SettleOwners(s.reports) {
		s.note(NoteOwners, s.in.Self, "owner sets change")
		return
	}
	if waiting := fleet.Unsettled(s.draft.Fleet(), s.reports); len(waiting) > 0 {
		s.note(NoteOwners, waiting[0].Name, "owner sets wait for %s", waiting[0])
	}
}

// requestActions requests the platform actions that the stored fleet allows. The changes of this step are not written
// yet and allow none.
func (s *stepper) requestActions() {
	for _, h := range s.in.Fleet.GetHosts() {
		if h.Purpose != pb.HostPurpose_HOST_PURPOSE_MAINTENANCE {
			continue
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
			s.decision.Actions = append(s.decision.Actions, Action{Kind: Checkpoint, Host: h.Host, OperationID: "checkpoint/" + h.OperationId})
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE && !s.rebooted(h) {
			s.decision.Actions = append(s.decision.Actions, Action{Kind: Reboot, Host: h.Host, OperationID: h.OperationId})
		}
	}
}

func (s *stepper) writeDraft() {
	if !s.draft.Changed() {
		return
	}
	next, err := s.draft.Write(s.draft.Fleet().Term, s.in.Self, s.in.WriteID)
	if err != nil {
		s.note(NoteTerm, s.in.Self, "%v", err)
		return
	}
	s.decision.Fleet = next
}
