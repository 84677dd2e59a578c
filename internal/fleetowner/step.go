package fleetowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
)

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
	t.poll(ctx)
	now := time.Now()
	actions := t.planner.Step(now, t.input(now))
	t.wake = actions.Wake
	t.busy.Store(actions.Busy)
	for name, p := range t.pools {
		p.evacuate(actions.Evacuate[name])
	}
	for _, m := range actions.Moves {
		if err := t.orders.Put(ctx, order{move: m}); err != nil {
			return err
		}
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

// upkeeps writes the intents of the orders and sends these afterwards.
func (t *term) upkeeps(ctx context.Context, upkeeps []upkeep.Order) error {
	byWave := map[int64][]upkeep.Order{}
	for _, u := range upkeeps {
		byWave[u.Wave] = append(byWave[u.Wave], u)
	}
	for number, orders := range byWave {
		w := t.waves[number]
		w.dirty = time.Time{}
		job := write{wave: number, puts: []store.Put{t.record(w)}}
		job.done = func(ctx context.Context, err error) error { return t.send(ctx, orders, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// send passes the orders on once their intents are durable, or takes them back.
func (t *term) send(ctx context.Context, orders []upkeep.Order, err error) error {
	for _, u := range orders {
		if err == nil {
			if err := t.orders.Put(ctx, order{upkeep: u}); err != nil {
				return err
			}
			continue
		}
		refused := func(now time.Time) {
			t.planner.UpkeepResult(now, u, upkeep.Refused)
			t.touch(u.Wave, now)
		}
		if err := t.tell(ctx, refused); err != nil {
			return err
		}
	}
	return nil
}
