// Package control acquires the controller's lease and, while it holds the lease, runs the fleet controller. It also reads the
// platform's host list.
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
	// minDecisionInterval is the minimum time between two decisions. A change within it is handled at the next tick or change.
	minDecisionInterval = 50 * time.Millisecond
	// releaseTimeout limits the call that releases the lease.
	releaseTimeout = 3 * time.Second
	// actionRetry is the time after which an action is sent to the platform again if the
	// fleet record does not show its effect.
	actionRetry = 10 * time.Second
)

// heartbeatSource provides the heartbeats of the entry hosts, which report their load, failed hosts, and the hosts that they
// still use.
type heartbeatSource interface {
	// Reports returns the newest heartbeats by incarnation, this entry host's own included.
	Reports(ctx context.Context) (map[string]fleet.Received, error)
	// Heard returns a channel that is signalled when a heartbeat was received.
	Heard() <-chan struct{}
}

// Controller runs the decisions of package controller. Every entry host has one; only the holder of the lease acts.
//
// The lease does not guarantee that only one acts. A controller that has lost it without noticing cannot write: its
// compare-and-swap of the fleet record fails. Its actions may be repeats, but the platform executes an action only once for
// each operation id.
type Controller struct {
	self     *pb.Member
	view     *view.View
	writer   *fleetstore.Writer
	peers    heartbeatSource
	leases   store.Leases
	platform *hostlist.Client
	hostList *PlatformList
	// See Options for the durations.
	decisionPeriod time.Duration
	leaseDuration  time.Duration
	pauseLimit     time.Duration
	changed        *ring.Ring[struct{}]
	logger         *slog.Logger
	// lastSent is when each action was last sent to the platform, by kind and operation id.
	lastSent map[string]time.Time
	// tracker measures how long pools have been overloaded.
	tracker *mover.Tracker
	// failing is set while the fleet record cannot be written, so that this is logged only once.
	failing bool
}

// Options are the settings and dependencies of a Controller.
type Options struct {
	Self     *pb.Member
	View     *view.View
	Writer   *fleetstore.Writer
	Peers    heartbeatSource
	Leases   store.Leases
	Platform *hostlist.Client
	List     *PlatformList
	// Period is the time between two decisions without a change.
	Period time.Duration
	// Lease is the time after which the lease expires without a renewal.
	Lease time.Duration
	// Pause is passed to the decisions as controller.Input.PauseLimit.
	Pause  time.Duration
	Logger *slog.Logger
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{
		self:           o.Self,
		view:           o.View,
		writer:         o.Writer,
		peers:          o.Peers,
		leases:         o.Leases,
		platform:       o.Platform,
		hostList:       o.List,
		decisionPeriod: o.Period,
		leaseDuration:  o.Lease,
		pauseLimit:     o.Pause,
		logger:         o.Logger,
		changed:        o.View.Subscribe("controller"),
		lastSent:       map[string]time.Time{},
		tracker:        mover.NewTracker(),
	}
}

// Run tries to acquire the lease and makes decisions while it holds it, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	backoff := store.DefaultBackoff()
	for ctx.Err() == nil {
		lease, err := c.leases.Acquire(ctx, fleetstore.KeyController, c.self.GetName())
		if err != nil {
			_ = backoff.Sleep(ctx)               // spreads the attempts of the entry hosts
			_ = wait.For(ctx, c.leaseDuration/2) // another entry host usually holds the lease
			continue
		}
		backoff.Reset()
		events.Emit(ctx, c.logger, events.ControllerElected, "member", c.self.GetName())
		c.hold(ctx, lease)
		// The event is also emitted at a shutdown.
		events.Emit(ctx, c.logger, events.ControllerLost, "member", c.self.GetName())
	}
}

// hold makes decisions until the lease is lost or ctx ends.
func (c *Controller) hold(ctx context.Context, lease store.Lease) {
	c.hostList.isController.Store(true)
	defer func() {
		c.hostList.isController.Store(false)
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_ = lease.Release(releaseCtx)
	}()
	renewed := time.Now()
	var decided time.Time
	ticker := time.NewTicker(c.decisionPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.changed.Items():
		case <-c.peers.Heard():
			if !awaitsHeartbeats(c.view.Fleet()) {
				continue
			}
		}
		if time.Since(renewed) > c.leaseDuration/3 {
			if err := lease.Renew(ctx); err == nil {
				renewed = time.Now()
			} else if store.LeaseLost.Has(err) || time.Since(renewed) > c.leaseDuration {
				return
			}
		}
		if time.Since(decided) < minDecisionInterval {
			continue
		}
		decided = time.Now()
		c.decide(ctx)
	}
}

// awaitsHeartbeats reports whether the fleet waits for heartbeats, so that each one must be acted on at once rather than at
// the next tick.
func awaitsHeartbeats(f *pb.Fleet) bool {
	return len(f.GetNextOwners().GetOwners()) > 0 || lo.SomeBy(f.GetHosts(), func(h *pb.HostState) bool {
		return h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING
	})
}

// decide makes one decision, writes it to the store if it changes the fleet record, then sends the actions that are due.
func (c *Controller) decide(ctx context.Context) {
	if c.view.Config() == nil {
		return
	}
	reports, err := c.peers.Reports(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	demand := c.tracker.Observe(now, controller.Samples(now, c.view.Config(), reports))
	decision := controller.Step(now, c.input(now, c.view.Fleet(), reports, demand))
	if decision.Fleet != nil {
		if decision, err = c.write(ctx, reports, demand); err != nil {
			c.logNotWritten(ctx, err)
			return
		}
		c.failing = false
		c.logDecision(ctx, decision)
	}
	c.sendDue(ctx, decision.Actions)
}

// write decides again from the stored fleet record and writes the result by compare-and-swap. The returned decision has no
// Fleet if the stored record needs no change. After a conflict, the next tick or change leads to a new decision.
func (c *Controller) write(ctx context.Context, reports map[string]fleet.Received, demand map[string]mover.PoolLoad) (controller.Decision, error) {
	f, version, err := c.writer.Read(ctx)
	if err != nil {
		return controller.Decision{}, err
	}
	c.view.ApplyFleet(f)
	now := time.Now()
	decision := controller.Step(now, c.input(now, f, reports, demand))
	if decision.Fleet == nil {
		return decision, nil
	}
	return decision, c.writer.Swap(ctx, version, decision.Fleet)
}

// logNotWritten logs the first of several consecutive failures to write. A conflict is not a failure, because the next tick
// or change leads to a new decision.
func (c *Controller) logNotWritten(ctx context.Context, err error) {
	if c.failing || store.Conflict.Has(err) {
		return
	}
	c.failing = true
	events.Emit(ctx, c.logger, events.FleetNotWritten, "err", err)
}

// sendDue sends the actions that were not sent within actionRetry. It forgets when the actions that are no longer requested
// were sent.
func (c *Controller) sendDue(ctx context.Context, actions []controller.Action) {
	requested := map[string]time.Time{}
	for _, action := range actions {
		key := fmt.Sprintf("%d %s", action.Kind, action.OperationID)
		requested[key] = c.lastSent[key]
		if time.Since(c.lastSent[key]) < actionRetry {
			continue
		}
		requested[key] = time.Now()
		c.send(ctx, action)
	}
	c.lastSent = requested
}

func (c *Controller) input(now time.Time, f *pb.Fleet, reports map[string]fleet.Received, demand map[string]mover.PoolLoad) controller.Input {
	return controller.Input{
		Self:       fleet.Identity(c.self),
		WriteID:    uuid.NewString(),
		Fleet:      f,
		Config:     c.view.Config(),
		Heartbeats: reports,
		Platform:   c.hostList.Snapshot(),
		PauseLimit: c.pauseLimit,
		Demand:     demand,
		Failed:     controller.FailedHosts(now, reports),
		Load:       hostLoad(reports),
	}
}

// hostLoad returns, by host, the number of unfinished requests and the age of the oldest. Heartbeats list only hosts with
// requests for a pool for which they take no more work, such as draining hosts.
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

// logDecision logs the notes of a decision. The revision is 0 if the stored fleet record needed no change.
func (c *Controller) logDecision(ctx context.Context, decision controller.Decision) {
	for _, note := range decision.Notes {
		events.Emit(ctx, c.logger, eventOf(note.Kind),
			"revision", decision.Fleet.GetRevision(), "subject", note.Subject, "note", note.Text)
	}
}

// send sends one action to the platform, which executes it once for each operation id. Decisions request the action again
// until the fleet record shows its effect.
func (c *Controller) send(ctx context.Context, action controller.Action) {
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

// noteEvents are the events as which notes of some kinds are logged. Notes of any other kind are logged as FleetApplied, also
// those that do not concern the revision of the fleet record.
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
