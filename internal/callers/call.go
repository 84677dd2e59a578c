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

// Headers of the contract with callers and workers; docs/CALLERS.md explains them.
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
	// maxTimeout is the longest timeout that a caller may ask for. A time further off is beyond the range of Unix
	// nanoseconds.
	maxTimeout = 24 * time.Hour
)

// class is what the caller asks for.
type class string

const (
	classNormal  class = "normal"
	classUrgent  class = "urgent"
	classSession class = "session"
)

// call is one caller's request, read and checked.
type call struct {
	service   *pb.Service
	team      string
	class     class
	method    string
	path      string
	header    http.Header
	body      []byte
	taken     int64 // bytes of the body budget
	key       string
	requestID string
	arrived   time.Time
	deadline  time.Time
	// mayHaveRun is set once a try of the request may have reached a worker.
	mayHaveRun bool
}

// parse reads everything but the body.
func (s *Server) parse(r *http.Request, now time.Time) (*call, *refusal) {
	cfg := s.view.Config()
	if cfg == nil {
		r := notRun(http.StatusServiceUnavailable, ErrNoConfig.New("").Error(), retryUnready).as(refusalcode.Unready)
		return nil, &r
	}
	name, path, ok := serviceAndPath(r.URL.EscapedPath())
	if !ok {
		return nil, refuse(http.StatusNotFound, "the path must be /v1/services/{service}/{path}")
	}
	service, ok := lo.Find(cfg.GetServices(), func(sv *pb.Service) bool { return sv.GetName() == name })
	if !ok {
		return nil, refuse(http.StatusNotFound, "no such service; ask your operators for its name")
	}
	team := r.Header.Get(headerTeam)
	if !lo.SomeBy(cfg.GetTeams(), func(t *pb.Team) bool { return t.GetName() == team }) {
		return nil, refuse(http.StatusForbidden, "the "+headerTeam+" header must name a configured team")
	}
	wishes, err := parseWishes(r.Header, service)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, err.Error())
	}
	if wishes.requestID == "" {
		wishes.requestID = uuid.NewString()
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &call{
		service:   service,
		team:      team,
		class:     wishes.class,
		method:    r.Method,
		path:      path,
		header:    r.Header,
		key:       wishes.key,
		requestID: wishes.requestID,
		arrived:   now,
		deadline:  now.Add(wishes.timeout),
	}, nil
}

// honest is the refusal as it may be given: a request of which a try may have run is not said to be not run.
func (c *call) honest(r refusal) refusal {
	if !c.mayHaveRun {
		return r
	}
	r.outcome = outcomeUnknown
	r.reason = "an earlier try may have run; then: " + r.reason
	return r
}

// readBody reads the whole body, within the limits of size and time, before the request queues: a slow caller holds no slot.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limits *pb.LimitSettings, budget *bodies.Budget) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > limits.GetMaxBodyBytes() {
		return refuse(http.StatusRequestEntityTooLarge, "the body is larger than [limits] max_body_bytes")
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limits.GetBodyTimeout().AsDuration()))
	length := r.ContentLength
	if length < 0 {
		length = limits.GetMaxBodyBytes()
	}
	var err error
	c.body, c.taken, err = budget.Read(http.MaxBytesReader(w, r.Body, limits.GetMaxBodyBytes()), length)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "the body is larger than [limits] max_body_bytes")
	case bodies.Full.Has(err):
		r := notRun(http.StatusServiceUnavailable, err.Error(), retryUnready)
		return &r
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "the body did not arrive whole within [limits] body_timeout")
	case err != nil:
		return refuse(http.StatusBadRequest, "the body is not whole or not well formed: "+err.Error())
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// context ends at the deadline. A session's deadline bounds its start only.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	if c.class == classSession {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, c.deadline)
}

// ticket is the request as the dispatcher gets it, for a try on a host other than the excluded ones.
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
		Digest:     c.digest(),
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

// bodyDigest identifies the request, so that a key is not used for two different ones.
func (c *call) bodyDigest() []byte {
	h := sha256.New()
	for _, part := range []string{c.method, c.path, c.team} {
		_ = binary.Write(h, binary.BigEndian, int64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// digest identifies the job for the router, which tells failing jobs from failing hosts.
func (c *call) digest() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, c.service.GetName()+" "+c.method+" "+c.path+" ")
	_, _ = h.Write(c.body)
	return h.Sum64()
}
