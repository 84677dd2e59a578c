package bodies

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/semaphore"
)

// MessageLimits bound the memory of the messages on a listener.
type MessageLimits struct {
	// Arriving is the total size of the messages that are being received, Handled the total uncompressed size of those that are
	// handled at once. Others wait.
	Arriving, Handled int64
	// Uncompressed is the maximum uncompressed size of a message.
	Uncompressed int64
	// Message returns the maximum size in bytes of the message of a call.
	Message func(path string) int64
	// TooLarge is the status of the answer to a larger message.
	TooLarge int
}

// messages limits the total memory used by messages. A message is handled only once it has been received in full, so that a slow
// sender does not delay others. It is safe for concurrent use.
type messages struct {
	limits   MessageLimits
	handler  http.Handler
	arriving *Budget
	handling *semaphore.Weighted
}

// LimitMessages returns a handler that limits the memory of the messages for another one, all of whose calls are unary.
func LimitMessages(handler http.Handler, limits MessageLimits) http.Handler {
	return &messages{
		limits: limits, handler: handler,
		arriving: NewBudget(limits.Arriving), handling: semaphore.NewWeighted(max(limits.Handled, limits.Uncompressed)),
	}
}

// ServeHTTP implements http.Handler.
func (m *messages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := m.limits.Message(r.URL.Path)
	length := r.ContentLength
	if length < 0 || length > limit {
		length = limit
	}
	data, reserved, err := m.arriving.Read(http.MaxBytesReader(w, r.Body, limit), length)
	if err != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(UnreadGrace))
		http.Error(w, err.Error(), m.status(err))
		return
	}
	defer m.arriving.Release(reserved)
	weight := m.uncompressedBytes(r.Header, data)
	if err := m.handling.Acquire(r.Context(), weight); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer m.handling.Release(weight)
	r.Body = io.NopCloser(bytes.NewReader(data))
	m.handler.ServeHTTP(w, r)
}

// uncompressedBytes returns an upper bound on the uncompressed size of a message.
func (m *messages) uncompressedBytes(header http.Header, data []byte) int64 {
	for _, name := range []string{"Content-Encoding", "Grpc-Encoding", "Connect-Content-Encoding"} {
		if header.Get(name) != "" {
			return m.limits.Uncompressed
		}
	}
	return int64(len(data))
}

func (m *messages) status(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return m.limits.TooLarge
	case Full.Has(err):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadRequest
	}
}
