package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// copyBufferBytes is the size of the buffer for relaying one answer.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Relay copies the answer to a caller and closes its body. It flushes a chunked
// answer after each read. It returns the outcome of the request.
//
// Errors: OutcomeUnknown if nothing has been written to w, so that the entry host
// may still write its own answer. Aborted if a part of the answer has been sent:
// panic with http.ErrAbortHandler, because returning from the handler would end a
// truncated chunked body as if it were complete.
//
// An answer of 101 Switching Protocols takes over the caller's connection and is
// relayed in both directions until both sides have ended.
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
		// An answer of declared length need not be flushed early, so a short one is relayed completely or not at all.
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

// fill reads until p is full or a read fails. It returns the number of bytes read and the error, io.EOF included.
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

// copyBody copies the body until io.EOF and returns any other error. The buffer holds the first n bytes, read earlier with
// the error readErr.
func copyBody(w http.ResponseWriter, resp *Response, buffer []byte, n int, readErr error) error {
	chunked := resp.ContentLength < 0
	for {
		if err := writeNonEmpty(w, buffer[:n]); err != nil {
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

// writeNonEmpty writes p unless it is empty, because an answer without a body allows no write.
func writeNonEmpty(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}
