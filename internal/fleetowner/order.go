package fleetowner

import (
	"context"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/upkeep"
)

// orderTimeout is the deadline of one order.
const orderTimeout = 2 * time.Second

// order is a move, or an upkeep if move is empty.
type order struct {
	move   upkeep.MoveOrder
	upkeep upkeep.Order
}

// sendOrders sends orders one after the other.
func (t *term) sendOrders(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-t.orders.Items():
			if err := t.sendOrder(ctx, o); err != nil {
				return err
			}
		}
	}
}

func (t *term) sendOrder(ctx context.Context, o order) error {
	if err := t.changeLimiter.wait(ctx); err != nil {
		return err
	}
	result := upkeep.Refused
	if fence, ok := t.Confirmed(); ok && fence == t.fence {
		result = t.call(ctx, o)
	}
	events.Log(ctx, t.Logger, events.MachineOrder, slog.String("host", o.host()), slog.String("pool", o.move.Pool),
		slog.Int64("wave", o.upkeep.Wave), slog.Uint64("fence", t.fence), slog.String("outcome", resultName(result)))
	if result == upkeep.Fenced {
		return Replaced.New("host %s has accepted an order of a later owner", o.host())
	}
	return t.post(ctx, func(now time.Time) { t.applyResult(now, o, result) })
}

// resultName returns the name of a result for the log.
func resultName(r upkeep.Result) string {
	switch r {
	case upkeep.Unknown:
		return "unknown"
	case upkeep.Done:
		return "done"
	case upkeep.Busy:
		return "busy"
	case upkeep.Refused:
		return "refused or not sent"
	case upkeep.Unfit:
		return "unfit"
	case upkeep.Fenced:
		return "fenced"
	default:
		return "unknown"
	}
}

// applyResult passes the result of an order to the planner.
func (t *term) applyResult(now time.Time, o order, r upkeep.Result) {
	if r == upkeep.Done {
		// The worker on the host has ended, which the list shows to the owner of its pool.
		t.requestList()
	}
	if o.move.Host != "" {
		t.planner.MoveResult(now, o.move, r)
		return
	}
	t.planner.UpkeepResult(now, o.upkeep, r)
	t.markDirty(o.upkeep.Wave, now)
}

func (t *term) call(ctx context.Context, o order) upkeep.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if o.move.Host != "" {
		return t.Hosts.Move(ctx, o.move.Host, o.move.Pool, t.Holder, t.fence)
	}
	return t.Hosts.Upkeep(ctx, o.upkeep.Host, o.upkeep.Wave, t.Holder, t.fence)
}

func (o order) host() string {
	if o.move.Host != "" {
		return o.move.Host
	}
	return o.upkeep.Host
}
