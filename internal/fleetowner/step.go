package fleetowner

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
)

var errWaveWithdrawn = errors.New("the wave has been withdrawn")

// untilNextStep returns the time until the next step if no event arrives.
func (t *term) untilNextStep(now time.Time) time.Duration {
	if len(t.waves) == 0 && !t.busy.Load() {
		return time.Second
	}
	return max(0, t.nextStepAt.Sub(now))
}

// step runs the planner once and executes its actions.
func (t *term) step(ctx context.Context) error {
	if fence, ok := t.Confirmed(); ok && fence != t.fence {
		return Replaced.New("the fleet is held with another fencing token")
	}
	if !t.listedAt.IsZero() {
		// Pools keep their lists of evacuated workers until this owner has read the list of hosts.
		t.syncPollers(ctx)
	}
	now := t.Clock()
	actions := t.planner.Step(now, t.input(now))
	t.nextStepAt = actions.Wake
	t.busy.Store(actions.Busy)
	for name, p := range t.pools {
		p.setWorkers(actions.Evacuate[name], actions.Due[name])
		p.start()
	}
	t.updateIncarnations(ctx, now)
	t.stepWorkspaces(now)
	t.logBursts(ctx, now, actions.Bursts)
	if err := t.orderMoves(ctx, now, actions); err != nil {
		return err
	}
	if err := t.orderUpkeeps(ctx, now, actions.Upkeeps); err != nil {
		return err
	}
	if err := t.writeCompleted(ctx, now, actions.Completed); err != nil {
		return err
	}
	return t.flush(ctx, now)
}

func (t *term) input(now time.Time) upkeep.Input {
	in := upkeep.Input{
		Hosts:   t.hosts,
		HostsAt: t.listedAt,
		Pools:   make(map[string]upkeep.PoolLoad, len(t.pools)),
	}
	for _, w := range t.waves {
		if !w.completed {
			in.Waves = append(in.Waves, w.Wave)
		}
	}
	for name, p := range t.pools {
		in.Pools[name] = upkeep.PoolLoad{Status: p.status, Age: now.Sub(p.sent), Spare: p.Spare}
	}
	return in
}

// orderMoves writes the open moves and sends the new ones afterwards.
func (t *term) orderMoves(ctx context.Context, now time.Time, actions upkeep.Actions) error {
	orders := make([]order, 0, len(actions.Moves))
	for _, m := range actions.Moves {
		r := actions.Reasons[m.Host]
		t.logDecision(ctx, events.MoveDecided, m.Host, slog.String("pool", m.Pool), slog.String("cause", r.Cause),
			slog.Int64("rate_milli", int64(r.Rate)), slog.Int64("expected_milli", int64(r.Expected)), slog.Int("has", r.Has),
			slog.Float64("needs", math.Round(r.Needs)), slog.Int64("status_age_ms", r.Age.Milliseconds()))
		orders = append(orders, order{move: m})
	}
	orders, guards := t.withGuards(now, orders)
	if len(orders) == 0 {
		return nil
	}
	key := t.Names.MovesKey
	job := write{key: key, puts: []store.Put{t.movesPut(ctx, key)}, guards: guards}
	job.done = func(ctx context.Context, err error) error { return t.releaseOrders(ctx, orders, err) }
	return t.writes.Put(ctx, job)
}

// orderUpkeeps writes the intents of the orders and sends the orders afterwards.
func (t *term) orderUpkeeps(ctx context.Context, now time.Time, upkeeps []upkeep.Order) error {
	byWave := map[int64][]order{}
	for _, u := range upkeeps {
		t.logDecision(ctx, events.UpkeepDecided, u.Host, slog.Int64("wave", u.Wave))
		byWave[u.Wave] = append(byWave[u.Wave], order{upkeep: u})
	}
	for _, number := range slices.Sorted(maps.Keys(byWave)) {
		w := t.waves[number]
		if w == nil {
			// The wave was withdrawn while hosts were evacuated for it.
			if err := t.releaseOrders(ctx, byWave[number], errWaveWithdrawn); err != nil {
				return err
			}
			continue
		}
		orders, guards := t.withGuards(now, byWave[number])
		if len(orders) == 0 {
			continue
		}
		w.dirtySince = time.Time{}
		put := t.progressPut(ctx, w)
		job := write{key: put.Key, puts: []store.Put{put}, guards: guards}
		job.done = func(ctx context.Context, err error) error { return t.releaseOrders(ctx, orders, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// maxGuards leaves room in a transaction for the owner's guard, the record's version, the record and a wave's state.
const maxGuards = store.MaxTransactionEntries - 4

// withGuards returns the conditions that the owners of the pools, which reported that the hosts are evacuated, are
// still the owners: a later one would not know that nothing may start there. Orders that exceed maxGuards are withdrawn
// until the next step.
func (t *term) withGuards(now time.Time, orders []order) (kept []order, guards []store.Condition) {
	pools := map[string]bool{}
	for _, o := range orders {
		p := t.pools[t.host(o.host()).Pool]
		if p == nil || p.Spare || p.status == nil || pools[p.Name] {
			kept = append(kept, o)
			continue
		}
		if len(guards) == maxGuards {
			t.applyResult(now, o, upkeep.Refused)
			continue
		}
		pools[p.Name] = true
		guards = append(guards, t.PoolGuard(p.Name, p.status.GetFence()))
		kept = append(kept, o)
	}
	return kept, guards
}

// logDecision logs a decision about a host, with the age of the list of hosts that it is based on.
func (t *term) logDecision(ctx context.Context, event events.Event, host string, more ...slog.Attr) {
	attrs := append([]slog.Attr{slog.String("host", host)}, more...)
	attrs = append(attrs, slog.String("worker", t.host(host).Worker), slog.Uint64("fence", t.fence),
		slog.Int64("list_age_ms", t.Clock().Sub(t.listedAt).Milliseconds()))
	events.Log(ctx, t.Logger, event, attrs...)
}

// logBursts logs the bursts that began or ended.
func (t *term) logBursts(ctx context.Context, now time.Time, bursts []upkeep.BurstChange) {
	for _, b := range bursts {
		event := events.BurstEnded
		if b.Began {
			event = events.BurstBegan
		}
		events.Log(ctx, t.Logger, event, slog.String("pool", b.Pool), slog.Uint64("fence", t.fence),
			slog.Int64("since_ms", now.Sub(b.Since).Milliseconds()), slog.Int64("rate_milli", int64(b.Rate)),
			slog.Int64("peak_milli", int64(b.Peak)))
	}
}

// host returns a host as last listed; zero if it is not in the list.
func (t *term) host(id string) upkeep.Host {
	for i := range t.hosts {
		if t.hosts[i].ID == id {
			return t.hosts[i]
		}
	}
	return upkeep.Host{}
}

// releaseOrders queues the orders once their intents are durable, or refuses them.
func (t *term) releaseOrders(ctx context.Context, orders []order, err error) error {
	for _, o := range orders {
		if err == nil {
			if err := t.orders.Put(ctx, o); err != nil {
				return err
			}
			continue
		}
		if err := t.post(ctx, func(now time.Time) { t.applyResult(now, o, upkeep.Refused) }); err != nil {
			return err
		}
	}
	return nil
}
