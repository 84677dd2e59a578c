package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// copyBufferBytes is the size of the buffer for relaying one response.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Relay copies the response to a caller and closes its body. It flushes a chunked
// response after each read. It returns the outcome of the request.
//
// Errors: OutcomeUnknown if reading the response failed before anything was
// written to w; the worker may have run the request, and the entry host may still
// write a response of its own. Aborted if a part of the response may have been
// sent; the handler must then panic with http.ErrAbortHandler, because returning
// would end a truncated chunked body as if it were complete.
//
// A 101 Switching Protocols response takes over the caller's connection, which is
// relayed in both directions until each side has closed its direction.
func Relay(w http.ResponseWriter, resp *Response) (*pb.Outcome, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.Status == http.StatusSwitchingProtocols {
		return relayUpgraded(w, resp)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	prefilled := 0
	var readErr error
	if resp.ContentLength >= 0 {
		// With a declared length, the first copyBufferBytes are read before the header is written. If reading a body that fits
		// in the buffer fails, nothing has been sent.
		prefilled, readErr = fill(resp.Body, buffer[:])
	}
	if readErr != nil && !errors.Is(readErr, io.EOF) {
		return resp.Outcome(), OutcomeUnknown.Wrap(readErr)
	}
	writeHeader(w, resp)
	if err := copyBody(w, resp, buffer[:], prefilled, readErr); err != nil {
		return resp.Outcome(), Aborted.Wrap(err)
	}
	for field, values := range resp.raw.Trailer {
		w.Header()[field] = values
	}
	return resp.Outcome(), nil
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
	for field := range resp.raw.Trailer {
		w.Header().Add("Trailer", field)
	}
}

// copyBody copies the body until io.EOF and returns any other error. The buffer holds the first n bytes, read earlier with
// the error readErr.
func copyBody(w http.ResponseWriter, resp *Response, buffer []byte, n int, readErr error) error {
	chunked := resp.ContentLength < 0 // checkResponse has rejected a body that is delimited by the end of the connection
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

// writeNonEmpty writes p unless it is empty: Write may return http.ErrBodyNotAllowed for a response without a body, even if
// p is empty.
func writeNonEmpty(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}
