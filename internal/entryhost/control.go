package entryhost

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/store"
)

const (
	// decisionGap is the shortest time between two decisions.
	decisionGap = 50 * time.Millisecond
	// actionRepeat is the time after which an action on the platform is sent again if its effect does not show.
	actionRepeat = 10 * time.Second
)

// control is the duty of the fleet controller. Every entry host runs it; the holder of the lease key acts.
//
// The lease is for liveness only. A controller that lost it without knowing is stopped by its compare-and-swap.
type control struct {
	self     *pb.Member
	view     *view
	writer   *writer
	peers    *peers
	leases   store.Leases
	platform *platform.Client
	list     *platformList
	period   time.Duration
	lease    time.Duration
	pause    time.Duration
	changed  *ring.Ring[struct{}]
	logger   *slog.Logger
	backoff  store.Backoff
	// acted is when each operation was last sent to the platform.
	acted map[string]time.Time
}

// run seeks the lease and decides while it holds it, until ctx ends.
func (c *control) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		lease, err := c.leases.Acquire(ctx, keyController, c.self.GetName())
		if err != nil {
			failures = min(failures+1, 4)
			_ = c.backoff.Wait(ctx, failures)
			_ = sleep(ctx, c.lease/2)
			continue
		}
		failures = 0
		events.Emit(ctx, c.logger, events.ControllerElected, "member", c.self.GetName())
		c.hold(ctx, lease)
		events.Emit(ctx, c.logger, events.ControllerLost, "member", c.self.GetName())
	}
}

// hold decides until the lease is lost or ctx ends.
func (c *control) hold(ctx context.Context, lease store.Lease) {
	defer func() {
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
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
		case <-c.peers.heard.Items():
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

// decide takes one step: read, decide, one write, then the actions.
func (c *control) decide(ctx context.Context) {
	if c.view.config() == nil {
		return
	}
	reports, err := c.peers.reports(ctx)
	if err != nil {
		return
	}
	decision := controller.Step(time.Now(), c.input(c.view.fleet(), reports))
	if decision.Fleet != nil {
		written, err := c.writer.update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
			decision = controller.Step(time.Now(), c.input(f, reports))
			return decision.Fleet, nil
		})
		if err != nil {
			c.logger.Warn("fleet not written", "component", "controller", "err", err)
			return
		}
		c.announce(ctx, decision, written)
	}
	c.carryOut(ctx, decision.Actions)
}

// carryOut sends the actions that were not sent lately, and forgets those that are wanted no more.
func (c *control) carryOut(ctx context.Context, actions []controller.Action) {
	wanted := map[string]time.Time{}
	for _, action := range actions {
		key := string(action.Kind) + " " + action.OperationID
		wanted[key] = c.acted[key]
		if time.Since(c.acted[key]) < actionRepeat {
			continue
		}
		wanted[key] = time.Now()
		c.act(ctx, action)
	}
	c.acted = wanted
}

func (c *control) input(f *pb.Fleet, reports map[string]received) controller.Input {
	return controller.Input{
		Self:   c.self,
		Fleet:  f,
		Config: c.view.config(),
		Heartbeats: lo.MapValues(reports, func(r received, _ string) controller.Received {
			return controller.Received{Heartbeat: r.heartbeat, At: r.at}
		}),
		Platform:   c.list.snapshot(),
		PauseLimit: c.pause,
	}
}

func (c *control) announce(ctx context.Context, decision controller.Decision, written *pb.Fleet) {
	for _, note := range decision.Notes {
		events.Emit(ctx, c.logger, events.FleetApplied, "revision", written.GetRevision(), "note", note.Text, "host", note.Host)
	}
}

// act carries out one action on the platform. It is idempotent by its operation id, and repeated until the fleet shows its effect.
func (c *control) act(ctx context.Context, action controller.Action) {
	var err error
	switch action.Kind {
	case controller.ActionReboot:
		err = c.platform.Reboot(ctx, action.Host, action.OperationID)
	case controller.ActionCheckpoint:
		err = c.platform.Checkpoint(ctx, action.Host, action.OperationID)
	}
	if err != nil {
		c.logger.Warn("platform action failed", "component", "controller", "host", action.Host, "err", err)
	}
}
