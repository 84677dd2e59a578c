// Package callers serves callers' requests: it validates and queues a request, sends it to a host and relays the answer.
package callers

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/claims"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/upstream"
)

// Server is the HTTP handler of callers' requests. It is safe for concurrent use.
type Server struct {
	view     *view.View
	dispatch *dispatch.Dispatcher
	keys     *claims.Keys
	upstream *upstream.Client
	detector *pause.Detector
	stats    *stats.Stats
	limits   *pb.LimitSettings
	logger   *slog.Logger
	ready    func() error

	held     atomic.Int64 // requests in progress
	throttle throttle
	bodies   *bodies.Budget
}

// Options are the dependencies of a Server. All are required.
type Options struct {
	View     *view.View
	Dispatch *dispatch.Dispatcher
	Keys     *claims.Keys
	Upstream *upstream.Client
	Detector *pause.Detector
	Stats    *stats.Stats
	Limits   *pb.LimitSettings
	Logger   *slog.Logger
	Ready    func() error
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{
		view:     o.View,
		dispatch: o.Dispatch,
		keys:     o.Keys,
		upstream: o.Upstream,
		detector: o.Detector,
		stats:    o.Stats,
		limits:   o.Limits,
		logger:   o.Logger,
		ready:    o.Ready,
		bodies:   bodies.NewBudget(o.Limits.GetMaxHeldBytes()),
	}
}

// ServeHTTP serves readiness checks and POST/GET/... /v1/services/{service}/{path}.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // the previous answer on the connection may have set one
	if r.URL.Path == "/readyz" {
		s.serveReady(w)
		return
	}
	if s.held.Add(1) > s.limits.GetMaxRequests() {
		s.held.Add(-1)
		s.refuseUnread(w, r, notRun(http.StatusServiceUnavailable, "this entry host holds its limit of requests", time.Second).withCode(refusalcode.EntryHostFull))
		return
	}
	defer s.held.Add(-1)
	s.serveRequest(w, r)
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveRequest answers one request and records its outcome and times.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, refusal := s.parse(r, arrived)
	if refusal == nil {
		refusal = c.readBody(w, r, s.limits, s.bodies)
		defer func() { s.bodies.Release(c.bodyBytesTaken) }()
	}
	if refusal != nil {
		s.refuseUnread(w, r, *refusal)
		return
	}
	ctx, cancel := c.context(r.Context())
	defer cancel()
	result := s.serveCall(ctx, w, c)
	s.stats.Observe(stats.Labels{
		Service: c.service.GetName(),
		Team:    c.team,
		Class:   string(c.class),
		Outcome: result.outcome.String(),
	}, result.queueTime, time.Since(arrived))
	if result.abort {
		panic(http.ErrAbortHandler) // closes the connection, so that a truncated answer does not look complete
	}
}

// callResult is the result of a call.
type callResult struct {
	outcome   outcome
	queueTime time.Duration // time from the arrival until the grant or the refusal
	abort     bool
}

// serveCall attempts the request on one host after another until it is answered or may not be retried.
func (s *Server) serveCall(ctx context.Context, w http.ResponseWriter, c *call) callResult {
	t := c.ticket(nil)
	for {
		g, refusal := s.queue(ctx, t)
		if refusal != nil {
			final := c.withAttemptOutcome(*refusal)
			s.refuse(ctx, w, final)
			return callResult{outcome: final.outcome, queueTime: time.Since(c.arrived)}
		}
		result, retry := s.attempt(ctx, w, c, t, g)
		if !retry {
			result.queueTime = g.Started.Sub(c.arrived)
			return result
		}
		t = c.ticket(append(t.Excluded, g.Host))
	}
}

// queue submits the request and waits for a grant. When ctx ends, it withdraws the request and returns a refusal at once.
func (s *Server) queue(ctx context.Context, t *dispatch.Ticket) (*dispatch.Grant, *refusal) {
	if err := s.ready(); err != nil && !ErrStopping.Has(err) {
		r := notRun(http.StatusServiceUnavailable, err.Error(), unreadyRetryDelay).withCode(refusalcode.Unready)
		return nil, &r
	}
	if !s.dispatch.Offer(t) {
		r := notRun(http.StatusServiceUnavailable, "the dispatcher's queue is full", time.Second).withCode(refusalcode.EntryHostFull)
		return nil, &r
	}
	select {
	case v := <-t.Result:
		return s.verdict(v)
	case <-ctx.Done():
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	s.dispatch.Cancel(context.WithoutCancel(ctx), t)
	v := <-t.Result
	if v.Grant != nil {
		s.dispatch.Done(context.WithoutCancel(ctx), dispatch.Finished{Ticket: t, Grant: v.Grant, Result: routing.Cancelled})
	}
	if cancelled {
		r := notRun(statusClientClosed, "the caller has gone", 0).withCode(refusalcode.CallerGone)
		return nil, &r
	}
	r := notRun(http.StatusServiceUnavailable, "the deadline passed in the queue", 0).withCode(refusalcode.Deadline)
	return nil, &r
}

func (s *Server) verdict(v dispatch.Verdict) (*dispatch.Grant, *refusal) {
	if v.Grant != nil {
		return v.Grant, nil
	}
	status := http.StatusServiceUnavailable
	switch {
	case v.Rejection.Full:
		status = http.StatusTooManyRequests
	case v.Rejection.PoisonJob:
		status = http.StatusUnprocessableEntity
	}
	r := notRun(status, v.Rejection.Reason, v.Rejection.RetryAfter).withCode(v.Rejection.Code)
	return nil, &r
}

// attempt sends the request to the granted host and relays its answer. It reports whether to retry on another host.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Ticket, g *dispatch.Grant) (callResult, bool) {
	end := dispatch.Finished{Ticket: t, Grant: g, Result: routing.Cancelled}
	defer func() { s.dispatch.Done(context.WithoutCancel(ctx), end) }()
	claim, refusal := s.claim(ctx, c)
	if refusal != nil {
		s.refuse(ctx, w, *refusal)
		return callResult{outcome: refusal.outcome}, false
	}
	response, err := s.upstream.Do(ctx, upstream.Target{Host: g.Host, Address: g.Address}, s.outgoing(c, g))
	if err != nil {
		end.Result = resultOf(ctx, err)
		s.countUpstreamError(g.Host, outcomeOf(err), end.Result)
		s.finishClaim(claim, outcomeOf(err), 0)
		return s.sendFailed(ctx, w, c, g, err)
	}
	end.Result = routing.Succeeded
	if response.Status >= http.StatusInternalServerError {
		end.Result = routing.Failed
	}
	w.Header().Set(HeaderOutcome, outcomeDone.String())
	writer := &deadlineWriter{ResponseWriter: w, timeout: s.limits.GetBodyTimeout().AsDuration()}
	_, err = upstream.Relay(writer, response)
	end.Blocked = writer.blocked
	_ = writer.extend() // the server still has to flush the end of the answer
	if err != nil {
		end.Result = lo.Ternary(writer.err == nil, routing.Failed, routing.Cancelled)
		s.countUpstreamError(g.Host, outcomeUnknown, end.Result)
		s.finishClaim(claim, outcomeUnknown, response.Status)
		return s.relayFailed(ctx, w, c, g, err), false
	}
	s.finishClaim(claim, outcomeDone, response.Status)
	return callResult{outcome: outcomeDone}, false
}

// relayFailed ends a call whose answer could not be relayed completely. If a part has been sent, the result requests that the
// caller's connection be aborted.
func (s *Server) relayFailed(ctx context.Context, w http.ResponseWriter, c *call, g *dispatch.Grant, err error) callResult {
	events.Emit(ctx, s.logger, relayErrorEvent(ctx, err), "host", g.Host, "request", c.requestID, "err", err)
	if upstream.Aborted.Has(err) {
		return callResult{outcome: outcomeUnknown, abort: true}
	}
	s.refuse(ctx, w, unknownOutcome(http.StatusBadGateway, err.Error()))
	return callResult{outcome: outcomeUnknown}
}

// sendFailed handles an exchange without an answer. It returns true if the request is to be retried; otherwise it sends the
// final answer.
func (s *Server) sendFailed(ctx context.Context, w http.ResponseWriter, c *call, g *dispatch.Grant, err error) (callResult, bool) {
	outcome := outcomeOf(err)
	retryable := outcome == outcomeNotRun || c.idempotent()
	if outcome == outcomeUnknown {
		c.mayHaveRun = true
	}
	if retryable && ctx.Err() == nil && s.dispatch.AllowRetry(ctx, c.service.GetName()) {
		return callResult{}, true
	}
	final := unknownOutcome(statusOf(ctx, err), err.Error())
	if outcome == outcomeNotRun {
		final = c.withAttemptOutcome(notRun(http.StatusServiceUnavailable, err.Error(), dispatch.RetryNoHost).withCode(refusalcode.NotReached))
	}
	if final.outcome == outcomeUnknown {
		events.Emit(ctx, s.logger, events.OutcomeUnknown, "host", g.Host, "request", c.requestID, "err", err)
	}
	s.refuse(ctx, w, final)
	return callResult{outcome: final.outcome}, false
}

// outgoing returns the request to send to the worker. Its BeforeSend check runs immediately before the first byte is
// written.
func (s *Server) outgoing(c *call, g *dispatch.Grant) upstream.Request {
	header := c.header.Clone()
	header.Set(headerRequestID, c.requestID)
	header.Set(headerPool, g.Pool)
	return upstream.Request{
		Method:        c.method,
		Path:          c.path,
		Header:        header,
		Body:          c.bodyReader(),
		ContentLength: int64(len(c.body)),
		RequestID:     c.requestID,
		Echo:          c.service.GetCorrelationEcho(),
		BeforeSend: func() error {
			if err := s.detector.Check(); err != nil {
				return err
			}
			return s.view.Gate.Check(g.Host, g.Pool)
		},
	}
}

// claim acquires the claim on the request's idempotency key. It returns a nil claim if the request has no key.
func (s *Server) claim(ctx context.Context, c *call) (*claims.Claim, *refusal) {
	if c.key == "" {
		return nil, nil
	}
	answer, claim, err := s.keys.Claim(ctx, &pb.ClaimRequest{
		Service:     c.service.GetName(),
		Key:         c.key,
		Attempt:     uuid.NewString(),
		Member:      s.keys.Process().GetName(),
		Incarnation: s.keys.Process().GetIncarnation(),
		Digest:      c.claimDigest(),
	})
	s.countClaim(answer, err)
	if err != nil {
		r := notRun(http.StatusServiceUnavailable, err.Error(), keyRetryDelay).withCode(refusalcode.KeyOwner)
		return nil, &r
	}
	if answer.GetVerdict() != pb.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		r := refusalOf(answer)
		return nil, &r
	}
	if s.keys.TooLate(time.Now(), c.arrived) {
		s.finishClaim(&claim, outcomeNotRun, 0)
		r := notRun(http.StatusServiceUnavailable, "the request waited too long for its Idempotency-Key to be safe", keyRetryDelay).withCode(refusalcode.Deadline)
		return nil, &r
	}
	return &claim, nil
}

func (s *Server) finishClaim(claim *claims.Claim, outcome outcome, status int) {
	if claim == nil {
		return
	}
	s.keys.Finish(*claim, &pb.Outcome{Kind: outcome.kind(), Status: int32(status)})
}

func outcomeOf(err error) outcome {
	if upstream.NotRun.Has(err) {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// resultOf returns the result to report to the router. A disconnected caller or a failed check before sending does not
// count against the host.
func resultOf(ctx context.Context, err error) routing.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), pause.Paused.Has(err), fleet.NotActive.Has(err):
		return routing.Cancelled
	case upstream.NotRun.Has(err):
		return routing.Unreachable
	default:
		return routing.Failed
	}
}

func statusOf(ctx context.Context, err error) int {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// serviceAndPath splits /v1/services/{service}/{path}.
func serviceAndPath(urlPath string) (service, path string, ok bool) {
	rest, found := strings.CutPrefix(urlPath, "/v1/services/")
	if !found {
		return "", "", false
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path, service != ""
}

// HeldNow returns the number of requests in progress.
func (s *Server) HeldNow() int64 { return s.held.Load() }

// WaitSessions waits until no exchange with a worker is active. It returns ctx's error if ctx ends first.
func (s *Server) WaitSessions(ctx context.Context) error { return s.upstream.Wait(ctx) }
