package carry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

const (
	// sessionRetention is how long a session is kept that its owner does not use, and sweepInterval the time between two
	// searches for such sessions.
	sessionRetention = 5 * time.Second
	sweepInterval    = time.Second
	// maxSessions bounds the sessions, maxCalls the calls in progress and the results of one session.
	maxSessions = 64
	maxCalls    = 8192
	// maxResults bounds the results of one message.
	maxResults = 1024
	// maxCallTime limits a call without a time limit of its own.
	maxCallTime = 3 * time.Second
	// maxMessageBytes bounds a message.
	maxMessageBytes = 8 << 20
)

var errOverload = errors.New("too many sessions or calls; make the calls through another host")

// Server makes calls to workers for the owners of pools. It is safe for concurrent use.
type Server struct {
	newWorkers func() (workers poolowner.Workers, release func())
	clock      func() time.Time

	mu       sync.Mutex
	sessions map[string]*session
}

// NewServer returns a server. newWorkers returns the calls of one session to workers, and a function that closes its
// connections. clock must count suspensions of the process.
func NewServer(newWorkers func() (workers poolowner.Workers, release func()), clock func() time.Time) *Server {
	return &Server{newWorkers: newWorkers, clock: clock, sessions: map[string]*session{}}
}

// Handler returns the path prefix and the handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return agateturnv1connect.NewCarrierServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// Run drops the sessions that are not used any more until ctx ends, and then all.
func (s *Server) Run(ctx context.Context) {
	for wait.For(ctx, sweepInterval) == nil {
		s.drop(func(x *session, now time.Time) bool { return now.Sub(x.lastUsed) > sessionRetention })
	}
	s.drop(func(*session, time.Time) bool { return true })
}

func (s *Server) drop(unused func(x *session, now time.Time) bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, x := range s.sessions {
		if unused(x, now) {
			delete(s.sessions, name)
			x.cancel()
			go func() {
				x.group.Wait()
				x.release()
			}()
		}
	}
}

// session returns a session, which it creates if there is none of that name.
func (s *Server) session(name string) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.sessions[name]
	if x == nil {
		if len(s.sessions) >= maxSessions {
			return nil, connect.NewError(connect.CodeResourceExhausted, errOverload)
		}
		x = &session{clock: s.clock, changed: make(chan struct{}, 1)}
		x.ctx, x.cancel = context.WithCancel(context.Background())
		x.workers, x.release = s.newWorkers()
		s.sessions[name] = x
	}
	x.lastUsed = s.clock()
	return x, nil
}

// SubmitCalls implements the service.
func (s *Server) SubmitCalls(_ context.Context, r *connect.Request[pb.SubmitCallsRequest]) (*connect.Response[pb.SubmitCallsResponse], error) {
	x, err := s.session(r.Msg.GetSession())
	if err != nil {
		return nil, err
	}
	if !x.reserve(len(r.Msg.GetCalls())) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errOverload)
	}
	arrived := s.clock()
	for _, call := range r.Msg.GetCalls() {
		x.group.Go(func() { x.add(x.make(call, arrived)) }) //nolint:contextcheck // a call outlives the request that submits it
	}
	return connect.NewResponse(&pb.SubmitCallsResponse{}), nil
}

// CollectCalls implements the service.
func (s *Server) CollectCalls(ctx context.Context, r *connect.Request[pb.CollectCallsRequest]) (*connect.Response[pb.CollectCallsResponse], error) {
	x, err := s.session(r.Msg.GetSession())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Msg.GetWaitMs())*time.Millisecond)
	defer cancel()
	return connect.NewResponse(&pb.CollectCallsResponse{Results: x.collect(ctx)}), nil
}

// session makes the calls of one term of an owner.
type session struct {
	ctx     context.Context
	cancel  context.CancelFunc
	workers poolowner.Workers
	release func()
	clock   func() time.Time
	group   sync.WaitGroup
	// changed is signalled when results are added.
	changed chan struct{}
	// lastUsed belongs to the server's mutex.
	lastUsed time.Time

	mu       sync.Mutex
	inFlight int
	results  []*pb.CarriedResult
}

// reserve reports whether count more calls may be made.
func (x *session) reserve(count int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight+len(x.results)+count > maxCalls {
		return false
	}
	x.inFlight += count
	return true
}

// make makes one call. A call that was held up by a suspension of the process is not sent.
func (x *session) make(call *pb.CarriedCall, arrived time.Time) *pb.CarriedResult {
	limit := time.Duration(call.GetTimeoutMs()) * time.Millisecond
	if limit <= 0 || limit > maxCallTime {
		limit = maxCallTime
	}
	limit -= x.clock().Sub(arrived)
	if limit <= 0 {
		return &pb.CarriedResult{Id: call.GetId(), Outcome: int32(scheduler.OutcomeNotSent), Error: "the call was held up"}
	}
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	defer cancel()
	switch call.GetKind() {
	case pb.CarriedKind_CARRIED_KIND_START:
		return orderResult(call, x.workers.Start(ctx, orderOf(call), call.GetFence()))
	case pb.CarriedKind_CARRIED_KIND_STOP:
		return orderResult(call, x.workers.Stop(ctx, orderOf(call), call.GetFence()))
	case pb.CarriedKind_CARRIED_KIND_PACE:
		return orderResult(call, x.workers.Pace(ctx, orderOf(call), call.GetFence()))
	case pb.CarriedKind_CARRIED_KIND_HOLD:
		return x.hold(ctx, call)
	case pb.CarriedKind_CARRIED_KIND_FORGET:
		x.workers.Forget(call.GetAddress())
	case pb.CarriedKind_CARRIED_KIND_UNSPECIFIED:
	}
	return nil
}

func orderResult(call *pb.CarriedCall, r scheduler.OrderResult) *pb.CarriedResult {
	return &pb.CarriedResult{Id: call.GetId(), Outcome: int32(r.Outcome), Clock: r.Clock} //nolint:gosec // an enumeration
}

func (x *session) hold(ctx context.Context, call *pb.CarriedCall) *pb.CarriedResult {
	report, err := x.workers.Hold(ctx, poolowner.HoldRequest{
		Address: call.GetAddress(), Worker: call.GetWorker(), Born: call.GetBorn(),
		Hold: scheduler.Hold{Fence: call.GetFence(), LastSeen: call.GetLastSeen(), Until: call.GetUntil()},
		Wait: time.Duration(call.GetWaitMs()) * time.Millisecond,
	})
	if err != nil {
		return &pb.CarriedResult{Id: call.GetId(), Refused: errors.Is(err, syscall.ECONNREFUSED), Error: err.Error()}
	}
	return &pb.CarriedResult{Id: call.GetId(), Clock: report.Clock, Report: carriedReport(report)}
}

// add ends a call; result is nil for one without a result.
func (x *session) add(result *pb.CarriedResult) {
	x.mu.Lock()
	x.inFlight--
	if result != nil {
		x.results = append(x.results, result)
	}
	x.mu.Unlock()
	if result == nil {
		return
	}
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// collect waits for results until ctx ends, and a little longer for more of them.
func (x *session) collect(ctx context.Context) []*pb.CarriedResult {
	for {
		if x.hasResults() {
			_ = wait.For(ctx, batchDelay)
			return x.take()
		}
		select {
		case <-x.changed:
		case <-ctx.Done():
			return x.take()
		}
	}
}

func (x *session) hasResults() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.results) > 0
}

func (x *session) take() []*pb.CarriedResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := min(len(x.results), maxResults)
	taken := x.results[:n:n]
	x.results = x.results[n:]
	return taken
}
