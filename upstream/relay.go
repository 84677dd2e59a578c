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
// On an error (Aborted) the caller has a part of the answer: panic with
// http.ErrAbortHandler, because returning from the handler would end a cut body
// as if it were whole.
//
// An answer of 101 Switching Protocols takes over the caller's connection and is
// relayed both ways until both sides have ended.
func Relay(w http.ResponseWriter, resp *Response) (*pb.Outcome, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.Status == http.StatusSwitchingProtocols {
		return relayUpgraded(w, resp)
	}
	announceTrailer(w, resp)
	for field, values := range resp.Header {
		w.Header()[field] = values
	}
	w.WriteHeader(resp.Status)
	if err := copyBody(w, resp); err != nil {
		return resp.Result(), Aborted.Wrap(err)
	}
	for field, values := range resp.answer.Trailer {
		w.Header()[field] = values
	}
	return resp.Result(), nil
}

func announceTrailer(w http.ResponseWriter, resp *Response) {
	for field := range resp.answer.Trailer {
		w.Header().Add("Trailer", field)
	}
}

// copyBody copies until the end of the answer; any other end is an error.
func copyBody(w http.ResponseWriter, resp *Response) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := http.NewResponseController(w).Flush
	for {
		n, readErr := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if resp.ContentLength < 0 {
			if err := flush(); err != nil {
				return err
			}
		}
	}
}
