package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/refusalcode"
)

// Headers exchanged with callers and workers; docs/CALLERS.md documents them.
const (
	headerTeam           = "Agateturn-Team"
	headerClass          = "Agateturn-Class"
	headerTimeout        = "Agateturn-Timeout"
	headerRequestID      = "Agateturn-Request-Id"
	HeaderOutcome        = "Agateturn-Outcome"
	headerPool           = "Agateturn-Pool"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// maxKeyBytes bounds an idempotency key and a request id.
	maxKeyBytes = 128
	// maxTimeout is the longest timeout that a caller may request. Far longer ones give deadlines beyond the range of Unix
	// nanoseconds.
	maxTimeout = 24 * time.Hour
)

// class is the request class that the caller selects.
type class string

const (
	classNormal  class = "normal"
	classUrgent  class = "urgent"
	classSession class = "session"
)

// call is a caller's validated request.
type call struct {
	service        *pb.Service
	team           string
	class          class
	method         string
	path           string
	header         http.Header
	body           []byte
	bodyBytesTaken int64 // bytes taken from the body budget
	key            string
	requestID      string
	arrived        time.Time
	deadline       time.Time
	// mayHaveRun is set once an attempt may have reached a worker.
	mayHaveRun bool
}

// parse validates the request line and headers. It does not read the body.
func (s *Server) parse(r *http.Request, now time.Time) (*call, *refusal) {
	cfg := s.view.Config()
	if cfg == nil {
		r := notRun(http.StatusServiceUnavailable, ErrNoConfig.New("").Error(), unreadyRetryDelay).withCode(refusalcode.Unready)
		return nil, &r
	}
	name, path, ok := serviceAndPath(r.URL.EscapedPath())
	if !ok {
		return nil, permanentRefusal(http.StatusNotFound, "the path must be /v1/services/{service}/{path}")
	}
	service, ok := lo.Find(cfg.GetServices(), func(sv *pb.Service) bool { return sv.GetName() == name })
	if !ok {
		return nil, permanentRefusal(http.StatusNotFound, "no such service; ask your operators for its name")
	}
	team := r.Header.Get(headerTeam)
	if !lo.SomeBy(cfg.GetTeams(), func(t *pb.Team) bool { return t.GetName() == team }) {
		return nil, permanentRefusal(http.StatusForbidden, "the "+headerTeam+" header must name a configured team")
	}
	options, err := parseRequestOptions(r.Header, service)
	if err != nil {
		return nil, permanentRefusal(http.StatusBadRequest, err.Error())
	}
	if options.requestID == "" {
		options.requestID = uuid.NewString()
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &call{
		service:   service,
		team:      team,
		class:     options.class,
		method:    r.Method,
		path:      path,
		header:    r.Header,
		key:       options.key,
		requestID: options.requestID,
		arrived:   now,
		deadline:  now.Add(options.timeout),
	}, nil
}

// withAttemptOutcome changes the outcome of the refusal to unknown if an earlier attempt may have run.
func (c *call) withAttemptOutcome(r refusal) refusal {
	if !c.mayHaveRun {
		return r
	}
	r.outcome = outcomeUnknown
	r.reason = "an earlier try may have run; then: " + r.reason
	return r
}

// readBody reads the whole body, within the limits of size and time. It runs before the request is queued, so that a slow
// caller does not occupy a slot.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limits *pb.LimitSettings, budget *bodies.Budget) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > limits.GetMaxBodyBytes() {
		return permanentRefusal(http.StatusRequestEntityTooLarge, "the body is larger than [limits] max_body_bytes")
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limits.GetBodyTimeout().AsDuration()))
	length := r.ContentLength
	if length < 0 {
		length = limits.GetMaxBodyBytes()
	}
	var err error
	c.body, c.bodyBytesTaken, err = budget.Read(http.MaxBytesReader(w, r.Body, limits.GetMaxBodyBytes()), length)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return permanentRefusal(http.StatusRequestEntityTooLarge, "the body is larger than [limits] max_body_bytes")
	case bodies.Full.Has(err):
		r := notRun(http.StatusServiceUnavailable, err.Error(), unreadyRetryDelay)
		return &r
	case errors.Is(err, os.ErrDeadlineExceeded):
		return permanentRefusal(http.StatusRequestTimeout, "the body did not arrive whole within [limits] body_timeout")
	case err != nil:
		return permanentRefusal(http.StatusBadRequest, "the body is not whole or not well formed: "+err.Error())
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// context returns a context that ends at the deadline. The deadline of a session bounds only its start.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	if c.class == classSession {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, c.deadline)
}

// ticket returns the dispatcher's form of the request for one attempt, which may not use the excluded hosts.
func (c *call) ticket(excluded []string) *dispatch.Ticket {
	request := admission.Request{
		Service:  c.service.GetName(),
		Pool:     c.service.GetPool(),
		Team:     c.team,
		Class:    admission.ClassNormal,
		Arrival:  c.arrived,
		Deadline: c.deadline,
	}
	switch c.class {
	case classNormal:
	case classUrgent:
		request.Class = admission.ClassUrgent
	case classSession:
		request.Deadline = c.deadline.Add(c.service.GetRunTime().AsDuration())
	}
	return &dispatch.Ticket{
		Request:    request,
		Digest:     c.jobDigest(),
		Declared:   c.service.GetRunTime().AsDuration(),
		Session:    c.class == classSession,
		Idempotent: c.idempotent(),
		Excluded:   excluded,
		Result:     make(chan dispatch.Verdict, 1),
	}
}

func (c *call) bodyReader() io.Reader {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(c.body)
}

// idempotent reports whether the request may run again after an unknown outcome.
func (c *call) idempotent() bool {
	if c.key != "" {
		return false
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return c.class != classSession
	default:
		return false
	}
}

// claimDigest returns the digest of method, path, team and body by which the reuse of an idempotency key for another request
// is detected.
func (c *call) claimDigest() []byte {
	h := sha256.New()
	for _, part := range []string{c.method, c.path, c.team} {
		_ = binary.Write(h, binary.BigEndian, int64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// jobDigest returns the digest by which the router recognizes the job. With it, the router distinguishes jobs that always
// fail from failing hosts.
func (c *call) jobDigest() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, c.service.GetName()+" "+c.method+" "+c.path+" ")
	_, _ = h.Write(c.body)
	return h.Sum64()
}
