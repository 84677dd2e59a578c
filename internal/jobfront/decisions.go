package jobfront

import (
	"context"
	"log/slog"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/stats"
)

// Reasons of unsuccessful answers. They are values of a metric label and of a log attribute.
const (
	reasonNoTable          = "no configuration yet"
	reasonStaleTable       = "no such queue in a configuration that was not confirmed lately"
	reasonNoQueue          = "no such queue"
	reasonUnknownKey       = "unknown key"
	reasonKeyMayBeNew      = "unknown key in a configuration that was not confirmed lately"
	reasonKeyMayBeRemoved  = "known key in a configuration that was not confirmed lately"
	reasonOtherWorkspace   = "id of a job of another workspace"
	reasonExceedsCap       = "task or gang larger than the cap of its workspace"
	reasonBody             = "body too large, too slow or cut"
	reasonHeader           = "header too large"
	reasonFull             = "memory for requests used up"
	reasonInvalidJob       = "job cannot be read"
	reasonInvalidID        = "id that no job can have"
	reasonMethod           = "method"
	reasonNotStored        = "not stored"
	reasonUndecided        = "write without an answer"
	reasonNoSuchJob        = "no such job"
	reasonStateUnavailable = "neither owner nor store answered"
	reasonOverloaded       = "owner cannot order its tasks soon"
	reasonCountUnavailable = "owner silent and last count too old"
)

const (
	metricRejections = "agateturn_job_refusals_total"
	metricAck        = "agateturn_job_hand_in_to_ack_seconds"
	// maxLoggedID bounds the bytes of a caller's id or header that are logged.
	maxLoggedID = 64
)

// writeTrace collects the facts that decided the outcome of a write, for its log line. It is safe for concurrent use.
type writeTrace struct {
	mu         sync.Mutex
	access     access
	peersAsked int
	storeErr   string
	// decidedByPeer means that the peer tried last has stored the write, or found that there is no such job.
	decidedByPeer bool
	// storedAt is when the write was known to be stored, before the owner was notified; zero if it was not stored.
	storedAt time.Time
}

type traceKey struct{}

// withTrace returns a context whose writes fill in the returned trace.
func withTrace(ctx context.Context) (context.Context, *writeTrace) {
	t := &writeTrace{}
	return context.WithValue(ctx, traceKey{}, t), t
}

// traceOf returns the trace of ctx; nil if there is none.
func traceOf(ctx context.Context) *writeTrace {
	t, _ := ctx.Value(traceKey{}).(*writeTrace)
	return t
}

func (t *writeTrace) update(change func(t *writeTrace)) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

// markStored sets storedAt to the current time, so that the log line precedes the owner's lines about the write.
func (t *writeTrace) markStored() {
	t.update(func(t *writeTrace) { t.storedAt = time.Now() })
}

// logTime returns the time of the log line: when the write was stored, or the current time if it was not.
func (t *writeTrace) logTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storedAt.IsZero() {
		return time.Now()
	}
	return t.storedAt
}

// attrs returns the facts that decided the write.
func (t *writeTrace) attrs() []slog.Attr {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []slog.Attr{slog.String("store_access", t.access.String()), slog.Int("peers_asked", t.peersAsked)}
	if t.decidedByPeer {
		out = append(out, slog.Bool("stored_by_peer", true))
	}
	if t.storeErr != "" {
		out = append(out, slog.String("store_error", t.storeErr))
	}
	return out
}

// String names the access for the log.
func (a access) String() string {
	switch a {
	case accessAllowed:
		return "open"
	case accessSuspect:
		return "silent"
	case accessDenied, accessProbe:
		return "not tried"
	default:
		return "unknown"
	}
}

// logAnswer counts an answer, and logs it if it decides about a job. Successful reads are only counted.
func (f *Front) logAnswer(ctx context.Context, r *http.Request, q request, answer reply, trace *writeTrace, began time.Time) {
	took := time.Since(began)
	m := f.options.Metrics
	if answer.status == http.StatusOK && r.Method == http.MethodPost {
		m.stats.Time(metricAck, took)
	}
	if answer.reason != "" {
		m.countRejection(answer.reason)
	}
	event, ok := eventOf(r.Method, answer)
	if !ok {
		return
	}
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs, slog.String("job", jobOf(r, q)), slog.Int("status", answer.status))
	if q.queue != nil {
		attrs = append(attrs, slog.String("queue", q.queue.Name), slog.String("pool", q.queue.Pool))
	}
	if q.workspace != "" {
		attrs = append(attrs, slog.String("workspace", q.workspace))
	}
	if answer.reason != "" {
		attrs = append(attrs, slog.String("reason", answer.reason))
	}
	attrs = append(attrs, slog.Int64("took_ms", took.Milliseconds()),
		slog.Int64("store_age_ms", min(f.options.Tables.StoreAge(), maxStoreAge*time.Second).Milliseconds()))
	if table := f.options.Tables.Table(); table != nil {
		attrs = append(attrs, slog.Int64("config_version", table.Version))
	}
	if deadline := r.Header.Get(headerDeadline); deadline != "" && len(deadline) <= maxLoggedID {
		attrs = append(attrs, slog.String("deadline_ms", deadline))
	}
	if q.queue != nil && r.Method != http.MethodGet {
		attrs = append(attrs, trace.attrs()...)
	}
	events.LogAt(ctx, f.options.Log, trace.logTime(), event, attrs...)
}

// eventOf returns the event of an answer, if there is one.
func eventOf(method string, answer reply) (events.Event, bool) {
	ok := answer.status == http.StatusOK
	switch {
	case method == http.MethodPost && ok:
		return events.JobAccepted, true
	case method == http.MethodPost && answer.reason == reasonUndecided:
		return events.JobUndecided, true
	case method == http.MethodPost:
		return events.JobRefused, true
	case method == http.MethodDelete && ok:
		return events.CancelStored, true
	case method == http.MethodDelete:
		return events.CancelFailed, true
	case answer.status == http.StatusServiceUnavailable:
		return events.StateUnknown, true
	default:
		return events.Event{}, false
	}
}

// jobOf returns the job id for the log: the last part of the path if no queue was found.
func jobOf(r *http.Request, q request) string {
	id := q.id
	if q.queue == nil {
		id = path.Base(r.URL.Path)
	}
	return id[:min(len(id), maxLoggedID)]
}

func (m *Metrics) countRejection(reason string) {
	m.stats.Counter(metricRejections, stats.Label{Name: "reason", Value: reason}).Inc(1)
}

// recordPeer records the answer of a peer.
func (t *writeTrace) recordPeer(result pb.StoreResult) {
	t.update(func(t *writeTrace) {
		t.peersAsked++
		t.decidedByPeer = isDecided(result)
	})
}
