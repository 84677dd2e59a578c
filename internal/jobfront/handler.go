package jobfront

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/queue"
)

const (
	// headerDeadline is the request header with the time that the caller waits, in milliseconds.
	headerDeadline = "Deadline-Ms"
	// responseMargin is the part of the caller's time that is reserved for the response to arrive.
	responseMargin = 20 * time.Millisecond
	// maxStoreWait bounds the wait for the store regardless of the caller's deadline.
	maxStoreWait = 3 * time.Second
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 5 * time.Second
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// defaultRequestBytes bounds the memory of all headers, and that of all bodies, if the options set no limit.
	defaultRequestBytes = 64 << 20
	// smallBodyBytes is the size up to which a body is read whatever memory the other bodies use.
	smallBodyBytes = 8 << 10
)

// request is a caller's request whose queue is known.
type request struct {
	queue *queue.Queue
	// id is the rest of the path; it is empty for the queue itself. address is that of the job.
	id, address string
	// workspace is that of the caller's key; empty if the queue needs no key. cap is the workspace's.
	workspace string
	cap       queue.Cap
	// presented is the workspace of the key that came with the request, also if the queue needs none; empty if there is none.
	presented string
	// table is the one in which the queue was found.
	table *indexedTable
}

// reply is an answer to a caller.
type reply struct {
	status int
	body   []byte
	// retry adds a Retry-After header, of one second if retryAfter is 0.
	retry      bool
	retryAfter time.Duration
	// reason states for operators why the request failed; it is one of the reason constants.
	reason string
}

// Handler serves callers' requests.
func (f *Front) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		ctx, trace := withTrace(r.Context())
		answer, q := f.serve(ctx, w, r)
		f.send(w, answer)
		f.options.Metrics.countAnswer(r.Method, answer.status)
		f.logAnswer(ctx, r, q, answer, trace, began)
	})
}

// serve returns the answer, and the request as far as it was parsed.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) (reply, request) {
	body, taken, rejected := f.readBody(w, r)
	defer f.bodies.Release(taken)
	if rejected != nil {
		return *rejected, request{}
	}
	table := f.currentTable()
	if table == nil {
		return reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonNoTable}, request{}
	}
	q, ok := table.index.Lookup(hostOf(r.Host), r.URL.Path)
	if !ok {
		return f.noQueue(), request{}
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(r.Header.Get(headerDeadline), q.Timeout))
	defer cancel()
	parsed := request{table: table, queue: q, id: r.URL.Path[len(q.Prefix):], address: jobkeys.Address(q.Host, r.URL.Path)}
	if rejected := f.authenticate(ctx, table, r, &parsed); rejected != nil {
		return *rejected, parsed
	}
	return f.dispatch(ctx, r.Method, parsed, body), parsed
}

func (f *Front) dispatch(ctx context.Context, method string, r request, body []byte) reply {
	switch {
	case r.id == "" && method == http.MethodGet:
		return f.countPending(ctx, r)
	case !f.options.Codec.ValidJobID(r.id):
		return f.serveLocated(ctx, method, r)
	case method == http.MethodPost:
		return f.submit(ctx, r, body)
	case method == http.MethodGet:
		return f.state(ctx, r)
	case method == http.MethodDelete:
		return f.cancel(ctx, r)
	default:
		return reply{status: http.StatusMethodNotAllowed, reason: reasonMethod}
	}
}

// badID answers a request with an invalid job id.
func (f *Front) badID(method string) reply {
	if method == http.MethodGet || method == http.MethodDelete {
		return reply{status: http.StatusGone, reason: reasonInvalidID}
	}
	return reply{status: http.StatusBadRequest, body: []byte("no valid job id\n"), reason: reasonInvalidID}
}

// noQueue answers a request for a path without a queue. A table that was not confirmed recently may lack a new queue, so
// the caller is asked to retry then.
func (f *Front) noQueue() reply {
	if !f.options.Tables.Current() {
		return reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonStaleTable}
	}
	return reply{status: http.StatusNotFound, reason: reasonNoQueue}
}

// readBody reads the whole body, so that nothing is decided on an incomplete request. The caller returns the taken bytes to the budget
// once the body is no longer needed.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) (body []byte, taken int64, rejected *reply) {
	limits := f.limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, 0, &reply{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader}
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, 0, &reply{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	length := r.ContentLength
	if length < 0 {
		length = limit
	}
	body, taken, err := f.bodies.Read(http.MaxBytesReader(w, r.Body, limit), length)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, 0, &reply{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	case bodies.Full.Has(err):
		_ = controller.SetReadDeadline(time.Now().Add(bodies.UnreadGrace))
		return nil, 0, &reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonFull}
	case err != nil:
		return nil, 0, &reply{status: http.StatusBadRequest, reason: reasonBody}
	default:
		return body, taken, nil
	}
}

// headerBytes returns a lower bound on the size of the request's header on the wire.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n") // a space after the colon is optional
		}
	}
	return size
}

// hostOf strips the port from a host.
func hostOf(host string) string {
	if strings.IndexByte(host, ':') < 0 {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// answerTimeout returns how long an answer may take, bounded by the caller's deadline, the queue's timeout and
// maxStoreWait, less responseMargin and at least responseMargin. A timeout of 0, or a deadline that is not a positive
// number, sets no bound.
func answerTimeout(deadline string, timeout time.Duration) time.Duration {
	wait := maxStoreWait
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	ms, err := strconv.ParseInt(deadline, 10, 64)
	if err == nil && ms > 0 && ms < wait.Milliseconds() {
		wait = time.Duration(ms) * time.Millisecond
	}
	return max(wait-responseMargin, responseMargin)
}

func (f *Front) send(w http.ResponseWriter, answer reply) {
	header := w.Header()
	if f.stopping() {
		header.Set("Connection", "close")
	}
	if answer.retry {
		header.Set("Retry-After", retryAfter(answer.retryAfter))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	if len(answer.body) > 0 {
		header.Set("Content-Type", f.contentType(answer.status))
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// retryAfter formats a Retry-After header in whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(max(1, int64(math.Ceil(d.Seconds()))), 10)
}

func (f *Front) contentType(status int) string {
	if status == http.StatusOK {
		return f.options.ContentType
	}
	return "text/plain; charset=utf-8"
}
