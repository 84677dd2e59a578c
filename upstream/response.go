package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

var errCut = errors.New("the answer was cut short")

// Response is a worker's answer. It is used by one goroutine, but for an
// upgraded session, which may be read and written at once.
type Response struct {
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body must be closed. Its Read returns an error, not io.EOF, if the answer was cut.
	Body io.ReadCloser
	// ContentLength is the declared length of the body in bytes; -1 if it is sent in chunks.
	ContentLength int64

	answer  *http.Response
	ex      *exchange
	upgrade string
	mu      sync.Mutex
	whole   bool
}

// newResponse checks the answer and returns its form for the caller of Do.
func newResponse(answer *http.Response, ex *exchange, request Request, options Options, finish func()) (*Response, error) {
	if err := checkAnswer(answer, request); err != nil {
		return nil, err
	}
	r := &Response{
		Status:        answer.StatusCode,
		Header:        endToEnd(answer.Header),
		ContentLength: answer.ContentLength,
		answer:        answer,
		ex:            ex,
	}
	b := &body{response: r, closeWait: options.CloseWait, finish: finish}
	r.Body = b
	if answer.StatusCode == http.StatusSwitchingProtocols {
		r.upgrade = answer.Header.Get("Upgrade")
		ex.conn.expect(undeclared)
		return r, nil
	}
	ex.conn.limitIdle(options.BodyIdleTimeout)
	b.left = declaredLength(answer, request)
	ex.conn.expect(b.left)
	if b.left == 0 {
		return r, ex.conn.checkSurplus(options.CloseWait)
	}
	return r, nil
}

// declaredLength returns the declared length in bytes of the body that follows the header, or undeclared.
func declaredLength(answer *http.Response, request Request) int64 {
	if !hasBody(answer, request) {
		return undeclared
	}
	return answer.ContentLength
}

// hasBody reports whether a body may follow the header.
func hasBody(answer *http.Response, request Request) bool {
	return request.Method != http.MethodHead &&
		answer.StatusCode != http.StatusNoContent &&
		answer.StatusCode != http.StatusNotModified
}

// Result returns how the request ended as far as the answer has been read: done
// once the whole body was read, unknown before.
func (r *Response) Result() *pb.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.whole {
		return &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_DONE, Status: int32(r.Status)}
	}
	return &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}
}

func (r *Response) setWhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = true
}

// body reads an answer's body and ends the exchange when it is closed.
type body struct {
	response  *Response
	closeWait time.Duration
	finish    func()
	left      int64 // bytes to come, or undeclared
}

// Read implements io.Reader. It withholds the last bytes of a declared length until it is known that no more follow.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.answer.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, errors.Join(errCut, err)
	}
	if n > 0 && b.left > 0 {
		b.left -= int64(n)
		if b.left == 0 {
			if err := b.response.ex.conn.checkSurplus(b.closeWait); err != nil {
				return 0, err
			}
		}
	}
	if err != nil {
		b.response.setWhole()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.response.answer.Body.Close()
	b.finish()
	return err
}
