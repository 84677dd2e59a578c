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
	// ordersPerWorker bounds the orders in flight to one worker.
	ordersPerWorker = 3
	// orderTimeout is how long an order waits for its answer.
	orderTimeout = 500 * time.Millisecond
	// orderAge is how old an order may be when it is sent.
	orderAge = 300 * time.Millisecond
)

// senders carries orders to workers, a few at a time to each.
type senders struct {
	owner *Owner
	mu    sync.Mutex
	// slots is keyed by address; each holds one token for each order in flight.
	slots map[string]chan struct{}
	// window bounds the starts under way to all workers.
	window *sendwindow.Window
	// queued is how long a new job would wait for these orders, in ns.
	queued atomic.Int64
	group  sync.WaitGroup
}

func newSenders(o *Owner) *senders {
	return &senders{owner: o, slots: make(map[string]chan struct{}), window: sendwindow.New()}
}

func (s *senders) wait() { s.group.Wait() }

// send starts the orders. Orders about one run never overlap: the scheduler waits for the result of each.
func (s *senders) send(ctx context.Context, orders []scheduler.Order) {
	now := s.owner.Clock()
	for _, order := range orders {
		slot := s.slot(order.Address)
		s.begin(now, order)
		s.group.Go(func() { s.carry(ctx, order, slot, now) })
	}
}

func (s *senders) slot(address string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[address]
	if slot == nil {
		slot = make(chan struct{}, ordersPerWorker)
		s.slots[address] = slot
	}
	return slot
}

// forget drops the slots of an address; orders in flight keep theirs.
func (s *senders) forget(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots, address)
}

func (s *senders) carry(ctx context.Context, order scheduler.Order, slot chan struct{}, made time.Time) {
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return
	}
	sent := s.owner.Clock()
	result := s.call(ctx, order, made)
	<-slot
	s.end(order, result.Outcome, sent)
	s.tell(ctx, order, result.Outcome, made)
	if result.Outcome == scheduler.OutcomeFenced {
		s.owner.replaced(ctx, order.Worker)
	}
	s.owner.put(ctx, func(p *scheduler.Pool, now time.Time) { p.Result(now, result) })
}

// room is how many bytes of starts may be ordered now.
func (s *senders) room() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Available()
}

func (s *senders) begin(now time.Time, order scheduler.Order) {
	if order.Kind != scheduler.OrderStart {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.Begin(now, order.Bytes())
}

func (s *senders) end(order scheduler.Order, outcome scheduler.Outcome, sent time.Time) {
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
		s.window.Unanswered(now, order.Bytes(), now.Sub(sent))
	default:
		s.window.Answered(now, order.Bytes(), now.Sub(sent))
	}
}

// tell counts an order, and logs one that was not carried out for sure.
func (s *senders) tell(ctx context.Context, order scheduler.Order, outcome scheduler.Outcome, made time.Time) {
	kind := orderKind(order.Kind)
	s.owner.Metrics.ordered(kind, outcome.String())
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
		slog.String("outcome", outcome.String()), slog.Int64("age_ms", s.owner.Clock().Sub(made).Milliseconds()))
}

func orderKind(k scheduler.OrderKind) string {
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

func (s *senders) call(ctx context.Context, order scheduler.Order, made time.Time) scheduler.OrderResult {
	notSent := scheduler.OrderResult{Order: order, Outcome: scheduler.OutcomeNotSent}
	if !s.owner.Confirmed() || s.owner.Clock().Sub(made) > orderAge {
		return notSent
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := s.owner.Config.Fence
	switch order.Kind {
	case scheduler.OrderStart:
		return s.owner.Workers.Start(ctx, order, fence)
	case scheduler.OrderStop:
		return s.owner.Workers.Stop(ctx, order, fence)
	case scheduler.OrderPace:
		return s.owner.Workers.Pace(ctx, order, fence)
	default:
		return notSent
	}
}
