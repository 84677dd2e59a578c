package jobstore

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
)

// Accept stores the job. It returns nil once the job is durable, or if a job with its id was stored already.
// Errors: NotAccepted, Undecided. The error is also Undecided if an earlier write with this id may still take effect.
func (s *Store) Accept(ctx context.Context, rec *pb.JobRecord) error {
	id := rec.GetId()
	data, err := proto.Marshal(rec)
	if err != nil {
		return NotAccepted.Wrap(err)
	}
	err = s.write(ctx, &pendingWrite{id: id, key: jobkeys.Job(rec.GetPool(), id), data: data, ifAbsent: true})
	switch {
	case err == nil:
		return nil
	case store.Unknown.Has(err):
		s.undecided.add(id, s.clock())
		return Undecided.Wrap(err)
	case s.undecided.has(id, s.clock()):
		return Undecided.Wrap(err)
	}
	return NotAccepted.Wrap(err)
}

// Cancel stores the cancellation, which is durable if the error is nil. known is false if there was no such job. The
// cancellation is stored even then, so that a job whose write takes effect late does not run. The job is read after the
// write, so that a concurrent Accept and Cancel cannot miss each other; known is true if that read fails.
// Errors: store.Unavailable (not stored), Undecided. Cancel may be repeated.
func (s *Store) Cancel(ctx context.Context, pool, id string) (known bool, err error) {
	data, err := proto.Marshal(&pb.JobCancel{Id: id, CancelledMs: s.clock().UnixMilli()})
	if err != nil {
		return false, err
	}
	err = s.write(ctx, &pendingWrite{id: id, key: jobkeys.Cancel(pool, id), data: data})
	if store.Unknown.Has(err) {
		return false, Undecided.Wrap(err)
	}
	if err != nil {
		return false, err
	}
	return s.mayExist(ctx, jobkeys.Job(pool, id)), nil
}

// mayExist reports whether a key exists; true if it cannot be read.
func (s *Store) mayExist(ctx context.Context, key string) bool {
	item, err := s.get(ctx, key)
	return err != nil || item.Version > 0
}

// Lookup reads a job's state from the store, for use when the owner cannot be reached. found is false if there is no such
// job. The state of a cancelled job without a final state in the store is CANCELLED. Errors: store.Unavailable.
func (s *Store) Lookup(ctx context.Context, pool, id string) (state pb.JobState, found bool, err error) {
	job, err := s.get(ctx, jobkeys.Job(pool, id))
	if err != nil || job.Version == 0 {
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, err
	}
	item, err := s.get(ctx, jobkeys.Progress(pool, id))
	if err != nil {
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, err
	}
	p := &pb.JobProgress{State: pb.JobState_JOB_STATE_QUEUED}
	if item.Version > 0 {
		if err := proto.Unmarshal(item.Data, p); err != nil {
			s.logSkipped(ctx, item, err)
		}
	}
	if jobstate.Final(p.GetState()) {
		return p.GetState(), true, nil
	}
	cancel, err := s.get(ctx, jobkeys.Cancel(pool, id))
	if err != nil {
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, err
	}
	if cancel.Version > 0 {
		return pb.JobState_JOB_STATE_CANCELLED, true, nil
	}
	return p.GetState(), true, nil
}
