package fleetowner

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
)

var errNoWave = errors.New("the wave is not asked for any more")

// next is the time until the next step if nothing happens.
func (t *term) next(now time.Time) time.Duration {
	if len(t.waves) == 0 && !t.busy.Load() {
		return time.Second
	}
	return max(0, t.wake.Sub(now))
}

// step asks the planner and carries out what it says.
func (t *term) step(ctx context.Context) error {
	if fence, ok := t.Confirmed(); ok && fence != t.fence {
		return Replaced.New("the fleet is held with another fence")
	}
	if !t.listedAt.IsZero() {
		// Pools keep their lists of workers to be emptied until this owner knows better.
		t.poll(ctx)
	}
	now := time.Now()
	actions := t.planner.Step(now, t.input(now))
	t.wake = actions.Wake
	t.busy.Store(actions.Busy)
	for name, p := range t.pools {
		p.evacuate(actions.Evacuate[name])
	}
	if err := t.moves(ctx, actions.Moves); err != nil {
		return err
	}
	if err := t.upkeeps(ctx, actions.Upkeeps); err != nil {
		return err
	}
	if err := t.completed(ctx, now, actions.Completed); err != nil {
		return err
	}
	return t.flush(ctx, now)
}

func (t *term) input(now time.Time) upkeep.Input {
	in := upkeep.Input{
		Machines:   t.machines,
		MachinesAt: t.listedAt,
		Pools:      make(map[string]upkeep.PoolLoad, len(t.pools)),
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

// moves writes which moves are open and sends the new ones afterwards.
func (t *term) moves(ctx context.Context, moves []upkeep.MoveOrder) error {
	if len(moves) == 0 {
		return nil
	}
	orders := make([]order, 0, len(moves))
	for _, m := range moves {
		t.tellDecided(ctx, events.MoveDecided, m.Machine, slog.String("pool", m.Pool))
		orders = append(orders, order{move: m})
	}
	key := t.Names.MovesKey
	job := write{key: key, puts: []store.Put{t.openMoves(ctx, key)}}
	job.done = func(ctx context.Context, err error) error { return t.send(ctx, orders, err) }
	return t.writes.Put(ctx, job)
}

// upkeeps writes the intents of the orders and sends these afterwards.
func (t *term) upkeeps(ctx context.Context, upkeeps []upkeep.Order) error {
	byWave := map[int64][]order{}
	for _, u := range upkeeps {
		t.tellDecided(ctx, events.UpkeepDecided, u.Machine, slog.Int64("wave", u.Wave))
		byWave[u.Wave] = append(byWave[u.Wave], order{upkeep: u})
	}
	for _, number := range slices.Sorted(maps.Keys(byWave)) {
		w := t.waves[number]
		if w == nil {
			// Its order was taken back while machines were emptied for it.
			if err := t.send(ctx, byWave[number], errNoWave); err != nil {
				return err
			}
			continue
		}
		w.dirty = time.Time{}
		put := t.record(ctx, w)
		job := write{key: put.Key, puts: []store.Put{put}}
		job.done = func(ctx context.Context, err error) error { return t.send(ctx, byWave[number], err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// tellDecided logs a decision about a machine, with the age of the list of machines that it rests on.
func (t *term) tellDecided(ctx context.Context, event events.Event, machine string, more slog.Attr) {
	events.Log(ctx, t.Logger, event, slog.String("machine", machine), more, slog.String("worker", t.workerOf(machine)),
		slog.Uint64("fence", t.fence), slog.Int64("list_age_ms", time.Since(t.listedAt).Milliseconds()))
}

// workerOf is the present worker of a machine, for the log.
func (t *term) workerOf(machine string) string {
	for i := range t.machines {
		if t.machines[i].ID == machine {
			return t.machines[i].Worker
		}
	}
	return ""
}

// send passes the orders on once their intents are durable, or takes them back.
func (t *term) send(ctx context.Context, orders []order, err error) error {
	for _, o := range orders {
		if err == nil {
			if err := t.orders.Put(ctx, o); err != nil {
				return err
			}
			continue
		}
		if err := t.tell(ctx, func(now time.Time) { t.result(now, o, upkeep.Refused) }); err != nil {
			return err
		}
	}
	return nil
}
