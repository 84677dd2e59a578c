package jobfront

import (
	"cmp"
	"context"
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/wait"
)

const (
	// suspectHedgeDelay is how long a write waits for a store that left recent writes unanswered, before peers are tried
	// as well.
	suspectHedgeDelay = 100 * time.Millisecond
	// hedgeDelay is the same for a store that has answered so far, so that callers do not wait until their deadlines.
	hedgeDelay = 600 * time.Millisecond
	// repeatInterval is the time between two writes of a request whose outcome is not known. They are sent in the first
	// 1/repeatDivisor of the caller's time, so that the caller can still try another entry host.
	repeatInterval = 400 * time.Millisecond
	repeatDivisor  = 2
)

// StoreJob stores a job or a cancellation for a peer. It does not try other peers.
func (f *Front) StoreJob(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	if a := f.admit(ctx, req); a == accessDenied {
		return pb.StoreResult_STORE_RESULT_NOT_STORED
	}
	return f.storeLocally(ctx, req)
}

// admit consults the breaker and starts a probe when one is due.
func (f *Front) admit(ctx context.Context, req *pb.StoreJobRequest) access {
	a := f.breaker.admit(time.Now())
	if a == accessProbe {
		go f.probe(context.WithoutCancel(ctx), req)
		return accessDenied
	}
	return a
}

// probe reads from the store to learn whether it answers. Unlike a write, a read leaves nothing undecided.
func (f *Front) probe(ctx context.Context, req *pb.StoreJobRequest) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := cmp.Or(req.GetJob().GetPool(), req.GetCancelPool())
	id := cmp.Or(req.GetJob().GetId(), req.GetCancelId())
	if _, _, err := f.options.Store.Lookup(ctx, pool, id, jobstate.Requester{Operator: true}); err == nil {
		f.breaker.recordAnswered()
	}
}

// store writes until the outcome is known or half of the caller's time is over. Only another write of the same request can tell
// what became of one without an answer, and the caller has few attempts of its own.
func (f *Front) store(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, maxStoreWait)
	defer cancel()
	end, _ := ctx.Deadline()
	lastRepeat := time.Now().Add(time.Until(end) / repeatDivisor)
	result := f.storeOnce(ctx, req)
	for result == pb.StoreResult_STORE_RESULT_UNDECIDED && time.Now().Add(repeatInterval).Before(lastRepeat) {
		if wait.For(ctx, repeatInterval) != nil {
			break
		}
		if again := f.storeOnce(ctx, req); isDecided(again) {
			result = again
		}
	}
	f.outage.record(time.Now(), isDecided(result))
	return result
}

// storeOnce writes from this entry host, and through peers if that fails or takes long. Writes are idempotent, so both may
// take effect.
func (f *Front) storeOnce(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	a := f.admit(ctx, req)
	traceOf(ctx).update(func(t *writeTrace) { t.access = a })
	switch {
	case a == accessDenied:
		return f.relay.store(ctx, pb.StoreResult_STORE_RESULT_NOT_STORED, req)
	case !f.relay.enabled():
		return f.storeLocally(ctx, req)
	case a == accessSuspect:
		return f.storeHedged(ctx, req, suspectHedgeDelay)
	default:
		return f.storeHedged(ctx, req, hedgeDelay)
	}
}

// storeHedged writes from this entry host. It tries peers if that write fails, and in parallel if it has no result within
// delay.
func (f *Front) storeHedged(ctx context.Context, req *pb.StoreJobRequest, delay time.Duration) pb.StoreResult {
	own := make(chan pb.StoreResult, 1)
	go func() {
		// The own write continues if a peer is faster: its result shows whether the store answers again.
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxStoreWait)
		defer cancel()
		own <- f.storeLocally(writeCtx, req)
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-own:
		return f.relay.store(ctx, result, req)
	case <-timer.C:
	}
	relayed := f.relay.store(ctx, pb.StoreResult_STORE_RESULT_NOT_STORED, req)
	if isDecided(relayed) {
		return relayed
	}
	select {
	case result := <-own:
		return combineResults(result, relayed)
	case <-ctx.Done():
		return pb.StoreResult_STORE_RESULT_UNDECIDED
	}
}

// combineResults returns the result of this entry host's own write and the same write through peers, which is undecided
// or not stored.
func combineResults(own, relayed pb.StoreResult) pb.StoreResult {
	switch {
	case isDecided(own):
		return own
	case own == pb.StoreResult_STORE_RESULT_NOT_STORED:
		return relayed
	default:
		return own
	}
}

// storeLocally writes to the store and records whether it answers. A rejection says nothing about that, as it may be
// decided without the store.
func (f *Front) storeLocally(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	began := time.Now()
	known := true
	var err error
	if job := req.GetJob(); job != nil {
		err = f.options.Store.Accept(ctx, job)
	} else {
		known, err = f.cancelLocally(ctx, req)
	}
	result := f.storeResult(known, err)
	if err != nil {
		traceOf(ctx).update(func(t *writeTrace) { t.storeErr = err.Error() })
	}
	switch {
	case isDecided(result):
		f.breaker.recordAnswered()
	case result == pb.StoreResult_STORE_RESULT_UNDECIDED && time.Since(began) >= minUnansweredWait:
		f.breaker.recordUnanswered(time.Now())
	}
	return result
}

// cancelLocally writes a cancellation to the store. Cancellations by callers are restricted to their own jobs if the
// configuration has workspaces, or the caller's host knew one that has.
func (f *Front) cancelLocally(ctx context.Context, req *pb.StoreJobRequest) (known bool, err error) {
	ref := jobstate.Ref{Pool: req.GetCancelPool(), ID: req.GetCancelId(), Address: req.GetCancelAddress()}
	by := jobstate.Requester{Workspace: req.GetCancelWorkspace(), Operator: req.GetCancelByOperator()}
	table := f.options.Tables.Table()
	restricted := by.Workspace != "" || (table != nil && table.Workspaces != nil)
	if restricted && !by.Operator {
		return f.options.Store.CancelOwn(ctx, ref, by)
	}
	return f.options.Store.Cancel(ctx, ref, by)
}

// storeResult classifies the store's answer to a write.
func (f *Front) storeResult(known bool, err error) pb.StoreResult {
	switch {
	case err == nil && known:
		return pb.StoreResult_STORE_RESULT_STORED
	case err == nil:
		return pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
	case f.options.IsOtherWorkspace != nil && f.options.IsOtherWorkspace(err):
		return pb.StoreResult_STORE_RESULT_OTHER_WORKSPACE
	case f.options.IsStoredElsewhere != nil && f.options.IsStoredElsewhere(err):
		return pb.StoreResult_STORE_RESULT_STORED_ELSEWHERE
	case f.options.IsNotAccepted(err):
		return pb.StoreResult_STORE_RESULT_NOT_STORED
	default:
		return pb.StoreResult_STORE_RESULT_UNDECIDED
	}
}

func isDecided(result pb.StoreResult) bool {
	switch result {
	case pb.StoreResult_STORE_RESULT_STORED, pb.StoreResult_STORE_RESULT_STORED_ELSEWHERE,
		pb.StoreResult_STORE_RESULT_UNKNOWN_JOB, pb.StoreResult_STORE_RESULT_OTHER_WORKSPACE:
		return true
	default:
		return false
	}
}

// storeReply returns the answer for a result. Only a write that certainly did not happen is rejected with a 503; the
// caller retries one whose result is unknown.
func (f *Front) storeReply(result pb.StoreResult) reply {
	switch result {
	case pb.StoreResult_STORE_RESULT_STORED, pb.StoreResult_STORE_RESULT_STORED_ELSEWHERE:
		return reply{status: http.StatusOK}
	case pb.StoreResult_STORE_RESULT_UNKNOWN_JOB:
		return reply{status: http.StatusGone, reason: reasonNoSuchJob}
	case pb.StoreResult_STORE_RESULT_OTHER_WORKSPACE:
		return reply{status: http.StatusConflict, body: []byte(reasonOtherWorkspace + "\n"), reason: reasonOtherWorkspace}
	case pb.StoreResult_STORE_RESULT_NOT_STORED:
		return reply{status: http.StatusServiceUnavailable, retry: true, retryAfter: f.outage.retryDelay(), reason: reasonNotStored}
	default:
		return reply{status: http.StatusGatewayTimeout, reason: reasonUndecided}
	}
}
