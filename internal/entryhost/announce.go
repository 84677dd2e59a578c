package entryhost

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/control"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/peers"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
)

const (
	// checkPeriod is the longest time between two checks for changes.
	checkPeriod = 500 * time.Millisecond
	// drainHangTime is the duration after which a drain is reported as hanging.
	drainHangTime = 10 * time.Minute
)

// announcer logs the state changes that no other component logs, by comparing the current state with that of the previous
// check. Only the controller logs changes of the fleet, so that each is logged once. Its state belongs to the goroutine of
// run.
type announcer struct {
	self     *pb.Member
	view     *view.View
	peers    *peers.Peers
	dispatch *dispatch.Dispatcher
	list     *control.PlatformList
	ready    func() error
	changed  *ring.Ring[struct{}]
	logger   *slog.Logger

	fleet     *pb.Fleet
	wasReady  bool
	unsettled bool
	// unreleased are the draining hosts that this entry host has not released.
	unreleased nameSet
	silent     nameSet
	ejected    nameSet
	hanging    nameSet
	absent     nameSet
}

// run checks after each change and every checkPeriod until ctx ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.changed.Items():
		}
		a.logStateChanges(ctx, time.Now())
	}
}

func (a *announcer) logStateChanges(ctx context.Context, now time.Time) {
	a.logReadiness(ctx)
	f := a.view.Fleet()
	isController := f.GetController() == fleet.Identity(a.self)
	if isController && a.fleet != nil {
		for _, o := range fleetEvents(a.fleet, f) {
			events.Emit(ctx, a.logger, o.event, o.args...)
		}
	}
	_, left := a.unreleased.replace(a.unreleasedHosts(f))
	for _, host := range releasedHosts(left, a.fleet, f) {
		events.Emit(ctx, a.logger, events.HostReleased, "host", host)
	}
	a.fleet = f
	a.logSetChanges(ctx, &a.silent, a.peers.Silent(now), events.PeerUnreachable, events.PeerBack, "peer")
	a.logSetChanges(ctx, &a.ejected, setOf(a.dispatch.Load(ctx).Ejected), events.HostEjected, events.HostProbedBack, "host")
	if isController {
		a.logSetChanges(ctx, &a.hanging, hangingHosts(f, now), events.HostDrainHangs, events.Event{}, "host")
		a.logSetChanges(ctx, &a.absent, absentHosts(a.view.Config(), a.list), events.HostNotInList, events.Event{}, "host")
	}
}

// logReadiness logs when the readiness check starts or stops passing, and when a staged configuration becomes unsettled.
func (a *announcer) logReadiness(ctx context.Context) {
	err := a.ready()
	if unsettled := errUnsettled.Has(err); unsettled != a.unsettled {
		a.unsettled = unsettled
		if unsettled {
			events.Emit(ctx, a.logger, events.ConfigUnsettled, "err", err)
		}
	}
	if ready := err == nil; ready != a.wasReady {
		a.wasReady = ready
		if ready {
			events.Emit(ctx, a.logger, events.Ready)
		} else {
			events.Emit(ctx, a.logger, events.Unready, "reason", err)
		}
	}
}

// logSetChanges logs one event for each name that entered or left a set. The zero event is not logged.
func (a *announcer) logSetChanges(ctx context.Context, before *nameSet, now nameSet, began, ended events.Event, label string) {
	entered, left := before.replace(now)
	for _, name := range entered {
		a.emit(ctx, began, label, name)
	}
	for _, name := range left {
		a.emit(ctx, ended, label, name)
	}
}

func (a *announcer) emit(ctx context.Context, event events.Event, label, name string) {
	if event.Number != 0 {
		events.Emit(ctx, a.logger, event, label, name)
	}
}

// nameSet is a set of names of hosts or peers.
type nameSet map[string]bool

func setOf(names []string) nameSet {
	return lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
}

// replace replaces the set and returns the names that entered it and those that left it, sorted.
func (s *nameSet) replace(now nameSet) (entered, left []string) {
	entered, left = lo.Difference(lo.Keys(now), lo.Keys(*s))
	slices.Sort(entered)
	slices.Sort(left)
	*s = now
	return entered, left
}

// unreleasedHosts returns the draining hosts that this entry host has not released yet.
func (a *announcer) unreleasedHosts(f *pb.Fleet) nameSet {
	draining := nameSet{}
	for _, h := range f.GetHosts() {
		if h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING {
			draining[h.GetHost()] = true
		}
	}
	unreleased := nameSet{}
	for _, h := range a.view.Gate.Held(time.Now()) {
		if draining[h.GetHost()] {
			unreleased[h.GetHost()] = true
		}
	}
	return unreleased
}

// releasedHosts returns the given hosts without those whose drain was cancelled, which are active in the same pool as before.
func releasedHosts(hosts []string, before, after *pb.Fleet) []string {
	old, now := lo.KeyBy(before.GetHosts(), (*pb.HostState).GetHost), lo.KeyBy(after.GetHosts(), (*pb.HostState).GetHost)
	return lo.Filter(hosts, func(name string, _ int) bool {
		cancelled := now[name].GetPhase() == pb.HostPhase_HOST_PHASE_ACTIVE && now[name].GetPool() == old[name].GetPool()
		return !cancelled
	})
}

// hangingHosts returns the hosts that have been draining for longer than drainHangTime.
func hangingHosts(f *pb.Fleet, now time.Time) nameSet {
	found := nameSet{}
	for _, h := range f.GetHosts() {
		since := time.UnixMilli(h.GetPhaseSinceUnixMs())
		if h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING && now.Sub(since) > drainHangTime {
			found[h.GetHost()] = true
		}
	}
	return found
}

// absentHosts returns the configured hosts that are not in the platform's list. It returns none if the list is empty.
func absentHosts(cfg *pb.Configuration, list *control.PlatformList) nameSet {
	listed := nameSet{}
	for _, h := range list.Snapshot() {
		listed[h.Name] = true
	}
	absent := nameSet{}
	for _, h := range cfg.GetHosts() {
		if len(listed) > 0 && !listed[h.GetName()] {
			absent[h.GetName()] = true
		}
	}
	return absent
}

// occurrence is an event with its arguments.
type occurrence struct {
	event events.Event
	args  []any
}

// fleetEvents returns the events for the differences between two revisions of the fleet.
func fleetEvents(before, after *pb.Fleet) []occurrence {
	found := append(memberEvents(before, after), waveEvents(before, after)...)
	last := lo.KeyBy(before.GetHosts(), (*pb.HostState).GetHost)
	for _, h := range after.GetHosts() {
		if b, known := last[h.GetHost()]; known {
			found = append(found, hostEvents(b, h)...)
		}
	}
	settled := len(before.GetNextOwners().GetOwners()) > 0 && len(after.GetNextOwners().GetOwners()) == 0
	if settled {
		found = append(found, occurrence{events.OwnersSettled, []any{"revision", after.GetRevision()}})
	}
	return found
}

func hostEvents(before, after *pb.HostState) []occurrence {
	var found []occurrence
	args := []any{"host", after.GetHost(), "pool", after.GetPool()}
	if before.GetPool() != after.GetPool() {
		found = append(found, occurrence{events.HostMoved, append(args, "from", before.GetPool())})
	}
	if before.GetPhase() == after.GetPhase() {
		return found
	}
	switch after.GetPhase() {
	case pb.HostPhase_HOST_PHASE_DRAINING:
		found = append(found, occurrence{events.HostDraining, append(args, "target", after.GetTargetPool(), "wave", after.GetWave())})
	case pb.HostPhase_HOST_PHASE_MAINTENANCE:
		found = append(found, occurrence{events.HostInMaintenance, append(args, "wave", after.GetWave())})
	case pb.HostPhase_HOST_PHASE_DOWN:
		found = append(found, occurrence{events.HostDown, append(args, "from", fleet.PhaseName(before.GetPhase()))})
	case pb.HostPhase_HOST_PHASE_ACTIVE:
		if before.GetPool() == after.GetPool() {
			found = append(found, occurrence{events.HostReturned, append(args, "from", fleet.PhaseName(before.GetPhase()))})
		}
	default:
	}
	return found
}

func memberEvents(before, after *pb.Fleet) []occurrence {
	var found []occurrence
	old, current := lo.KeyBy(before.GetMembers(), fleet.Identity[*pb.Member]), lo.KeyBy(after.GetMembers(), fleet.Identity[*pb.Member])
	for _, m := range after.GetMembers() {
		if old[fleet.Identity(m)] == nil {
			found = append(found, occurrence{events.MemberJoined, []any{"member", m.GetName()}})
		}
	}
	for _, m := range before.GetMembers() {
		if current[fleet.Identity(m)] == nil {
			event := lo.Ternary(m.GetLeaving(), events.MemberLeft, events.MemberGone)
			found = append(found, occurrence{event, []any{"member", m.GetName(), "incarnation", m.GetIncarnation()}})
		}
	}
	return found
}

func waveEvents(before, after *pb.Fleet) []occurrence {
	var found []occurrence
	last := lo.KeyBy(before.GetWaves(), (*pb.Wave).GetName)
	for _, w := range after.GetWaves() {
		args := []any{"wave", w.GetName(), "pending", len(w.GetPending()), "failed", len(w.GetFailed())}
		b := last[w.GetName()]
		switch {
		case b == nil:
			found = append(found, occurrence{events.WaveStarted, args})
		case b.GetPhase() == w.GetPhase():
		case w.GetPhase() == pb.WavePhase_WAVE_PHASE_DONE:
			found = append(found, occurrence{events.WaveDone, args})
		default:
		}
	}
	return found
}
