package jobfront

import (
	"cmp"
	"context"
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// silentWait is how long a write waits for a store that left the last ones without an answer, before peers are asked too.
	silentWait = 100 * time.Millisecond
	// openWait is the same for a store that has answered so far: callers must not wait for their deadline.
	openWait = 600 * time.Millisecond
)

// StoreJob stores for a peer. It asks no other peer.
func (f *Front) StoreJob(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	if a := f.admit(ctx, req); a == accessBroken {
		return pb.StoreResult_STORE_RESULT_NOT_STORED
	}
	return f.storeHere(ctx, req)
}

// admit asks the breaker, and sends a probe when one is due.
func (f *Front) admit(ctx context.Context, req *pb.StoreJobRequest) access {
	a := f.breaker.admit(time.Now())
	if a == accessProbe {
		go f.probe(context.WithoutCancel(ctx), req)
		return accessBroken
	}
	return a
}

// probe reads to learn whether the store answers. Unlike a write it leaves nothing undecided.
func (f *Front) probe(ctx context.Context, req *pb.StoreJobRequest) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := cmp.Or(req.GetJob().GetPool(), req.GetCancelPool())
	id := cmp.Or(req.GetJob().GetId(), req.GetCancelId())
	if _, _, err := f.options.Store.Lookup(ctx, pool, id); err == nil {
		f.breaker.answered()
	}
}

// store writes here, and through peers if that does not succeed. The same write at two places is harmless.
func (f *Front) store(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	a := f.admit(ctx, req)
	traceOf(ctx).update(func(t *writeTrace) { t.access = a })
	switch {
	case a == accessBroken:
		return f.relay.store(ctx, pb.StoreResult_STORE_RESULT_NOT_STORED, req)
	case !f.relay.exists():
		return f.storeHere(ctx, req)
	case a == accessSilent:
		return f.storeBeside(ctx, req, silentWait)
	default:
		return f.storeBeside(ctx, req, openWait)
	}
}

// storeBeside asks peers beside a store that leaves the write without an answer for a while.
func (f *Front) storeBeside(ctx context.Context, req *pb.StoreJobRequest, patience time.Duration) pb.StoreResult {
	own := make(chan pb.StoreResult, 1)
	go func() {
		// It goes on when a peer was faster: its end tells whether the store answers again.
		here, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxWait)
		defer cancel()
		own <- f.storeHere(here, req)
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case result := <-own:
		return f.relay.store(ctx, result, req)
	case <-timer.C:
	}
	peers := f.relay.store(ctx, pb.StoreResult_STORE_RESULT_NOT_STORED, req)
	if isDecided(peers) {
		return peers
	}
	select {
	case result := <-own:
		return together(result, peers)
	case <-ctx.Done():
		return pb.StoreResult_STORE_RESULT_UNDECIDED
	}
}

// together is what became of two writes of the same.
func together(a, b pb.StoreResult) pb.StoreResult {
	switch {
	case isDecided(a):
		return a
	case a == pb.StoreResult_STORE_RESULT_NOT_STORED:
		return b
	default:
		return a
	}
}

// storeHere writes, and notes whether the store answers. A refusal tells nothing: it may come without the store.
func (f *Front) storeHere(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	began := time.Now()
	known := true
	var err error
	if job := req.GetJob(); job != nil {
		err = f.options.Store.Accept(ctx, job)
	} else {
		known, err = f.options.Store.Cancel(ctx, req.GetCancelPool(), req.GetCancelId())
	}
	result := f.storeResult(known, err)
	if err != nil {
		traceOf(ctx).update(func(t *writeTrace) { t.err = err.Error() })
	}
	switch {
	case isDecided(result):
		f.breaker.answered()
	case result == pb.StoreResult_STORE_RESULT_UNDECIDED && time.Since(began) >= unansweredAfter:
		f.breaker.unanswered(time.Now())
	}
	return result
}

// storeResult tells what became of a write by the store's answer.
func (f *Front) storeResult(known bool, err error) pb.StoreResult {
	switch {
	case err == nil && known:
		return pb.StoreResult_STORE_RESULT_STORED
	case err == nil:
		return pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
	case f.options.IsNotAccepted(err):
		return pb.StoreResult_STORE_RESULT_NOT_STORED
	default:
		return pb.StoreResult_STORE_RESULT_UNDECIDED
	}
}

func isDecided(result pb.StoreResult) bool {
	return result == pb.StoreResult_STORE_RESULT_STORED || result == pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
}

// storeReply tells the caller. Only what was surely not written is refused; of anything else the caller asks again.
func storeReply(result pb.StoreResult) reply {
	switch result {
	case pb.StoreResult_STORE_RESULT_STORED:
		return reply{status: http.StatusOK}
	case pb.StoreResult_STORE_RESULT_UNKNOWN_JOB:
		return reply{status: http.StatusGone, reason: reasonNoSuchJob}
	case pb.StoreResult_STORE_RESULT_NOT_STORED:
		return reply{status: http.StatusServiceUnavailable, repeat: true, reason: reasonNotStored}
	default:
		return reply{status: http.StatusGatewayTimeout, reason: reasonUndecided}
	}
}
