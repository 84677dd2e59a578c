package poolowner

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
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
	// durable is what is surely recorded, listed the last list of the registry, shown what was handed in last.
	durable, listed, shown []scheduler.Worker
	// unsure means that the last write had no answer: other workers than the durable ones may be recorded.
	unsure bool
	// taken are the workers recorded by an owner of before that were not handed in yet.
	taken map[string]bool
}

// followWorkers hands in lists of workers once the records are read, and keeps a holder for each worker.
func (o *Owner) followWorkers(ctx context.Context) error {
	r := &roster{owner: o}
	readable, ok := r.load(ctx)
	if !ok {
		return nil
	}
	select {
	case <-o.loaded:
	case <-ctx.Done():
		return nil
	}
	if !readable {
		o.put(ctx, func(p *scheduler.Pool, _ time.Time) { p.MarkRosterIncomplete() })
	}
	ticker := time.NewTicker(rosterTick)
	defer ticker.Stop()
	known := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-o.workers:
			known = true
			r.listed = r.latest(list)
			r.update(ctx)
		case <-ticker.C:
			if known && !r.settled() {
				r.update(ctx)
			}
		}
	}
}

// load reads the record; ok is false if ctx ended before.
func (r *roster) load(ctx context.Context) (readable, ok bool) {
	for ctx.Err() == nil {
		record, version, err := r.owner.Jobs.Roster(ctx, r.owner.Pool)
		if jobstore.Unreadable.Has(err) {
			r.version = version
			r.owner.tellUnread(ctx, "roster", err)
			return false, true
		}
		if err == nil {
			r.version = version
			r.durable = lo.Map(record.GetWorkers(), func(w *pb.RosterWorker, _ int) scheduler.Worker { return workerOf(w) })
			r.taken = lo.SliceToMap(r.durable, func(w scheduler.Worker) (string, bool) { return w.ID, true })
			return true, true
		}
		r.owner.tellUnread(ctx, "roster", err)
		_ = wait.For(ctx, loadRetry)
	}
	return false, false
}

// latest returns the listed workers, with the recorded lifetime instead of a listed one that is older: the list may lag.
func (r *roster) latest(list []scheduler.Worker) []scheduler.Worker {
	recorded := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
	return lo.Map(list, func(w scheduler.Worker, _ int) scheduler.Worker {
		if d := recorded[w.ID]; w.Born > 0 && d.Born > w.Born {
			d.Unlisted = true
			return d
		}
		return w
	})
}

// settled tells whether the recorded workers are the listed ones.
func (r *roster) settled() bool {
	return !r.unsure && len(r.missing()) == 0 && len(r.durable) == len(r.listed)
}

// update hands in the listed workers that are recorded and those that are occupied, and the others once they are recorded.
func (r *roster) update(ctx context.Context) {
	occupied, ok := r.occupied(ctx)
	if !ok {
		return
	}
	all := slices.Concat(r.listed, occupied)
	r.show(ctx, lo.Filter(all, func(w scheduler.Worker, _ int) bool { return r.has(w) }))
	added := len(r.missing()) > 0
	if !added && !r.unsure && len(all) == len(r.durable) {
		return
	}
	if r.record(ctx, all) && added {
		r.show(ctx, all)
	}
}

// record replaces the record and reports whether that is durable.
func (r *roster) record(ctx context.Context, all []scheduler.Worker) bool {
	record := &pb.Roster{Workers: lo.Map(all, func(w scheduler.Worker, _ int) *pb.RosterWorker { return recordOf(&w) })}
	version, err := r.owner.Jobs.SetRoster(ctx, r.owner.Pool, r.owner.Config.Fence, record, r.version)
	r.version = version
	switch {
	case err == nil:
		r.durable, r.unsure = all, false
		return true
	case jobstore.Fenced.Has(err):
		r.owner.replaced(ctx, "the store")
	case !store.Unavailable.Has(err):
		// The write may have taken effect or not: only what it left in place is recorded in either case.
		r.durable, r.unsure = lo.Filter(all, func(w scheduler.Worker, _ int) bool { return r.has(w) }), true
	}
	r.owner.tellUnread(ctx, "roster", err)
	return false
}

// occupied are the recorded workers that are no longer listed and may run something. It reports false if ctx ended before
// they were known.
func (r *roster) occupied(ctx context.Context) ([]scheduler.Worker, bool) {
	listed := lo.SliceToMap(r.listed, func(w scheduler.Worker) (string, bool) { return w.ID, true })
	rest := lo.Reject(r.durable, func(w scheduler.Worker, _ int) bool { return listed[w.ID] })
	taken := r.taken
	if len(rest) == 0 {
		r.taken = nil
		return nil, true
	}
	kept, ok := ask(ctx, r.owner, func(p *scheduler.Pool, _ time.Time) []scheduler.Worker {
		return lo.FilterMap(rest, func(w scheduler.Worker, _ int) (scheduler.Worker, bool) {
			w.Unlisted = true
			return w, taken[w.ID] || p.Occupied(w.ID)
		})
	})
	if ok {
		r.taken = nil
	}
	return kept, ok
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
