package poolowner

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/sendwindow"
)

const (
	// maxOrdersPerWorker bounds the orders in flight to one worker.
	maxOrdersPerWorker = 3
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 500 * time.Millisecond
	// maxOrderAge is the age beyond which an order is not sent.
	maxOrderAge = 300 * time.Millisecond
)

// orderSender sends orders to workers, with bounded concurrency per worker.
type orderSender struct {
	owner *Owner
	mu    sync.Mutex
	// slots holds a semaphore per address, with one token for each order in flight.
	slots map[string]chan struct{}
	// window bounds the bytes of start orders in flight to all workers.
	window *sendwindow.Window
	// delay is the value of Owner.OrderDelay in ns.
	delay atomic.Int64
	group sync.WaitGroup
}

func newOrderSender(o *Owner) *orderSender {
	return &orderSender{owner: o, slots: make(map[string]chan struct{}), window: sendwindow.New()}
}

func (s *orderSender) wait() { s.group.Wait() }

// send sends the orders asynchronously. Orders for one run never overlap: the scheduler waits for the result of each.
func (s *orderSender) send(ctx context.Context, orders []scheduler.Order) {
	now := s.owner.Clock()
	for _, order := range orders {
		sem := s.semaphore(order.Address)
		s.trackStart(now, order)
		s.group.Go(func() { s.deliver(ctx, order, sem, now) })
	}
}

func (s *orderSender) semaphore(address string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	semaphore := s.slots[address]
	if semaphore == nil {
		semaphore = make(chan struct{}, maxOrdersPerWorker)
		s.slots[address] = semaphore
	}
	return semaphore
}

// forget drops the semaphore of an address; orders in flight keep theirs.
func (s *orderSender) forget(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots, address)
}

func (s *orderSender) deliver(ctx context.Context, order scheduler.Order, sem chan struct{}, createdAt time.Time) {
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	sentAt := s.owner.Clock()
	result := s.call(ctx, order, createdAt)
	<-sem
	s.trackOutcome(order, result.Outcome, sentAt)
	s.report(ctx, order, result.Outcome, createdAt)
	s.owner.enqueue(ctx, func(p *scheduler.Pool, now time.Time) {
		p.Result(now, result)
		if result.Outcome == scheduler.OutcomeFenced && p.Fenced() {
			s.owner.handleReplaced(ctx, order.Worker)
		}
	})
}

// availableBytes returns how many bytes of start orders may be sent now.
func (s *orderSender) availableBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Available()
}

func (s *orderSender) trackStart(now time.Time, order scheduler.Order) {
	if order.Kind != scheduler.OrderStart {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.Begin(now, order.Bytes())
}

func (s *orderSender) trackOutcome(order scheduler.Order, outcome scheduler.Outcome, sentAt time.Time) {
	if order.Kind != scheduler.OrderStart {
		return
	}
	now := s.owner.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome {
	case scheduler.OutcomeNotSent:
		s.window.NotSent(order.Bytes())
	case scheduler.OutcomeUnknown:
		s.window.Unanswered(now, order.Bytes(), now.Sub(sentAt))
	default:
		s.window.Answered(now, order.Bytes(), now.Sub(sentAt))
	}
}

// report counts an order by its outcome, and logs it unless the worker confirmed that it was carried out.
func (s *orderSender) report(ctx context.Context, order scheduler.Order, outcome scheduler.Outcome, createdAt time.Time) {
	kind := orderKindName(order.Kind)
	s.owner.Metrics.countOrder(kind, outcome.String())
	event := events.OrderRefused
	switch outcome {
	case scheduler.OutcomeDone:
		return
	case scheduler.OutcomeUnknown:
		event = events.OrderUnknown
	default:
	}
	events.Log(ctx, s.owner.Log, event,
		slog.String("job", order.Task.Job), slog.String("pool", s.owner.Pool), slog.Uint64("fence", s.owner.Config.Fence),
		slog.String("order", kind), slog.String("step", strconv.Itoa(order.Task.Occurrence)+"."+strconv.Itoa(order.Task.Step)),
		slog.Int("task", order.Task.Index), slog.Int64("run", order.Run), slog.String("worker", order.Worker),
		slog.String("outcome", outcome.String()), slog.Int64("age_ms", s.owner.Clock().Sub(createdAt).Milliseconds()))
}

func orderKindName(k scheduler.OrderKind) string {
	switch k {
	case scheduler.OrderStart:
		return "start"
	case scheduler.OrderStop:
		return "stop"
	case scheduler.OrderPace:
		return "pace"
	default:
		return "other"
	}
}

// call sends an order, unless this owner is not confirmed or the order is older than maxOrderAge.
func (s *orderSender) call(ctx context.Context, order scheduler.Order, createdAt time.Time) scheduler.OrderResult {
	notSent := scheduler.OrderResult{Order: order, Outcome: scheduler.OutcomeNotSent}
	if !s.owner.Confirmed() || s.owner.Clock().Sub(createdAt) > maxOrderAge {
		return notSent
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch order.Kind {
	case scheduler.OrderStart:
		return s.owner.Workers.Start(ctx, order, order.Fence)
	case scheduler.OrderStop:
		return s.owner.Workers.Stop(ctx, order, order.Fence)
	case scheduler.OrderPace:
		return s.owner.Workers.Pace(ctx, order, order.Fence)
	default:
		return notSent
	}
}
