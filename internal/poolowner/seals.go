package poolowner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// seals are the sealed workers of a roster: the owner records that nothing starts there, and what may run. A worker is
// unsealed only once no record that a later owner may read tells that it is sealed. Only followWorkers uses it.
type seals struct {
	// wanted are the seals that the next record contains.
	wanted map[string]scheduler.SealedWorker
	// possible holds the workers that are sealed in the record, or in one whose write may have taken effect, and before those
	// before the latest write.
	possible, before map[string]bool
	// written are the seals of the latest write, durable those that are certainly recorded.
	written, durable map[string]scheduler.SealedWorker
	// held means that the scheduler may have sealed workers.
	held bool
	// inherited are the seals of a previous owner that the scheduler does not know yet.
	inherited map[string]scheduler.SealedWorker
}

// load takes over the seals of the record of a previous owner.
func (s *seals) load(record *pb.Roster) {
	s.inherited = map[string]scheduler.SealedWorker{}
	for _, w := range record.GetWorkers() {
		if w.GetSealed() {
			s.inherited[w.GetId()] = sealFromRecord(w)
		}
	}
	s.wanted, s.durable, s.held = maps.Clone(s.inherited), maps.Clone(s.inherited), len(s.inherited) > 0
	s.possible = ids(s.inherited)
}

// takeInherited returns the inherited seals of the workers, which the scheduler must learn of together with them.
func (s *seals) takeInherited(workers []scheduler.Worker) []scheduler.SealedWorker {
	var out []scheduler.SealedWorker
	for _, w := range workers {
		if seal, ok := s.inherited[w.ID]; ok {
			out = append(out, seal)
			delete(s.inherited, w.ID)
		}
	}
	return out
}

// addTo adds the worker's seal, if any, to its record.
func (s *seals) addTo(w *pb.RosterWorker) *pb.RosterWorker {
	seal, ok := s.wanted[w.GetId()]
	if !ok {
		return w
	}
	w.Sealed = true
	w.Runs = lo.Map(seal.Runs, func(r scheduler.SealedRun, _ int) *pb.SealedRun {
		return &pb.SealedRun{
			Job: r.Task.Job, Occurrence: int64(r.Task.Occurrence), Step: int64(r.Task.Step), Index: int64(r.Task.Index), Run: r.Run,
			Listed: r.Listed,
		}
	})
	return w
}

func sealFromRecord(w *pb.RosterWorker) scheduler.SealedWorker {
	return scheduler.SealedWorker{Worker: w.GetId(), Runs: lo.Map(w.GetRuns(), func(r *pb.SealedRun, _ int) scheduler.SealedRun {
		task := scheduler.TaskID{Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex())}
		return scheduler.SealedRun{Task: task, Run: r.GetRun(), Listed: r.GetListed()}
	})}
}

// beginWrite is called before a record with the wanted seals is written.
func (s *seals) beginWrite() {
	s.before = s.possible
	s.written, s.durable = s.wanted, nil
	s.possible = lo.Assign(s.before, ids(s.written))
}

// recorded is called once that record is durable: no earlier one can take effect any more.
func (s *seals) recorded() { s.possible, s.durable = ids(s.written), s.written }

// notRecorded is called if that write certainly had no effect.
func (s *seals) notRecorded() { s.possible = s.before }

// inSync reports whether the record certainly contains the wanted seals and no others.
func (s *seals) inSync() bool {
	return len(s.possible) == len(s.wanted) && maps.EqualFunc(s.durable, s.wanted, func(a, b scheduler.SealedWorker) bool {
		return slices.Equal(a.Runs, b.Runs)
	})
}

func ids(seals map[string]scheduler.SealedWorker) map[string]bool {
	return lo.MapValues(seals, func(scheduler.SealedWorker, string) bool { return true })
}

// checkInterval returns the time until the next check. A record that could not be written is not tried again sooner than others.
func (s *seals) checkInterval() time.Duration {
	switch {
	case !s.inSync():
		return rosterCheckInterval
	case s.held:
		return unsealInterval
	default:
		return sealCheckInterval
	}
}

// updateSeals seals workers that have become silent, records the sealed ones, and unseals those that have reported again.
func (r *roster) updateSeals(ctx context.Context) {
	sealed, ok := runInLoop(ctx, r.owner, func(p *scheduler.Pool, now time.Time) []scheduler.SealedWorker { return p.Seal(now) })
	if !ok {
		return
	}
	listed := lo.SliceToMap(r.listed, func(w scheduler.Worker) (string, bool) { return w.ID, true })
	r.seals.wanted = maps.Clone(r.seals.inherited)
	for _, s := range sealed {
		if listed[s.Worker] || len(s.Runs) > 0 {
			r.seals.wanted[s.Worker] = s
		}
	}
	if !r.seals.inSync() {
		r.update(ctx)
	}
	if len(sealed) == 0 && !r.seals.held {
		return
	}
	// A wanted seal may be part of a record that is written before the next check.
	keep := lo.Assign(r.seals.possible, ids(r.seals.wanted))
	r.seals.held = len(sealed) > 0 || len(keep) > 0
	r.owner.enqueue(ctx, func(p *scheduler.Pool, now time.Time) { p.Unseal(now, keep) })
}
