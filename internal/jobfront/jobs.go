package jobfront

import (
	"context"
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// ownerTimeout bounds the wait for an owner before the store is asked.
const ownerTimeout = 300 * time.Millisecond

// handIn stores a job, and then tells its owner.
func (f *Front) handIn(ctx context.Context, r request, body []byte) reply {
	spec, err := f.options.Codec.DecodeJob(body)
	if err != nil {
		return reply{status: http.StatusBadRequest, body: []byte(err.Error() + "\n"), reason: reasonUnreadable}
	}
	if after := f.busy.left(r.queue.Pool, time.Now()); after > 0 && startsNow(spec) {
		return reply{status: http.StatusServiceUnavailable, repeat: true, after: after, reason: reasonBusy}
	}
	job := &pb.JobRecord{
		Id:         r.id,
		Queue:      r.queue.Name,
		Pool:       r.queue.Pool,
		Spec:       spec,
		AcceptedMs: time.Now().UnixMilli(),
	}
	result := f.store(ctx, &pb.StoreJobRequest{Job: job})
	if result == pb.StoreResult_STORE_RESULT_STORED {
		traceOf(ctx).decided()
		f.offers.job(job)
	}
	return storeReply(result)
}

// cancel stores a cancellation, and then tells the job's owner.
func (f *Front) cancel(ctx context.Context, r request) reply {
	return storeReply(f.storeCancel(ctx, r.queue.Pool, r.id))
}

func (f *Front) storeCancel(ctx context.Context, pool, id string) pb.StoreResult {
	result := f.store(ctx, &pb.StoreJobRequest{CancelPool: pool, CancelId: id})
	if result == pb.StoreResult_STORE_RESULT_STORED {
		traceOf(ctx).decided()
		f.offers.cancelled(pool, id)
	}
	return result
}

// state asks the owner, and the store for what the owner does not tell. Only the store can say that there is no such job.
func (f *Front) state(ctx context.Context, r request) reply {
	key := jobKey{pool: r.queue.Pool, id: r.id}
	if state, ok := f.ended.get(key); ok {
		return f.stateReply(state)
	}
	state := f.askOwner(ctx, r)
	if state == pb.JobState_JOB_STATE_UNSPECIFIED {
		stored, known, err := f.options.Store.Lookup(ctx, r.queue.Pool, r.id)
		switch {
		case err != nil:
			return reply{status: http.StatusServiceUnavailable, repeat: true, reason: reasonStateSilent}
		case !known:
			return reply{status: http.StatusGone, reason: reasonNoSuchJob}
		}
		state = stored
	}
	f.ended.put(key, state)
	return f.stateReply(state)
}

func (f *Front) stateReply(state pb.JobState) reply {
	return reply{status: http.StatusOK, body: f.options.Codec.EncodeState(state)}
}

// askOwner returns UNSPECIFIED if the owner does not know the job or cannot be asked.
func (f *Front) askOwner(ctx context.Context, r request) pb.JobState {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	states, err := f.options.Owners.States(ctx, r.queue.Pool, []string{r.id})
	if err != nil || len(states) != 1 {
		f.options.Metrics.ownerSilent()
		return pb.JobState_JOB_STATE_UNSPECIFIED
	}
	return states[0]
}

// count answers with the number of the queue's pending jobs.
func (f *Front) count(ctx context.Context, r request) reply {
	n, ok := f.pending.get(ctx, r.queue)
	if !ok {
		return reply{status: http.StatusServiceUnavailable, repeat: true, reason: reasonCountSilent}
	}
	return reply{status: http.StatusOK, body: f.options.Codec.EncodePending(n)}
}
