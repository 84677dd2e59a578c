package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// copyBufferBytes is the memory that relaying one answer takes.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Relay copies the answer to a caller, flushing what comes in chunks at once,
// and closes its body. It returns how the request ended.
//
// Errors: OutcomeUnknown if nothing has been written to w, which may then get
// an answer of the entry host's own. Aborted if the caller has a part of the
// answer: panic with http.ErrAbortHandler, because returning from the handler
// would end a cut body as if it were whole.
//
// An answer of 101 Switching Protocols takes over the caller's connection and is
// relayed both ways until both sides have ended.
func Relay(w http.ResponseWriter, resp *Response) (*pb.Outcome, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.Status == http.StatusSwitchingProtocols {
		return relayUpgraded(w, resp)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	first := 0
	var readErr error
	if resp.ContentLength >= 0 {
		// Such an answer is in no hurry: a short one is passed on whole or not at all.
		first, readErr = fill(resp.Body, buffer[:])
	}
	if readErr != nil && !errors.Is(readErr, io.EOF) {
		return resp.Result(), OutcomeUnknown.Wrap(readErr)
	}
	writeHeader(w, resp)
	if err := copyBody(w, resp, buffer[:], first, readErr); err != nil {
		return resp.Result(), Aborted.Wrap(err)
	}
	for field, values := range resp.answer.Trailer {
		w.Header()[field] = values
	}
	return resp.Result(), nil
}

// fill reads until p is full or an error, io.EOF included, and returns both.
func fill(body io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		read, err := body.Read(p[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func writeHeader(w http.ResponseWriter, resp *Response) {
	announceTrailer(w, resp)
	for field, values := range resp.Header {
		w.Header()[field] = values
	}
	w.WriteHeader(resp.Status)
}

func announceTrailer(w http.ResponseWriter, resp *Response) {
	for field := range resp.answer.Trailer {
		w.Header().Add("Trailer", field)
	}
}

// copyBody copies until the end of the answer; any other end is an error. The buffer holds what has been read already,
// with the error of that read.
func copyBody(w http.ResponseWriter, resp *Response, buffer []byte, n int, readErr error) error {
	chunked := resp.ContentLength < 0
	for {
		if err := writeSome(w, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if chunked {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
		n, readErr = resp.Body.Read(buffer)
	}
}

// writeSome writes p unless it is empty: an answer without a body permits no write.
func writeSome(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}
