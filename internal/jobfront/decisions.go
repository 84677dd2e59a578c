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

// Reasons of answers that are no success.
const (
	reasonNoTable     = "no configuration yet"
	reasonOldTable    = "no such queue in a configuration that was not confirmed lately"
	reasonNoQueue     = "no such queue"
	reasonBody        = "body too large, too slow or cut"
	reasonHeader      = "header too large"
	reasonUnreadable  = "job cannot be read"
	reasonID          = "id that no job can have"
	reasonMethod      = "method"
	reasonNotStored   = "not stored"
	reasonUndecided   = "write without an answer"
	reasonNoSuchJob   = "no such job"
	reasonStateSilent = "neither owner nor store answered"
	reasonBusy        = "owner cannot order its tasks soon"
	reasonCountSilent = "owner silent and last count too old"
)

const (
	metricRefusals = "agateturn_job_refusals_total"
	metricAck      = "agateturn_job_hand_in_to_ack_seconds"
	// maxLoggedID bounds the part of a path that stands in the log.
	maxLoggedID = 64
)

// writeTrace collects what decided a write. It is safe for concurrent use.
type writeTrace struct {
	mu     sync.Mutex
	access access
	asked  int
	err    string
	byPeer bool
	// at is when the write was decided, before the owner was told; zero if it was not.
	at time.Time
}

type traceKey struct{}

// withTrace returns a context whose writes tell the trace.
func withTrace(ctx context.Context) (context.Context, *writeTrace) {
	t := &writeTrace{}
	return context.WithValue(ctx, traceKey{}, t), t
}

// traceOf is nil without a trace.
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

// decided notes the time, so that the line comes before what the owner makes of the write.
func (t *writeTrace) decided() {
	t.update(func(t *writeTrace) { t.at = time.Now() })
}

// time is when the write was decided, or now.
func (t *writeTrace) time() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at.IsZero() {
		return time.Now()
	}
	return t.at
}

// attrs are the inputs that decided the write.
func (t *writeTrace) attrs() []slog.Attr {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []slog.Attr{slog.String("store_access", t.access.String()), slog.Int("peers_asked", t.asked)}
	if t.byPeer {
		out = append(out, slog.Bool("stored_by_peer", true))
	}
	if t.err != "" {
		out = append(out, slog.String("store_error", t.err))
	}
	return out
}

// String names the access for the log.
func (a access) String() string {
	switch a {
	case accessOpen:
		return "open"
	case accessSilent:
		return "silent"
	case accessBroken, accessProbe:
		return "not tried"
	default:
		return "unknown"
	}
}

// tell logs and counts an answer that decides about a job. States that were told are only counted.
func (f *Front) tell(ctx context.Context, r *http.Request, q request, answer reply, trace *writeTrace, began time.Time) {
	took := time.Since(began)
	m := f.options.Metrics
	if answer.status == http.StatusOK && r.Method == http.MethodPost {
		m.stats.Time(metricAck, took)
	}
	if answer.reason != "" {
		m.refused(answer.reason)
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
	events.LogAt(ctx, f.options.Log, trace.time(), event, attrs...)
}

// eventOf is the event of an answer, if there is one.
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

// jobOf is the id as far as it is known: the last part of the path if no queue was found.
func jobOf(r *http.Request, q request) string {
	id := q.id
	if q.queue == nil {
		id = path.Base(r.URL.Path)
	}
	return id[:min(len(id), maxLoggedID)]
}

func (m *Metrics) refused(reason string) {
	m.stats.Counter(metricRefusals, stats.Label{Name: "reason", Value: reason}).Inc(1)
}

// peerAnswered tells the trace what a peer answered.
func (t *writeTrace) peerAnswered(result pb.StoreResult) {
	t.update(func(t *writeTrace) {
		t.asked++
		t.byPeer = isDecided(result)
	})
}
