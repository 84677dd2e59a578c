package entryhost

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
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/upstream"
)

// callerServer serves the callers: it queues each request, sends it to one host, and relays the whole answer.
type callerServer struct {
	view     *view
	dispatch *dispatcher
	keys     *keys
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

// ServeHTTP serves readiness checks and POST/GET/... /v1/services/{service}/{path}.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (s *callerServer) serveReady(w http.ResponseWriter) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveRequest answers one request, and records how it went.
func (s *callerServer) serveRequest(w http.ResponseWriter, r *http.Request) {
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
func (s *callerServer) serveCall(ctx context.Context, w http.ResponseWriter, c *call) callEnd {
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
			end.queued = g.started.Sub(c.arrived)
			return end
		}
		t = c.ticket(append(t.excluded, g.host))
	}
}

// queue waits for a grant. The answer of a request that is given up on goes out at once.
func (s *callerServer) queue(ctx context.Context, t *ticket) (*grant, *refusal) {
	if err := s.ready(); err != nil && !errStopping.Has(err) {
		r := notRun(http.StatusServiceUnavailable, err.Error(), retryUnready).as(refusalcode.Unready)
		return nil, &r
	}
	if !s.dispatch.offer(t) {
		r := notRun(http.StatusServiceUnavailable, "the dispatcher's queue is full", time.Second).as(refusalcode.EntryHostFull)
		return nil, &r
	}
	select {
	case v := <-t.result:
		return s.verdict(v)
	case <-ctx.Done():
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	s.dispatch.cancel(context.WithoutCancel(ctx), t)
	v := <-t.result
	if v.grant != nil {
		s.dispatch.done(context.WithoutCancel(ctx), finished{ticket: t, grant: v.grant, result: routing.Cancelled})
	}
	if cancelled {
		r := notRun(statusClientClosed, "the caller has gone", 0).as(refusalcode.CallerGone)
		return nil, &r
	}
	r := notRun(http.StatusServiceUnavailable, "the deadline passed in the queue", 0).as(refusalcode.Deadline)
	return nil, &r
}

func (s *callerServer) verdict(v verdict) (*grant, *refusal) {
	if v.grant != nil {
		return v.grant, nil
	}
	status := http.StatusServiceUnavailable
	switch {
	case v.rejection.full:
		status = http.StatusTooManyRequests
	case v.rejection.hopeless:
		status = http.StatusUnprocessableEntity
	}
	r := notRun(status, v.rejection.reason, v.rejection.retryAfter).as(v.rejection.code)
	return nil, &r
}

// attempt sends the request to the granted host and relays its answer. It reports whether another host may be tried.
func (s *callerServer) attempt(ctx context.Context, w http.ResponseWriter, c *call, t *ticket, g *grant) (callEnd, bool) {
	result := routing.Cancelled
	defer func() {
		s.dispatch.done(context.WithoutCancel(ctx), finished{ticket: t, grant: g, result: result})
	}()
	held, refusal := s.claim(ctx, c)
	if refusal != nil {
		s.refuse(ctx, w, *refusal)
		return callEnd{outcome: refusal.outcome}, false
	}
	response, err := s.upstream.Do(ctx, upstream.Target{Host: g.host, Address: g.address}, s.outgoing(c, g))
	if err != nil {
		result = resultOf(ctx, err)
		s.countUpstreamError(g.host, outcomeOf(err), result)
		s.finishClaim(held, outcomeOf(err), 0)
		return s.failed(ctx, w, c, g, err)
	}
	result = routing.Succeeded
	if response.Status >= http.StatusInternalServerError {
		result = routing.Failed
	}
	w.Header().Set(headerOutcome, outcomeDone.String())
	steady := &steadyWriter{ResponseWriter: w, timeout: s.limits.GetBodyTimeout().AsDuration()}
	_, err = upstream.Relay(steady, response)
	_ = steady.extend() // the server has the end of the answer still to send
	if err != nil {
		result = lo.Ternary(steady.err == nil, routing.Failed, routing.Cancelled)
		s.countUpstreamError(g.host, outcomeUnknown, result)
		s.finishClaim(held, outcomeUnknown, response.Status)
		return s.cut(ctx, w, c, g, err), false
	}
	s.finishClaim(held, outcomeDone, response.Status)
	return callEnd{outcome: outcomeDone}, false
}

// cut ends a call whose answer could not be relayed whole. If the caller has a part of it, its connection must break.
func (s *callerServer) cut(ctx context.Context, w http.ResponseWriter, c *call, g *grant, err error) callEnd {
	events.Emit(ctx, s.logger, cutEvent(ctx, err), "host", g.host, "request", c.requestID, "err", err)
	if upstream.Aborted.Has(err) {
		return callEnd{outcome: outcomeUnknown, abort: true}
	}
	s.refuse(ctx, w, unknownOutcome(http.StatusBadGateway, err.Error()))
	return callEnd{outcome: outcomeUnknown}
}

// failed decides what follows a failed exchange: another host, or the final answer.
func (s *callerServer) failed(ctx context.Context, w http.ResponseWriter, c *call, g *grant, err error) (callEnd, bool) {
	ended := outcomeOf(err)
	retryable := ended == outcomeNotRun || c.idempotent()
	if ended == outcomeUnknown {
		c.mayHaveRun = true
	}
	if retryable && ctx.Err() == nil && s.dispatch.allowRetry(ctx, c.service.GetName()) {
		return callEnd{}, true
	}
	final := unknownOutcome(statusOf(ctx, err), err.Error())
	if ended == outcomeNotRun {
		final = c.honest(notRun(http.StatusServiceUnavailable, err.Error(), retryNoHost).as(refusalcode.NotReached))
	}
	if final.outcome == outcomeUnknown {
		events.Emit(ctx, s.logger, events.OutcomeUnknown, "host", g.host, "request", c.requestID, "err", err)
	}
	s.refuse(ctx, w, final)
	return callEnd{outcome: final.outcome}, false
}

// outgoing is the request as the worker gets it. The last check runs immediately before the first byte is written.
func (s *callerServer) outgoing(c *call, g *grant) upstream.Request {
	header := c.header.Clone()
	header.Set(headerRequestID, c.requestID)
	header.Set(headerPool, g.pool)
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
			return s.view.gate.Check(g.host, g.pool)
		},
	}
}

// claim gets the right to run a request that carries an idempotency key. A nil claim means the request has no key.
func (s *callerServer) claim(ctx context.Context, c *call) (*claim, *refusal) {
	if c.key == "" {
		return nil, nil
	}
	answer, held, err := s.keys.claim(ctx, &pb.ClaimRequest{
		Service:     c.service.GetName(),
		Key:         c.key,
		Attempt:     uuid.NewString(),
		Member:      s.keys.process().GetName(),
		Incarnation: s.keys.process().GetIncarnation(),
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
	if s.keys.tooLate(time.Now(), c.arrived) {
		s.finishClaim(&held, outcomeNotRun, 0)
		r := notRun(http.StatusServiceUnavailable, "the request waited too long for its Idempotency-Key to be safe", retryKey).as(refusalcode.Deadline)
		return nil, &r
	}
	return &held, nil
}

func (s *callerServer) finishClaim(held *claim, ended outcome, status int) {
	if held == nil {
		return
	}
	s.keys.finish(*held, &pb.Outcome{Kind: ended.kind(), Status: int32(status)})
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

// callerOptions are what serving callers needs.
type callerOptions struct {
	View     *view
	Dispatch *dispatcher
	Keys     *keys
	Upstream *upstream.Client
	Detector *pause.Detector
	Stats    *stats.Stats
	Limits   *pb.LimitSettings
	Logger   *slog.Logger
	Ready    func() error
}

// newCallerServer returns the server of the callers.
func newCallerServer(o callerOptions) *callerServer {
	return &callerServer{
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

// heldNow is the number of requests held.
func (s *callerServer) heldNow() int64 { return s.held.Load() }

// waitSessions waits until no exchange with a worker is under way, or until ctx ends.
func (s *callerServer) waitSessions(ctx context.Context) error { return s.upstream.Wait(ctx) }
