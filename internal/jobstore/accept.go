package jobstore

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
)

// Accept stores the job. Nil means that it is durable, or that a job with its id was there already.
// Errors: NotAccepted, Undecided.
func (s *Store) Accept(ctx context.Context, rec *pb.JobRecord) error {
	id := rec.GetId()
	data, err := proto.Marshal(rec)
	if err != nil {
		return NotAccepted.Wrap(err)
	}
	err = s.write(ctx, &arrival{id: id, key: jobkeys.Job(rec.GetPool(), id), data: data, ifAbsent: true})
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

// Cancel stores the cancellation. It is durable when the error is nil; known is false if there was no such job. The
// cancellation is kept all the same, so that a job whose write lands late does not run. The job is looked for after the
// write, so that the two cannot miss each other; known is true if this cannot be told.
// Errors: store.Unavailable (not stored), Undecided. Cancel may be repeated.
func (s *Store) Cancel(ctx context.Context, pool, id string) (known bool, err error) {
	data, err := proto.Marshal(&pb.JobCancel{Id: id, CancelledMs: s.clock().UnixMilli()})
	if err != nil {
		return false, err
	}
	err = s.write(ctx, &arrival{id: id, key: jobkeys.Cancel(pool, id), data: data})
	if store.Unknown.Has(err) {
		return false, Undecided.Wrap(err)
	}
	if err != nil {
		return false, err
	}
	return s.mayExist(ctx, jobkeys.Job(pool, id)), nil
}

// mayExist tells whether a key exists; true if this cannot be told.
func (s *Store) mayExist(ctx context.Context, key string) bool {
	item, err := s.get(ctx, key)
	return err != nil || item.Version > 0
}

// Lookup reads a job's state from the store: for when the owner cannot be asked. found is false if there is no such job.
// A cancelled job that had not ended is CANCELLED. Errors: store.Unavailable.
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
			s.skipped(ctx, item, err)
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
