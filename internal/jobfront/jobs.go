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
	}
	result := f.store(ctx, &pb.StoreJobRequest{Job: job})
	if result == pb.StoreResult_STORE_RESULT_STORED {
		traceOf(ctx).markStored()
		f.offers.addJob(job)
	}
	return f.storeReply(result)
}

// cancel stores a cancellation and then notifies the job's owner.
func (f *Front) cancel(ctx context.Context, r request) reply {
	return f.storeReply(f.storeCancel(ctx, r.queue.Pool, r.id, jobstate.Requester{Workspace: r.workspace}))
}

func (f *Front) storeCancel(ctx context.Context, pool, id string, by jobstate.Requester) pb.StoreResult {
	result := f.store(ctx, &pb.StoreJobRequest{
		CancelPool: pool, CancelId: id, CancelWorkspace: by.Workspace, CancelByOperator: by.Operator,
	})
	if result == pb.StoreResult_STORE_RESULT_STORED {
		traceOf(ctx).markStored()
		f.offers.addCancellation(pool, &pb.JobCancel{Id: id, Workspace: by.Workspace, ByOperator: by.Operator})
	}
	return result
}

// state answers with a job's state from the cache of final states, from its owner, or from the store if the owner does
// not know the job or cannot be reached. Only the store decides that there is no such job.
func (f *Front) state(ctx context.Context, r request) reply {
	key := jobKey{pool: r.queue.Pool, id: r.id, workspace: r.workspace}
	if state, ok := f.finalStates.get(key); ok {
		return f.stateReply(state)
	}
	state := f.ownerState(ctx, r)
	if state == pb.JobState_JOB_STATE_UNSPECIFIED {
		stored, known, err := f.options.Store.Lookup(ctx, r.queue.Pool, r.id, jobstate.Requester{Workspace: r.workspace})
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

func (f *Front) stateReply(state pb.JobState) reply {
	return reply{status: http.StatusOK, body: f.options.Codec.EncodeState(state)}
}

// ownerState returns UNSPECIFIED if the owner does not know the job or cannot be reached.
func (f *Front) ownerState(ctx context.Context, r request) pb.JobState {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	states, err := f.options.Owners.States(ctx, r.queue.Pool, r.workspace, []string{r.id})
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
