package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

var errTruncated = errors.New("the answer was cut short")

// Response is a worker's response. It is not safe for concurrent use, except that
// an upgraded session may be read and written concurrently.
type Response struct {
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body must be closed. Its Read returns an error other than io.EOF if the response is truncated.
	Body io.ReadCloser
	// ContentLength is the declared length of the body in bytes; -1 if it is sent in chunks, or if a response without a
	// body declares none.
	ContentLength int64

	raw      *http.Response
	ex       *exchange
	upgrade  string
	mu       sync.Mutex
	complete bool
}

// newResponse validates the response and wraps it for the caller of Do.
func newResponse(raw *http.Response, ex *exchange, request Request, options Options, finish func()) (*Response, error) {
	if err := checkResponse(raw, request); err != nil {
		return nil, err
	}
	r := &Response{
		Status:        raw.StatusCode,
		Header:        endToEnd(raw.Header),
		ContentLength: raw.ContentLength,
		raw:           raw,
		ex:            ex,
	}
	b := &body{response: r, closeWait: options.CloseWait, finish: finish}
	r.Body = b
	if raw.StatusCode == http.StatusSwitchingProtocols {
		r.upgrade = raw.Header.Get("Upgrade")
		ex.conn.expect(undeclared)
		return r, nil
	}
	ex.conn.limitIdle(options.BodyIdleTimeout)
	b.remaining = declaredLength(raw, request)
	ex.conn.expect(b.remaining)
	if b.remaining == 0 {
		return r, ex.conn.checkSurplus(options.CloseWait)
	}
	return r, nil
}

// declaredLength returns the length in bytes that the response declares for its body, or undeclared.
func declaredLength(raw *http.Response, request Request) int64 {
	if !hasBody(raw, request) {
		return undeclared
	}
	return raw.ContentLength
}

// hasBody reports whether a body may follow the header.
func hasBody(raw *http.Response, request Request) bool {
	return request.Method != http.MethodHead &&
		raw.StatusCode != http.StatusNoContent &&
		raw.StatusCode != http.StatusNotModified
}

// Outcome returns the outcome of the request as far as the response has been read:
// done once the whole body has been read or an upgraded session has ended without an error, unknown before.
func (r *Response) Outcome() *pb.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.complete {
		return &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_DONE, Status: int32(r.Status)}
	}
	return &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}
}

func (r *Response) setComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// body is the body of a response. Closing it ends the exchange.
type body struct {
	response  *Response
	closeWait time.Duration
	finish    func()
	remaining int64 // bytes not yet read, or undeclared
}

// Read implements io.Reader. It returns the last bytes of a body of declared length only after the check for surplus bytes.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.raw.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, errors.Join(errTruncated, err)
	}
	if n > 0 && b.remaining > 0 {
		b.remaining -= int64(n)
		if b.remaining == 0 {
			if err := b.response.ex.conn.checkSurplus(b.closeWait); err != nil {
				return 0, err
			}
		}
	}
	if err != nil {
		b.response.setComplete()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.response.raw.Body.Close()
	b.finish()
	return err
}
