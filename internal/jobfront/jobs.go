package jobfront

import (
	"context"
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// ownerTimeout bounds a query to an owner, after which a state is read from the store and a count from the cache.
const ownerTimeout = 300 * time.Millisecond

// locateTimeout bounds the search for the pool of a job to cancel, after which whoever stores the cancellation searches for it.
const locateTimeout = 300 * time.Millisecond

// submit stores a job and then notifies its owner. A job that would add to the backlog of an overloaded owner is
// rejected.
func (f *Front) submit(ctx context.Context, r request, body []byte) reply {
	spec, err := f.options.Codec.DecodeJob(body)
	if err != nil {
		return reply{status: http.StatusBadRequest, body: []byte(err.Error() + "\n"), reason: reasonInvalidJob}
	}
	if r.workspace != "" && exceedsCap(spec, r.cap) {
		return reply{status: http.StatusBadRequest, body: []byte(reasonExceedsCap + "\n"), reason: reasonExceedsCap}
	}
	if delay := f.overloaded.remaining(r.queue.Pool, time.Now()); delay > 0 && addsToBacklog(spec) {
		return reply{status: http.StatusServiceUnavailable, retry: true, retryAfter: delay, reason: reasonOverloaded}
	}
	job := &pb.JobRecord{
		Id:         r.id,
		Queue:      r.queue.Name,
		Pool:       r.queue.Pool,
		Spec:       spec,
		AcceptedMs: time.Now().UnixMilli(),
		Workspace:  r.workspace,
		Address:    r.address,
		Terms:      jobstate.TermsOf(r.queue),
	}
	result := f.store(ctx, &pb.StoreJobRequest{Job: job})
	switch result {
	case pb.StoreResult_STORE_RESULT_STORED:
		traceOf(ctx).markStored()
		f.offers.addJob(job)
	case pb.StoreResult_STORE_RESULT_STORED_ELSEWHERE:
		// The owner of the pool that the configuration names must not learn of a job that it does not own.
		traceOf(ctx).markStored()
	default:
	}
	return f.storeReply(result)
}

// cancel stores a cancellation and then notifies the job's owner.
func (f *Front) cancel(ctx context.Context, r request) reply {
	ref := jobstate.Ref{Pool: r.queue.Pool, ID: r.id, Address: r.address}
	call, stop := context.WithTimeout(ctx, locateTimeout)
	at, found, err := f.options.Store.Locate(call, r.address)
	stop()
	if err == nil && found {
		ref = jobstate.Ref{Pool: at.Pool, ID: r.id}
	}
	return f.storeReply(f.storeCancel(ctx, ref, jobstate.Requester{Workspace: r.workspace}))
}

func (f *Front) storeCancel(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) pb.StoreResult {
	result := f.store(ctx, &pb.StoreJobRequest{
		CancelPool: ref.Pool, CancelId: ref.ID, CancelAddress: ref.Address, CancelWorkspace: by.Workspace, CancelByOperator: by.Operator,
	})
	if result == pb.StoreResult_STORE_RESULT_STORED {
		traceOf(ctx).markStored()
		f.offers.addCancellation(ref.Pool, &pb.JobCancel{Id: ref.ID, Workspace: by.Workspace, ByOperator: by.Operator})
	}
	return result
}

// state answers with a job's state from the cache of final states, from its owner, or from the store if the owner does
// not know the job or cannot be reached. Only the store decides that there is no such job.
func (f *Front) state(ctx context.Context, r request) reply {
	key := jobKey{address: r.address, workspace: r.workspace}
	if state, ok := f.finalStates.get(key); ok {
		return f.stateReply(state)
	}
	state := f.ownerState(ctx, jobstate.Ref{Pool: r.queue.Pool, ID: r.id}, r.workspace)
	if state == pb.JobState_JOB_STATE_UNSPECIFIED {
		stored, known, err := f.storedState(ctx, r)
		switch {
		case err != nil:
			return reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonStateUnavailable}
		case !known:
			return reply{status: http.StatusGone, reason: reasonNoSuchJob}
		}
		state = stored
	}
	f.finalStates.put(key, state)
	return f.stateReply(state)
}

// storedState returns the state of a job that the owner of the pool that the configuration names does not know: from the owner
// of the pool in which the job is located, if that is another one, or from the store.
func (f *Front) storedState(ctx context.Context, r request) (state pb.JobState, known bool, err error) {
	at, found, err := f.options.Store.Locate(ctx, r.address)
	ref := jobstate.Ref{Pool: at.Pool, ID: r.id}
	switch {
	case err != nil:
		return pb.JobState_JOB_STATE_UNSPECIFIED, false, err
	case !found:
		ref.Pool = r.queue.Pool
	case ref.Pool != r.queue.Pool:
		if state := f.ownerState(ctx, ref, r.workspace); state != pb.JobState_JOB_STATE_UNSPECIFIED {
			return state, true, nil
		}
	}
	return f.options.Store.Lookup(ctx, ref.Pool, ref.ID, jobstate.Requester{Workspace: r.workspace})
}

func (f *Front) stateReply(state pb.JobState) reply {
	return reply{status: http.StatusOK, body: f.options.Codec.EncodeState(state)}
}

// ownerState returns UNSPECIFIED if the owner does not know the job or cannot be reached.
func (f *Front) ownerState(ctx context.Context, ref jobstate.Ref, workspace string) pb.JobState {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	states, err := f.options.Owners.States(ctx, ref.Pool, workspace, []string{ref.ID})
	if err != nil || len(states) != 1 {
		f.options.Metrics.countOwnerSilent()
		return pb.JobState_JOB_STATE_UNSPECIFIED
	}
	return states[0]
}

// countPending answers with the number of the queue's pending jobs.
func (f *Front) countPending(ctx context.Context, r request) reply {
	n, ok := f.pending.get(ctx, r.queue)
	if !ok {
		return reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonCountUnavailable}
	}
	return reply{status: http.StatusOK, body: f.options.Codec.EncodePending(n)}
}
