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

const (
	// rosterCheckInterval is the time between attempts to bring the record in line with the registry: to remove workers that
	// are no longer occupied, and to repeat failed writes.
	rosterCheckInterval = time.Second
	// sealCheckInterval is the time between attempts to bring the sealed workers of the record in line with the scheduler's,
	// and unsealInterval the same while there are any: a worker that answers again should be used soon.
	sealCheckInterval = 250 * time.Millisecond
	unsealInterval    = 100 * time.Millisecond
)

// roster maintains the durable record of the workers that may run tasks of the pool. A worker is recorded before the
// scheduler may use it, and stays recorded while it may run a task: its entry in the registry may expire while it is alive,
// and the next owner has to wait for that worker. Only followWorkers uses it.
type roster struct {
	owner   *Owner
	version uint64
	// durable holds the workers that are certainly recorded, listed those of the last list from the registry, and published
	// those last passed to the scheduler.
	durable, listed, published []scheduler.Worker
	// uncertain is set when the outcome of the last write is unknown: the recorded workers may differ from durable.
	uncertain bool
	// inherited holds the workers recorded by a previous owner that have not been passed to the scheduler yet.
	inherited map[string]bool
	// used holds the workers on which previous owners may have started something: those that they have recorded. It is nil if
	// that is not known.
	used map[string]bool
	// incomplete is set while the record cannot be read or is marked as incomplete: workers that it does not name may run tasks of
	// previous owners until the takeover is done.
	incomplete bool
	seals      seals
}

// followWorkers passes lists of workers to the scheduler once the records are loaded, and runs a lease renewer for each
// worker.
func (o *Owner) followWorkers(ctx context.Context) error {
	r := &roster{owner: o, seals: seals{inherited: map[string]scheduler.SealedWorker{}}}
	if !r.load(ctx) {
		return nil
	}
	select {
	case <-o.loaded:
	case <-ctx.Done():
		return nil
	}
	if r.incomplete {
		o.enqueue(ctx, func(p *scheduler.Pool, _ time.Time) { p.MarkRosterIncomplete() })
	}
	ticker := time.NewTicker(rosterCheckInterval)
	defer ticker.Stop()
	sealTimer := time.NewTimer(sealCheckInterval)
	defer sealTimer.Stop()
	hasList := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-o.workers:
			hasList = true
			r.listed = r.mergeRecorded(list)
			r.update(ctx)
		case <-ticker.C:
			if hasList && !r.inSync() {
				r.update(ctx)
			}
		case <-sealTimer.C:
			if hasList {
				r.updateSeals(ctx)
			}
			sealTimer.Reset(r.seals.checkInterval())
		}
	}
}

// load reads the record. It reports false if ctx ended first.
func (r *roster) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		record, version, err := r.owner.Jobs.Roster(ctx, r.owner.Pool)
		if jobstore.Unreadable.Has(err) {
			r.version, r.incomplete = version, true
			r.owner.logReadFailure(ctx, "roster", err)
			return true
		}
		if err == nil {
			r.version = version
			r.durable = lo.Map(record.GetWorkers(), func(w *pb.RosterWorker, _ int) scheduler.Worker { return workerFromRecord(w) })
			r.inherited = lo.SliceToMap(r.durable, func(w scheduler.Worker) (string, bool) { return w.ID, true })
			r.incomplete = record.GetIncomplete()
			if !r.incomplete {
				r.used = r.inherited
			}
			r.seals.load(record)
			return true
		}
		r.owner.logReadFailure(ctx, "roster", err)
		_ = wait.For(ctx, readRetryDelay)
	}
	return false
}

// mergeRecorded returns the listed workers, marked as unused if no previous owner has recorded them, but with the recorded
// incarnation, marked as unlisted, where the listed one is older, since the list may lag.
func (r *roster) mergeRecorded(list []scheduler.Worker) []scheduler.Worker {
	recorded := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
	return lo.Map(list, func(w scheduler.Worker, _ int) scheduler.Worker {
		w.Unused = r.used != nil && !r.used[w.ID]
		if d := recorded[w.ID]; w.Born > 0 && d.Born > w.Born {
			d.Unlisted = true
			return d
		}
		return w
	})
}

// inSync reports whether the recorded workers are certainly the listed ones, and no others may run anything.
func (r *roster) inSync() bool {
	return !r.uncertain && !r.incomplete && len(r.unrecorded()) == 0 && len(r.durable) == len(r.listed) && r.recordsIncarnations(r.listed)
}

// update publishes the occupied workers and the listed ones as far as they are recorded, and all as listed once they are recorded.
func (r *roster) update(ctx context.Context) {
	occupied, ok := r.occupied(ctx)
	if !ok {
		return
	}
	all := slices.Concat(r.listed, occupied)
	r.publish(ctx, r.recorded(all))
	hasNew := len(r.unrecorded()) > 0
	record, ok := r.withUnsettled(ctx, all)
	incomplete := r.incomplete && !r.takenOver(ctx)
	if !ok || !hasNew && !r.uncertain && len(all) == len(r.durable) && r.recordsIncarnations(record) && r.seals.inSync() && incomplete == r.incomplete {
		return
	}
	if r.write(ctx, record, incomplete) {
		r.publish(ctx, all)
	}
}

// withUnsettled returns the workers as they are to be recorded, with those marked for which a later owner has to wait longer. It
// reports false if ctx ended first.
func (r *roster) withUnsettled(ctx context.Context, all []scheduler.Worker) ([]scheduler.Worker, bool) {
	if r.recordsIncarnations(all) {
		return all, true
	}
	return runInLoop(ctx, r.owner, func(p *scheduler.Pool, _ time.Time) []scheduler.Worker {
		return lo.Map(all, func(w scheduler.Worker, _ int) scheduler.Worker {
			w.RecordedUnsettled, w.RecordedMayForget = p.Unsettled(w.ID, w.Born), p.MayForgetEnds(w.ID)
			return w
		})
	})
}

// recordsIncarnations reports whether the workers are recorded with the same incarnations and marks.
func (r *roster) recordsIncarnations(workers []scheduler.Worker) bool {
	durable := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
	return lo.EveryBy(workers, func(w scheduler.Worker) bool {
		d := durable[w.ID]
		return d.Born == w.Born && d.RecordedUnsettled == w.RecordedUnsettled && d.RecordedMayForget == w.RecordedMayForget
	})
}

// write replaces the record and reports whether the write is durable.
func (r *roster) write(ctx context.Context, all []scheduler.Worker, incomplete bool) bool {
	record := &pb.Roster{Incomplete: incomplete, Workers: lo.Map(all, func(w scheduler.Worker, _ int) *pb.RosterWorker {
		return r.seals.addTo(recordFromWorker(&w))
	})}
	r.seals.beginWrite()
	version, err := r.owner.Jobs.SetRoster(ctx, r.owner.Pool, r.owner.Config.Fence, record, r.version)
	r.version = version
	switch {
	case err == nil:
		r.durable, r.uncertain, r.incomplete = all, false, incomplete
		r.seals.recorded()
		return true
	case jobstore.Fenced.Has(err):
		r.owner.handleReplaced(ctx, "the store")
	case !store.Unavailable.Has(err):
		// The write may have taken effect or not: only workers and marks in both the old and the new record are certainly recorded.
		before := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
		r.durable, r.uncertain = lo.Map(r.recorded(all), func(w scheduler.Worker, _ int) scheduler.Worker {
			w.RecordedUnsettled = w.RecordedUnsettled && before[w.ID].RecordedUnsettled
			w.RecordedMayForget = w.RecordedMayForget && before[w.ID].RecordedMayForget
			return w
		}), true
	default:
		r.seals.notRecorded()
	}
	r.owner.logReadFailure(ctx, "roster", err)
	return false
}

// occupied returns the recorded workers that are no longer listed but may run a task. Nothing starts on the unlisted ones from then on,
// so that none of those left out runs anything until it is listed again. The first call includes all inherited
// ones, which the scheduler does not know yet. It reports false if ctx ended first.
func (r *roster) occupied(ctx context.Context) ([]scheduler.Worker, bool) {
	listed := lo.SliceToMap(r.listed, func(w scheduler.Worker) (string, bool) { return w.ID, true })
	unlisted := lo.Reject(r.durable, func(w scheduler.Worker, _ int) bool { return listed[w.ID] })
	inherited := r.inherited
	if len(unlisted) == 0 {
		r.inherited = nil
		return nil, true
	}
	kept, ok := runInLoop(ctx, r.owner, func(p *scheduler.Pool, _ time.Time) []scheduler.Worker {
		return lo.FilterMap(unlisted, func(w scheduler.Worker, _ int) (scheduler.Worker, bool) {
			w.Unlisted = true
			p.MarkUnlisted(w.ID)
			return w, inherited[w.ID] || p.Occupied(w.ID)
		})
	})
	if ok {
		r.inherited = nil
	}
	return kept, ok
}

// takenOver reports whether nothing of a previous owner can run on workers that are not recorded.
func (r *roster) takenOver(ctx context.Context) bool {
	done, ok := runInLoop(ctx, r.owner, func(p *scheduler.Pool, _ time.Time) bool { return p.TakenOver() })
	return ok && done
}

// unrecorded returns the listed workers that are not recorded.
func (r *roster) unrecorded() []scheduler.Worker {
	return lo.Reject(r.listed, func(w scheduler.Worker, _ int) bool { return r.isRecorded(w) })
}

// recorded returns those of the workers that are certainly recorded. One that is recorded with another address is returned as
// recorded, and marked as unlisted: it may run a task there.
func (r *roster) recorded(all []scheduler.Worker) []scheduler.Worker {
	durable := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
	return lo.FilterMap(all, func(w scheduler.Worker, _ int) (scheduler.Worker, bool) {
		d, ok := durable[w.ID]
		if ok && d.Address != w.Address {
			d.Unlisted = true
			return d, true
		}
		return w, ok
	})
}

func (r *roster) isRecorded(w scheduler.Worker) bool {
	return lo.ContainsBy(r.durable, func(d scheduler.Worker) bool { return d.ID == w.ID && d.Address == w.Address })
}

func (r *roster) publish(ctx context.Context, workers []scheduler.Worker) {
	o := r.owner
	durable := lo.KeyBy(r.durable, func(w scheduler.Worker) string { return w.ID })
	workers = lo.Map(workers, func(w scheduler.Worker, _ int) scheduler.Worker {
		d := durable[w.ID]
		w.RecordedBorn, w.RecordedUnsettled, w.RecordedMayForget = d.Born, d.RecordedUnsettled, d.RecordedMayForget
		return w
	})
	o.logWorkerChanges(ctx, r.published, workers)
	r.published = workers
	inherited := r.seals.takeInherited(workers)
	o.enqueue(ctx, func(p *scheduler.Pool, now time.Time) {
		p.SetWorkers(now, workers)
		for _, s := range inherited {
			p.AdoptSealed(now, s)
		}
	})
	o.renewers.reconcile(ctx, workers)
}

func workerFromRecord(w *pb.RosterWorker) scheduler.Worker {
	return scheduler.Worker{
		ID: w.GetId(), Address: w.GetAddress(), Host: w.GetHost(), Born: w.GetBorn(), DataCentre: w.GetDataCentre(),
		Rack: w.GetRack(), RecordedUnsettled: w.GetUnsettled(), RecordedMayForget: w.GetMayForgetEnds(),
	}
}

func recordFromWorker(w *scheduler.Worker) *pb.RosterWorker {
	return &pb.RosterWorker{
		Id: w.ID, Address: w.Address, Host: w.Host, Born: w.Born, DataCentre: w.DataCentre, Rack: w.Rack,
		Unsettled: w.RecordedUnsettled, MayForgetEnds: w.RecordedMayForget,
	}
}
