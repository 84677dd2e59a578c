package carry

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/carriers"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/wait"
)

// NoAnswer means that a carrier has returned no answer of a worker.
var NoAnswer = errs.Class("carry: no answer; read the worker's state before repeating")

const (
	// queueSize bounds the calls of a link that wait to be sent, batchSize those of one message.
	queueSize = 4096
	batchSize = 512
	// batchDelay is how long calls and results wait for others.
	batchDelay = 4 * time.Millisecond
	// submitTimeout limits the sending of a batch, collectWait the wait for a result, and collectMargin the way.
	submitTimeout = 400 * time.Millisecond
	collectWait   = time.Second
	collectMargin = 400 * time.Millisecond
	// maxOverdue is how many calls in a row may miss their time limit before the carrier counts as failed.
	maxOverdue = 8
)

// link is the connection of an owner with one carrier. One goroutine sends calls, another collects results.
type link struct {
	client  *Client
	host    carriers.Host
	session string
	ctx     context.Context
	cancel  context.CancelFunc
	queue   chan *pb.CarriedCall

	mu     sync.Mutex
	lastID uint64
	// waiting holds the calls without a result by id.
	waiting map[uint64]*waitingCall
	// overdue counts the calls in a row that missed their time limit.
	overdue int
}

// waitingCall is a call without a result. submitted is set once it may have reached the carrier.
type waitingCall struct {
	results   chan *pb.CarriedResult
	submitted bool
}

func newLink(c *Client, host carriers.Host, session string) *link {
	ctx, cancel := context.WithCancel(c.ctx)
	return &link{
		client: c, host: host, session: session, ctx: ctx, cancel: cancel,
		queue: make(chan *pb.CarriedCall, queueSize), waiting: map[uint64]*waitingCall{},
	}
}

// end ends all calls in progress without an answer.
func (l *link) end() { l.cancel() }

// call makes a call. The result is nil without an answer; sent is false if the call cannot have reached the worker.
func (l *link) call(ctx context.Context, call *pb.CarriedCall) (result *pb.CarriedResult, sent bool) {
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeoutMs = max(1, (time.Until(deadline) - answerMargin).Milliseconds())
	}
	w := &waitingCall{results: make(chan *pb.CarriedResult, 1)}
	l.mu.Lock()
	l.lastID++
	call.Id = l.lastID
	l.waiting[call.Id] = w
	l.mu.Unlock()
	if !l.offer(call) {
		l.giveUp(call.GetId(), w)
		return nil, false
	}
	select {
	case result = <-w.results:
		return result, true
	case <-l.ctx.Done():
	case <-ctx.Done():
		if l.recordOverdue() {
			l.client.fail(l, "calls missed their time limit")
		}
	}
	return nil, l.giveUp(call.GetId(), w)
}

// isIdle reports whether no call waits for its result.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && len(l.queue) == 0
}

// giveUp stops waiting for a call, which is not submitted any more, and reports whether it was before.
func (l *link) giveUp(id uint64, w *waitingCall) (submitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	return w.submitted
}

// recordOverdue reports whether the carrier counts as failed.
func (l *link) recordOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overdue++
	return l.overdue >= maxOverdue
}

// offer queues a call, or reports false if the queue is full.
func (l *link) offer(call *pb.CarriedCall) bool {
	select {
	case l.queue <- call:
		return true
	default:
		return false
	}
}

// submit sends the queued calls in batches.
func (l *link) submit() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case first := <-l.queue:
			if err := l.submitBatch(first); err != nil {
				l.client.fail(l, err.Error())
				return
			}
		}
	}
}

func (l *link) submitBatch(first *pb.CarriedCall) error {
	_ = wait.For(l.ctx, batchDelay)
	calls := []*pb.CarriedCall{first}
	for len(calls) < batchSize && len(l.queue) > 0 {
		calls = append(calls, <-l.queue)
	}
	calls = l.markSubmitted(calls)
	if len(calls) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, submitTimeout)
	defer cancel()
	return l.client.o.Peers.SubmitCalls(ctx, l.host.Address, &pb.SubmitCallsRequest{Session: l.session, Calls: calls})
}

// markSubmitted returns the calls that are still waited for, and those that have no result.
func (l *link) markSubmitted(calls []*pb.CarriedCall) []*pb.CarriedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := calls[:0]
	for _, call := range calls {
		w := l.waiting[call.GetId()]
		if w == nil && call.GetKind() != pb.CarriedKind_CARRIED_KIND_FORGET {
			continue
		}
		if w != nil {
			w.submitted = true
		}
		kept = append(kept, call)
	}
	return kept
}

// collect passes results on to the calls that wait for them.
func (l *link) collect() {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, collectWait+collectMargin)
		results, err := l.client.o.Peers.CollectCalls(ctx, l.host.Address,
			&pb.CollectCallsRequest{Session: l.session, WaitMs: collectWait.Milliseconds()})
		cancel()
		if err != nil {
			l.client.fail(l, err.Error())
			return
		}
		l.deliver(results)
	}
}

func (l *link) deliver(results []*pb.CarriedResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(results) > 0 {
		l.overdue = 0
	}
	for _, r := range results {
		if w := l.waiting[r.GetId()]; w != nil {
			delete(l.waiting, r.GetId())
			w.results <- r
		}
	}
}

// holdError returns the error of a hold without a report; result may be nil.
func holdError(result *pb.CarriedResult) error {
	switch {
	case result == nil:
		return NoAnswer.New("the carrier has not answered")
	case result.GetRefused():
		return NoAnswer.Wrap(syscall.ECONNREFUSED)
	}
	return NoAnswer.New("%s", result.GetError())
}
