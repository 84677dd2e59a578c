package jobfront

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateturn/agateturn/queue"
)

const (
	// headerDeadline is how long the caller waits, in milliseconds.
	headerDeadline = "Deadline-Ms"
	// answerMargin is left of the caller's time for the answer to arrive.
	answerMargin = 20 * time.Millisecond
	// maxWait bounds the wait for the store whatever the caller allows.
	maxWait = 3 * time.Second
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 5 * time.Second
	// defaultBodyBytes holds while the configuration sets no limit.
	defaultBodyBytes = 1 << 20
)

// request is a caller's request whose queue is known.
type request struct {
	queue *queue.Queue
	// id is the rest of the path; it is empty for the queue itself.
	id string
}

// reply is an answer to a caller.
type reply struct {
	status int
	body   []byte
	// repeat asks the caller to come back, after a second if after is 0.
	repeat bool
	after  time.Duration
	// reason says for operators why the answer is no success; it is one of a few constants.
	reason string
}

// Handler serves callers' requests.
func (f *Front) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		ctx, trace := withTrace(r.Context())
		answer, q := f.serve(ctx, w, r)
		f.send(w, answer)
		f.options.Metrics.answered(r.Method, answer.status)
		f.tell(ctx, r, q, answer, trace, began)
	})
}

// serve returns the answer, and the request as far as it was understood.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) (reply, request) {
	body, refused := f.readBody(w, r)
	if refused != nil {
		return *refused, request{}
	}
	index := f.index()
	if index == nil {
		return reply{status: http.StatusServiceUnavailable, repeat: true, reason: reasonNoTable}, request{}
	}
	q, ok := index.Lookup(hostOf(r.Host), r.URL.Path)
	if !ok {
		return f.noQueue(), request{}
	}
	ctx, cancel := context.WithTimeout(ctx, allowed(r.Header.Get(headerDeadline), q.Timeout))
	defer cancel()
	understood := request{queue: q, id: r.URL.Path[len(q.Prefix):]}
	return f.dispatch(ctx, r.Method, understood, body), understood
}

func (f *Front) dispatch(ctx context.Context, method string, r request, body []byte) reply {
	switch {
	case r.id == "" && method == http.MethodGet:
		return f.count(ctx, r)
	case !f.options.Codec.ValidJobID(r.id):
		return f.badID(method)
	case method == http.MethodPost:
		return f.handIn(ctx, r, body)
	case method == http.MethodGet:
		return f.state(ctx, r)
	case method == http.MethodDelete:
		return f.cancel(ctx, r)
	default:
		return reply{status: http.StatusMethodNotAllowed, reason: reasonMethod}
	}
}

// badID answers for an id that no job can have.
func (f *Front) badID(method string) reply {
	if method == http.MethodGet || method == http.MethodDelete {
		return reply{status: http.StatusGone, reason: reasonID}
	}
	return reply{status: http.StatusBadRequest, body: []byte("no valid job id\n"), reason: reasonID}
}

// noQueue answers for a path that the table has no queue for. A table that was not confirmed lately may lack a new one.
func (f *Front) noQueue() reply {
	if !f.options.Tables.Current() {
		return reply{status: http.StatusServiceUnavailable, repeat: true, reason: reasonOldTable}
	}
	return reply{status: http.StatusNotFound, reason: reasonNoQueue}
}

// readBody reads the whole body, so that no decision is taken on a request that has not arrived.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reply) {
	limits := f.limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, &reply{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, &reply{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &reply{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	case err != nil:
		return nil, &reply{status: http.StatusBadRequest, reason: reasonBody}
	default:
		return body, nil
	}
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// headerBytes is about the size of the request's header on the wire.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// hostOf is the host without a port.
func hostOf(host string) string {
	if strings.IndexByte(host, ':') < 0 {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// allowed is how long an answer may take: the caller's time, the queue's and maxWait all bound it. 0 sets no bound.
func allowed(deadline string, timeout time.Duration) time.Duration {
	wait := maxWait
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	ms, err := strconv.ParseInt(deadline, 10, 64)
	if err == nil && ms > 0 && ms < wait.Milliseconds() {
		wait = time.Duration(ms) * time.Millisecond
	}
	return max(wait-answerMargin, answerMargin)
}

func (f *Front) send(w http.ResponseWriter, answer reply) {
	header := w.Header()
	if f.stopping() {
		header.Set("Connection", "close")
	}
	if answer.repeat {
		header.Set("Retry-After", retryAfter(answer.after))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	if len(answer.body) > 0 {
		header.Set("Content-Type", f.contentType(answer.status))
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// retryAfter is the hint of a refusal in whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(max(1, int64(math.Ceil(d.Seconds()))), 10)
}

func (f *Front) contentType(status int) string {
	if status == http.StatusOK {
		return f.options.ContentType
	}
	return "text/plain; charset=utf-8"
}
