// Package callers serves the callers: it reads and checks a request, queues it, sends it to one host and relays the answer.
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

// Server serves the callers: it queues each request, sends it to one host, and relays the whole answer.
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

	held     atomic.Int64 // requests held now
	throttle throttle
	bodies   *bodies.Budget
}

// Options are what serving callers needs.
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

// New returns the server of the callers.
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
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // an answer before may have left one
	if r.URL.Path == "/readyz" {
		s.serveReady(w)
		return
	}
	if s.held.Add(1) > s.limits.GetMaxRequests() {
		s.held.Add(-1)
		s.refuseUnread(w, r, notRun(http.StatusServiceUnavailable, "this entry host holds its limit of requests", time.Second).as(refusalcode.EntryHostFull))
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

// serveRequest answers one request, and records how it went.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, refusal := s.parse(r, arrived)
	if refusal == nil {
		refusal = c.readBody(w, r, s.limits, s.bodies)
		defer func() { s.bodies.Give(c.taken) }()
	}
	if refusal != nil {
		s.refuseUnread(w, r, *refusal)
		return
	}
	ctx, cancel := c.context(r.Context())
	defer cancel()
	ended := s.serveCall(ctx, w, c)
	s.stats.Observe(stats.Labels{
		Service: c.service.GetName(),
		Team:    c.team,
		Class:   string(c.class),
		Outcome: ended.outcome.String(),
	}, ended.queued, time.Since(arrived))
	if ended.abort {
		panic(http.ErrAbortHandler) // a cut answer must not look whole
	}
}

// callEnd is how one call ended.
type callEnd struct {
	outcome outcome
	queued  time.Duration
	abort   bool
}

// serveCall tries hosts until the request was sent to one or may not be tried again.
func (s *Server) serveCall(ctx context.Context, w http.ResponseWriter, c *call) callEnd {
	t := c.ticket(nil)
	for {
		g, refusal := s.queue(ctx, t)
		if refusal != nil {
			final := c.honest(*refusal)
			s.refuse(ctx, w, final)
			return callEnd{outcome: final.outcome, queued: time.Since(c.arrived)}
		}
		end, again := s.attempt(ctx, w, c, t, g)
		if !again {
			end.queued = g.Started.Sub(c.arrived)
			return end
		}
		t = c.ticket(append(t.Excluded, g.Host))
	}
}

// queue waits for a grant. The answer of a request that is given up on goes out at once.
func (s *Server) queue(ctx context.Context, t *dispatch.Ticket) (*dispatch.Grant, *refusal) {
	if err := s.ready(); err != nil && !ErrStopping.Has(err) {
		r := notRun(http.StatusServiceUnavailable, err.Error(), retryUnready).as(refusalcode.Unready)
		return nil, &r
	}
	if !s.dispatch.Offer(t) {
		r := notRun(http.StatusServiceUnavailable, "the dispatcher's queue is full", time.Second).as(refusalcode.EntryHostFull)
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
		r := notRun(statusClientClosed, "the caller has gone", 0).as(refusalcode.CallerGone)
		return nil, &r
	}
	r := notRun(http.StatusServiceUnavailable, "the deadline passed in the queue", 0).as(refusalcode.Deadline)
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
	case v.Rejection.Hopeless:
		status = http.StatusUnprocessableEntity
	}
	r := notRun(status, v.Rejection.Reason, v.Rejection.RetryAfter).as(v.Rejection.Code)
	return nil, &r
}

// attempt sends the request to the granted host and relays its answer. It reports whether another host may be tried.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Ticket, g *dispatch.Grant) (callEnd, bool) {
	end := dispatch.Finished{Ticket: t, Grant: g, Result: routing.Cancelled}
	defer func() { s.dispatch.Done(context.WithoutCancel(ctx), end) }()
	held, refusal := s.claim(ctx, c)
	if refusal != nil {
		s.refuse(ctx, w, *refusal)
		return callEnd{outcome: refusal.outcome}, false
	}
	response, err := s.upstream.Do(ctx, upstream.Target{Host: g.Host, Address: g.Address}, s.outgoing(c, g))
	if err != nil {
		end.Result = resultOf(ctx, err)
		s.countUpstreamError(g.Host, outcomeOf(err), end.Result)
		s.finishClaim(held, outcomeOf(err), 0)
		return s.failed(ctx, w, c, g, err)
	}
	end.Result = routing.Succeeded
	if response.Status >= http.StatusInternalServerError {
		end.Result = routing.Failed
	}
	w.Header().Set(HeaderOutcome, outcomeDone.String())
	steady := &steadyWriter{ResponseWriter: w, timeout: s.limits.GetBodyTimeout().AsDuration()}
	_, err = upstream.Relay(steady, response)
	end.HeldUp = steady.heldUp
	_ = steady.extend() // the server has the end of the answer still to send
	if err != nil {
		end.Result = lo.Ternary(steady.err == nil, routing.Failed, routing.Cancelled)
		s.countUpstreamError(g.Host, outcomeUnknown, end.Result)
		s.finishClaim(held, outcomeUnknown, response.Status)
		return s.cut(ctx, w, c, g, err), false
	}
	s.finishClaim(held, outcomeDone, response.Status)
	return callEnd{outcome: outcomeDone}, false
}

// cut ends a call whose answer could not be relayed whole. If the caller has a part of it, its connection must break.
func (s *Server) cut(ctx context.Context, w http.ResponseWriter, c *call, g *dispatch.Grant, err error) callEnd {
	events.Emit(ctx, s.logger, cutEvent(ctx, err), "host", g.Host, "request", c.requestID, "err", err)
	if upstream.Aborted.Has(err) {
		return callEnd{outcome: outcomeUnknown, abort: true}
	}
	s.refuse(ctx, w, unknownOutcome(http.StatusBadGateway, err.Error()))
	return callEnd{outcome: outcomeUnknown}
}

// failed decides what follows a failed exchange: another host, or the final answer.
func (s *Server) failed(ctx context.Context, w http.ResponseWriter, c *call, g *dispatch.Grant, err error) (callEnd, bool) {
	ended := outcomeOf(err)
	retryable := ended == outcomeNotRun || c.idempotent()
	if ended == outcomeUnknown {
		c.mayHaveRun = true
	}
	if retryable && ctx.Err() == nil && s.dispatch.AllowRetry(ctx, c.service.GetName()) {
		return callEnd{}, true
	}
	final := unknownOutcome(statusOf(ctx, err), err.Error())
	if ended == outcomeNotRun {
		final = c.honest(notRun(http.StatusServiceUnavailable, err.Error(), dispatch.RetryNoHost).as(refusalcode.NotReached))
	}
	if final.outcome == outcomeUnknown {
		events.Emit(ctx, s.logger, events.OutcomeUnknown, "host", g.Host, "request", c.requestID, "err", err)
	}
	s.refuse(ctx, w, final)
	return callEnd{outcome: final.outcome}, false
}

// outgoing is the request as the worker gets it. The last check runs immediately before the first byte is written.
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

// claim gets the right to run a request that carries an idempotency key. A nil claim means the request has no key.
func (s *Server) claim(ctx context.Context, c *call) (*claims.Claim, *refusal) {
	if c.key == "" {
		return nil, nil
	}
	answer, held, err := s.keys.Claim(ctx, &pb.ClaimRequest{
		Service:     c.service.GetName(),
		Key:         c.key,
		Attempt:     uuid.NewString(),
		Member:      s.keys.Process().GetName(),
		Incarnation: s.keys.Process().GetIncarnation(),
		Digest:      c.bodyDigest(),
	})
	s.countClaim(answer, err)
	if err != nil {
		r := notRun(http.StatusServiceUnavailable, err.Error(), retryKey).as(refusalcode.KeyOwner)
		return nil, &r
	}
	if answer.GetVerdict() != pb.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		r := refusalOf(answer)
		return nil, &r
	}
	if s.keys.TooLate(time.Now(), c.arrived) {
		s.finishClaim(&held, outcomeNotRun, 0)
		r := notRun(http.StatusServiceUnavailable, "the request waited too long for its Idempotency-Key to be safe", retryKey).as(refusalcode.Deadline)
		return nil, &r
	}
	return &held, nil
}

func (s *Server) finishClaim(held *claims.Claim, ended outcome, status int) {
	if held == nil {
		return
	}
	s.keys.Finish(*held, &pb.Outcome{Kind: ended.kind(), Status: int32(status)})
}

func outcomeOf(err error) outcome {
	if upstream.NotRun.Has(err) {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// resultOf is what the router learns. A caller that went away, or our own last check, says nothing of the host.
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

// HeldNow is the number of requests held.
func (s *Server) HeldNow() int64 { return s.held.Load() }

// WaitSessions waits until no exchange with a worker is under way, or until ctx ends.
func (s *Server) WaitSessions(ctx context.Context) error { return s.upstream.Wait(ctx) }
