// Package control runs the fleet controller on the entry host that holds its lease and reads the platform's host list.
package control

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/internal/fleetstore"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/mover"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
	"github.com/agateturn/agateturn/waves"
)

const (
	// decisionGap is the minimum time between two decisions.
	decisionGap = 50 * time.Millisecond
	// releaseTimeout limits the call that releases the lease.
	releaseTimeout = 3 * time.Second
	// actionRetry is the time after which an action is sent to the platform again if the fleet does not show its effect.
	actionRetry = 10 * time.Second
)

// reporters provides the members' heartbeats, which report what the members have released.
type reporters interface {
	// Reports returns the newest heartbeats by incarnation, this entry host's own included.
	Reports(ctx context.Context) (map[string]fleet.Received, error)
	// Heard returns a channel that is signalled when a heartbeat was received.
	Heard() <-chan struct{}
}

// Controller runs the fleet controller. Every entry host runs one; only the holder of the lease acts.
//
// The lease provides liveness only. A controller that has lost it without noticing is stopped by the compare-and-swap of
// the fleet.
type Controller struct {
	self     *pb.Member
	view     *view.View
	writer   *fleetstore.Writer
	peers    reporters
	leases   store.Leases
	platform *hostlist.Client
	list     *PlatformList
	period   time.Duration
	lease    time.Duration
	pause    time.Duration
	changed  *ring.Ring[struct{}]
	logger   *slog.Logger
	// lastSent is the time at which each operation was last sent to the platform.
	lastSent map[string]time.Time
	// tracker measures how long pools are overloaded.
	tracker *mover.Tracker
	// failing is set while the fleet cannot be written, so that this is logged only once.
	failing bool
}

// Options are the settings and dependencies of a Controller.
type Options struct {
	Self     *pb.Member
	View     *view.View
	Writer   *fleetstore.Writer
	Peers    reporters
	Leases   store.Leases
	Platform *hostlist.Client
	List     *PlatformList
	Period   time.Duration
	Lease    time.Duration
	Pause    time.Duration
	Logger   *slog.Logger
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{
		self:     o.Self,
		view:     o.View,
		writer:   o.Writer,
		peers:    o.Peers,
		leases:   o.Leases,
		platform: o.Platform,
		list:     o.List,
		period:   o.Period,
		lease:    o.Lease,
		pause:    o.Pause,
		logger:   o.Logger,
		changed:  o.View.Subscribe("controller"),
		lastSent: map[string]time.Time{},
		tracker:  mover.NewTracker(),
	}
}

// Run tries to acquire the lease and makes decisions while it holds it, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	backoff := store.DefaultBackoff()
	for ctx.Err() == nil {
		lease, err := c.leases.Acquire(ctx, fleetstore.KeyController, c.self.GetName())
		if err != nil {
			_ = backoff.Sleep(ctx)
			_ = wait.For(ctx, c.lease/2)
			continue
		}
		backoff.Reset()
		events.Emit(ctx, c.logger, events.ControllerElected, "member", c.self.GetName())
		c.hold(ctx, lease)
		events.Emit(ctx, c.logger, events.ControllerLost, "member", c.self.GetName())
	}
}

// hold makes decisions until the lease is lost or ctx ends.
func (c *Controller) hold(ctx context.Context, lease store.Lease) {
	c.list.needed.Store(true)
	defer func() {
		c.list.needed.Store(false)
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_ = lease.Release(releaseCtx)
	}()
	renewed := time.Now()
	var decided time.Time
	ticker := time.NewTicker(c.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.changed.Items():
		case <-c.peers.Heard():
			if !awaitsReports(c.view.Fleet()) {
				continue
			}
		}
		if time.Since(renewed) > c.lease/3 {
			if err := lease.Renew(ctx); err == nil {
				renewed = time.Now()
			} else if store.LeaseLost.Has(err) || time.Since(renewed) > c.lease {
				return
			}
		}
		if time.Since(decided) < decisionGap {
			continue
		}
		decided = time.Now()
		c.decide(ctx)
	}
}

// awaitsReports reports whether a heartbeat may allow the next step of the fleet at once. Otherwise the next tick is soon
// enough.
func awaitsReports(f *pb.Fleet) bool {
	return len(f.GetNextOwners().GetOwners()) > 0 || lo.SomeBy(f.GetHosts(), func(h *pb.HostState) bool {
		return h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING
	})
}

// decide makes one decision, writes it to the store if it changes the fleet, then sends the actions.
func (c *Controller) decide(ctx context.Context) {
	if c.view.Config() == nil {
		return
	}
	reports, err := c.peers.Reports(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	load := c.tracker.Observe(now, controller.Samples(now, c.view.Config(), reports))
	decision := controller.Step(now, c.input(now, c.view.Fleet(), reports, load))
	if decision.Fleet != nil {
		if decision, err = c.write(ctx, reports, load); err != nil {
			c.logNotWritten(ctx, err)
			return
		}
		c.failing = false
		c.logDecision(ctx, decision)
	}
	c.execute(ctx, decision.Actions)
}

// write repeats the decision on the fleet that the store holds and writes the result by compare-and-swap. After a
// conflict the next step decides again.
func (c *Controller) write(ctx context.Context, reports map[string]fleet.Received, load map[string]mover.PoolLoad) (controller.Decision, error) {
	f, version, err := c.writer.Read(ctx)
	if err != nil {
		return controller.Decision{}, err
	}
	c.view.ApplyFleet(f)
	now := time.Now()
	decision := controller.Step(now, c.input(now, f, reports, load))
	if decision.Fleet == nil {
		return decision, nil
	}
	return decision, c.writer.Swap(ctx, version, decision.Fleet)
}

// logNotWritten logs the first of several consecutive failures. A conflict is not a failure: the next step decides again.
func (c *Controller) logNotWritten(ctx context.Context, err error) {
	if c.failing || store.Conflict.Has(err) {
		return
	}
	c.failing = true
	events.Emit(ctx, c.logger, events.FleetNotWritten, "err", err)
}

// execute sends the actions that were not sent within actionRetry, and drops the records of those no longer requested.
func (c *Controller) execute(ctx context.Context, actions []controller.Action) {
	requested := map[string]time.Time{}
	for _, action := range actions {
		key := fmt.Sprintf("%d %s", action.Kind, action.OperationID)
		requested[key] = c.lastSent[key]
		if time.Since(c.lastSent[key]) < actionRetry {
			continue
		}
		requested[key] = time.Now()
		c.act(ctx, action)
	}
	c.lastSent = requested
}

func (c *Controller) input(now time.Time, f *pb.Fleet, reports map[string]fleet.Received, load map[string]mover.PoolLoad) controller.Input {
	return controller.Input{
		Self:       fleet.Identity(c.self),
		WriteID:    uuid.NewString(),
		Fleet:      f,
		Config:     c.view.Config(),
		Heartbeats: reports,
		Platform:   c.list.Snapshot(),
		PauseLimit: c.pause,
		Demand:     load,
		Failed:     controller.FailedHosts(now, reports),
		Load:       hostLoad(reports),
	}
}

// hostLoad returns, by draining host, the number of requests that the entry hosts still have there and the greatest age
// of one.
func hostLoad(reports map[string]fleet.Received) map[string]waves.Load {
	load := map[string]waves.Load{}
	for _, r := range reports {
		for _, held := range r.Heartbeat.GetHeldHosts() {
			sum := load[held.GetHost()]
			sum.Requests += held.GetRequests()
			sum.Oldest = max(sum.Oldest, time.Duration(held.GetOldestMs())*time.Millisecond)
			load[held.GetHost()] = sum
		}
	}
	return load
}

// logDecision logs what a written decision changed.
func (c *Controller) logDecision(ctx context.Context, decision controller.Decision) {
	for _, note := range decision.Notes {
		events.Emit(ctx, c.logger, eventOf(note.Kind),
			"revision", decision.Fleet.GetRevision(), "subject", note.Subject, "note", note.Text)
	}
}

// act sends one action to the platform. It is idempotent by its operation id and is repeated until the fleet shows its
// effect.
func (c *Controller) act(ctx context.Context, action controller.Action) {
	var err error
	switch action.Kind {
	case controller.Reboot:
		err = c.platform.Reboot(ctx, action.Host, action.OperationID)
	case controller.Checkpoint:
		err = c.platform.Checkpoint(ctx, action.Host, action.OperationID)
	}
	if err != nil {
		events.Emit(ctx, c.logger, events.HostActionFailed, "host", action.Host, "operation", action.OperationID, "err", err)
	}
}

// noteEvents are the events by which the controller's notes are logged. Notes of other kinds are logged as fleet_applied.
var noteEvents = map[controller.NoteKind]events.Event{
	controller.NoteWaveStopped: events.WaveStoppedItself,
	controller.NoteWaveWaits:   events.WaveWaiting,
}

func eventOf(kind controller.NoteKind) events.Event {
	if event, known := noteEvents[kind]; known {
		return event
	}
	return events.FleetApplied
}
