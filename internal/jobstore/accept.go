package jobstore

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
)

// Accept stores the job. It returns nil once the job is durable, or if a job with its id was stored already. If the location of
// its address names another pool, the job belongs to that one.
// Errors: NotAccepted, Undecided, OtherWorkspace, StoredElsewhere. The error is also Undecided if an earlier write with this id
// may still take effect.
func (s *Store) Accept(ctx context.Context, rec *pb.JobRecord) error {
	id := rec.GetId()
	data, err := proto.Marshal(rec)
	if err != nil {
		return NotAccepted.Wrap(err)
	}
	location, err := newLocationWrite(rec.GetAddress(), rec.GetPool(), id)
	if err != nil {
		return NotAccepted.Wrap(err)
	}
	err = s.write(ctx, &pendingWrite{
		id: id, key: jobkeys.Job(rec.GetPool(), id), data: data, ifAbsent: true, isJob: true, location: location,
		check: func(stored []byte) error { return checkSameWorkspace(rec, stored) },
	})
	var elsewhere *elsewhereError
	switch {
	case errors.As(err, &elsewhere):
		return s.acceptElsewhere(ctx, rec, elsewhere.pool)
	case err == nil:
		return nil
	case OtherWorkspace.Has(err):
		return err
	case store.Unknown.Has(err):
		s.undecided.add(id, s.clock())
		return Undecided.Wrap(err)
	case s.undecided.has(id, s.clock()):
		return Undecided.Wrap(err)
	}
	return NotAccepted.Wrap(err)
}

// checkSameWorkspace returns OtherWorkspace if the stored record of a job belongs to another workspace than rec. A record that
// cannot be decoded counts as the same job.
func checkSameWorkspace(rec *pb.JobRecord, stored []byte) error {
	other := &pb.JobRecord{}
	if proto.Unmarshal(stored, other) == nil && other.GetWorkspace() != rec.GetWorkspace() {
		return OtherWorkspace.New("job %s", rec.GetId())
	}
	return nil
}

// Cancel stores the cancellation, which is durable if the error is nil. known is false if there was no such job. The
// cancellation is stored even then, so that a job whose write takes effect late does not run. The job is read after the
// write, so that a concurrent Accept and Cancel cannot miss each other; known is true if that read fails.
// Errors: store.Unavailable (not stored), Undecided. Cancel may be repeated.
//
// Cancel is for operators, and for callers of a configuration without workspaces; see CancelOwn.
func (s *Store) Cancel(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error) {
	return s.cancelLocated(ctx, ref, by, s.cancelAny)
}

func (s *Store) cancelAny(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error) {
	w, err := s.newCancelWrite(ref, by)
	if err != nil {
		return false, err
	}
	if by.Operator {
		w.check = func(stored []byte) error { return checkSameCanceller(by, stored) }
	}
	if err := s.writeCancel(ctx, w); err != nil {
		return false, err
	}
	return s.mayExist(ctx, jobkeys.Job(ref.Pool, ref.ID)), nil
}

// CancelOwn is like Cancel for a caller that may cancel only the jobs of its workspace. known is also false for a job of
// another workspace, and then nothing is written.
//
// A job has one key for its cancellation, so a caller must not replace the cancellation of another one: the job is read first,
// and only its own workspace replaces the value. While there is no job, the first cancellation stays; that of another workspace
// is then rejected with store.Unavailable.
func (s *Store) CancelOwn(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error) {
	return s.cancelLocated(ctx, ref, by, s.cancelOwn)
}

func (s *Store) cancelOwn(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error) {
	w, err := s.newCancelWrite(ref, by)
	if err != nil {
		return false, err
	}
	item, err := s.get(ctx, jobkeys.Job(ref.Pool, ref.ID))
	if err != nil {
		return false, store.Unavailable.Wrap(err)
	}
	w.ifAbsent = item.Version == 0
	w.check = func(stored []byte) error { return checkSameCanceller(by, stored) }
	if w.ifAbsent {
		if err := s.writeCancel(ctx, w); err != nil {
			return false, err
		}
		// As in Cancel, a job that was accepted meanwhile must be known.
		item, err = s.get(ctx, jobkeys.Job(ref.Pool, ref.ID))
		known = err != nil || (item.Version > 0 && by.MayAccess(s.workspaceOf(ctx, item)))
		return known, nil //nolint:nilerr // the cancellation is stored, and the job may exist
	}
	if !by.MayAccess(s.workspaceOf(ctx, item)) {
		return false, nil
	}
	return true, s.writeCancel(ctx, w)
}

// workspaceOf returns the workspace of a job's record; empty if that cannot be decoded.
func (s *Store) workspaceOf(ctx context.Context, item store.Item) string {
	rec := &pb.JobRecord{}
	if err := proto.Unmarshal(item.Data, rec); err != nil {
		s.logSkipped(ctx, item, err)
		return ""
	}
	return rec.GetWorkspace()
}

// checkSameCanceller returns store.Unavailable if the stored cancellation is that of another requester and no operator.
func checkSameCanceller(by jobstate.Requester, stored []byte) error {
	c := &pb.JobCancel{}
	if proto.Unmarshal(stored, c) == nil && !c.GetByOperator() && jobstate.Canceller(c) != by {
		return store.Unavailable.New("cancellation of another workspace is stored")
	}
	return nil
}

func (s *Store) newCancelWrite(ref jobstate.Ref, by jobstate.Requester) (*pendingWrite, error) {
	data, err := proto.Marshal(&pb.JobCancel{
		Id: ref.ID, CancelledMs: s.clock().UnixMilli(), Workspace: by.Workspace, ByOperator: by.Operator, Address: ref.Address,
	})
	if err != nil {
		return nil, err
	}
	location, err := newLocationWrite(ref.Address, ref.Pool, ref.ID)
	return &pendingWrite{id: ref.ID, key: jobkeys.Cancel(ref.Pool, ref.ID), data: data, location: location}, err
}

func (s *Store) writeCancel(ctx context.Context, w *pendingWrite) error {
	err := s.write(ctx, w)
	if store.Unknown.Has(err) {
		return Undecided.Wrap(err)
	}
	return err
}

// MayExist reports whether there is a record of a job that Load or Follow returns; true if the store does not answer.
func (s *Store) MayExist(ctx context.Context, pool, id string) bool {
	item, err := s.get(ctx, jobkeys.Job(pool, id))
	if err != nil || item.Version == 0 {
		return err != nil
	}
	_, readable := s.parse(ctx, pool, item)
	return readable
}

// mayExist reports whether a key exists; true if it cannot be read.
func (s *Store) mayExist(ctx context.Context, key string) bool {
	item, err := s.get(ctx, key)
	return err != nil || item.Version > 0
}

// Lookup reads a job's state from the store, for use when the owner cannot be reached. found is false if there is no such
// job, or if by may not see it. The state of a cancelled job without a final state in the store is CANCELLED. Errors: store.Unavailable.
func (s *Store) Lookup(ctx context.Context, pool, id string, by jobstate.Requester) (state pb.JobState, found bool, err error) {
	job, err := s.get(ctx, jobkeys.Job(pool, id))
	if err != nil || job.Version == 0 {
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, err
	}
	workspace := s.workspaceOf(ctx, job)
	if !by.MayAccess(workspace) {
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, nil
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
	if cancel.Version > 0 && jobstate.Canceller(s.decodeCancel(ctx, id, cancel)).MayAccess(workspace) {
		return pb.JobState_JOB_STATE_CANCELLED, true, nil
	}
	return p.GetState(), true, nil
}
