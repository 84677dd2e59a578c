package peers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/bodies"
)

const (
	// peerBodyBytes limits the total size of the messages from peers that are being received.
	peerBodyBytes = 4 << 20
	// heartbeatLimit is the maximum size of a heartbeat in bytes; smallLimit is that of calls that carry only names and
	// numbers.
	heartbeatLimit = 256 << 10
	smallLimit     = 8 << 10
	// peerWorkBytes limits the total uncompressed size of the messages from peers that are handled at once. Others wait.
	peerWorkBytes = peerMessageLimit
)

// peerBodies limits the total memory used by messages on the listener for peers. A message is handled only once it has
// been received in full, so that a slow sender does not delay others. peerBodies is safe for concurrent use.
type peerBodies struct {
	handler  http.Handler
	arriving *bodies.Budget
	handling *semaphore.Weighted
}

func newPeerBodies(handler http.Handler) *peerBodies {
	return &peerBodies{
		handler:  handler,
		arriving: bodies.NewBudget(peerBodyBytes),
		handling: semaphore.NewWeighted(peerWorkBytes),
	}
}

// ServeHTTP implements http.Handler.
func (b *peerBodies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := messageLimit(r.URL.Path)
	length := r.ContentLength
	if length < 0 || length > limit {
		length = limit
	}
	data, reserved, err := b.arriving.Read(http.MaxBytesReader(w, r.Body, limit), length)
	if err != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodies.UnreadGrace))
		http.Error(w, err.Error(), peerStatus(err))
		return
	}
	defer b.arriving.Release(reserved)
	weight := uncompressedBytes(r.Header, data)
	if err := b.handling.Acquire(r.Context(), weight); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer b.handling.Release(weight)
	r.Body = io.NopCloser(bytes.NewReader(data))
	b.handler.ServeHTTP(w, r)
}

// messageLimit returns the maximum size in bytes of the message of a call. Only a staged configuration is large.
func messageLimit(path string) int64 {
	switch path {
	case agateturnv1connect.PeerServiceStageProcedure:
		return peerMessageLimit
	case agateturnv1connect.PeerServiceExchangeProcedure:
		return heartbeatLimit
	default:
		return smallLimit
	}
}

// uncompressedBytes returns an upper bound on the uncompressed size of a message.
func uncompressedBytes(header http.Header, data []byte) int64 {
	for _, name := range []string{"Content-Encoding", "Grpc-Encoding", "Connect-Content-Encoding"} {
		if header.Get(name) != "" {
			return peerMessageLimit
		}
	}
	return int64(len(data))
}

func peerStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusTooManyRequests // the status of the protocol for an exhausted resource
	case bodies.Full.Has(err):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadRequest
	}
}
