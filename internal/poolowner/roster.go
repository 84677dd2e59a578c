package poolowner

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

// rosterTick is the time between looks whether workers that are no longer registered are still occupied.
const rosterTick = time.Second

// roster is which workers may run tasks of the pool. A worker is recorded before it is handed in, and stays while it may
// run something: its entry in the registry may expire while it lives, and the next owner has to wait for it. It belongs
// to followWorkers.
type roster struct {
	owner   *Owner
	version uint64
	// durable is what is recorded, listed the last list of the registry, shown what was handed in last.
	durable, listed, shown []scheduler.Worker
	// taken are the workers recorded by an owner of before that were not handed in yet.
	taken map[string]bool
}

// followWorkers hands in lists of workers once the records are read, and keeps a holder for each worker.
func (o *Owner) followWorkers(ctx context.Context) error {
	r := &roster{owner: o}
	if !r.load(ctx) {
		return nil
	}
	select {
	case <-o.loaded:
	case <-ctx.Done():
		return nil
	}
	ticker := time.NewTicker(rosterTick)
	defer ticker.Stop()
	known := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case r.listed = <-o.workers:
			known = true
			r.update(ctx)
		case <-ticker.C:
			if known && !r.settled() {
				r.update(ctx)
			}
		}
	}
}

func (r *roster) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		record, version, err := r.owner.Jobs.Roster(ctx, r.owner.Pool)
		if err == nil {
			r.version = version
			r.durable = lo.Map(record.GetWorkers(), func(w *pb.RosterWorker, _ int) scheduler.Worker { return workerOf(w) })
			r.taken = lo.SliceToMap(r.durable, func(w scheduler.Worker) (string, bool) { return w.ID, true })
			return true
		}
		r.owner.tellUnread(ctx, "roster", err)
		_ = wait.For(ctx, loadRetry)
	}
	return false
}

// settled tells whether the recorded workers are the listed ones.
func (r *roster) settled() bool { return len(r.missing()) == 0 && len(r.durable) == len(r.listed) }

// update hands in the listed workers that are recorded and those that are occupied, and the others once they are recorded.
func (r *roster) update(ctx context.Context) {
	all := slices.Concat(r.listed, r.occupied(ctx))
	r.show(ctx, lo.Filter(all, func(w scheduler.Worker, _ int) bool { return r.has(w) }))
	added := len(r.missing()) > 0
	if !added && len(all) == len(r.durable) {
		return
	}
	record := &pb.Roster{Workers: lo.Map(all, func(w scheduler.Worker, _ int) *pb.RosterWorker { return recordOf(&w) })}
	version, err := r.owner.Jobs.SetRoster(ctx, r.owner.Pool, r.owner.Config.Fence, record, r.version)
	r.version = version
	if err != nil {
		r.owner.tellUnread(ctx, "roster", err)
		return
	}
	r.durable = all
	if added {
		r.show(ctx, all)
	}
}

// occupied are the recorded workers that are no longer listed and may run something.
func (r *roster) occupied(ctx context.Context) []scheduler.Worker {
	listed := lo.SliceToMap(r.listed, func(w scheduler.Worker) (string, bool) { return w.ID, true })
	rest := lo.Reject(r.durable, func(w scheduler.Worker, _ int) bool { return listed[w.ID] })
	if len(rest) == 0 {
		return nil
	}
	var kept []scheduler.Worker
	r.owner.ask(ctx, func(p *scheduler.Pool, _ time.Time) {
		for _, w := range rest {
			if r.taken[w.ID] || p.Occupied(w.ID) {
				w.Unlisted = true
				kept = append(kept, w)
			}
		}
	})
	r.taken = nil
	return kept
}

// missing are the listed workers that are not recorded.
func (r *roster) missing() []scheduler.Worker {
	return lo.Reject(r.listed, func(w scheduler.Worker, _ int) bool { return r.has(w) })
}

func (r *roster) has(w scheduler.Worker) bool {
	return lo.ContainsBy(r.durable, func(d scheduler.Worker) bool { return d.ID == w.ID && d.Address == w.Address })
}

func (r *roster) show(ctx context.Context, workers []scheduler.Worker) {
	o := r.owner
	o.tellWorkers(ctx, r.shown, workers)
	r.shown = workers
	o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.SetWorkers(now, workers) })
	o.holders.set(ctx, workers)
}

func workerOf(w *pb.RosterWorker) scheduler.Worker {
	return scheduler.Worker{
		ID: w.GetId(), Address: w.GetAddress(), Host: w.GetHost(), Born: w.GetBorn(), DataCentre: w.GetDataCentre(),
		Rack: w.GetRack(),
	}
}

func recordOf(w *scheduler.Worker) *pb.RosterWorker {
	return &pb.RosterWorker{
		Id: w.ID, Address: w.Address, Host: w.Host, Born: w.Born, DataCentre: w.DataCentre, Rack: w.Rack,
	}
}
