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
	// peerBodyBytes bounds the bytes of peers' messages that are held while they arrive.
	peerBodyBytes = 4 << 20
	// heartbeatLimit bounds a heartbeat, in bytes; smallLimit bounds the calls that carry only names and numbers.
	heartbeatLimit = 256 << 10
	smallLimit     = 8 << 10
	// peerWorkBytes bounds the bytes of peers' messages, unpacked, that are handled at once; the others wait.
	peerWorkBytes = peerMessageLimit
)

// peerBodies bounds the memory that messages on the peers' listener may take in sum. A message is handled when it has
// come whole, so that a slow sender holds up no other. It is safe for concurrent use.
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
	data, taken, err := b.arriving.Read(http.MaxBytesReader(w, r.Body, limit), length)
	if err != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodies.UnreadGrace))
		http.Error(w, err.Error(), peerStatus(err))
		return
	}
	defer b.arriving.Release(taken)
	weight := unpackedBytes(r.Header, data)
	if err := b.handling.Acquire(r.Context(), weight); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer b.handling.Release(weight)
	r.Body = io.NopCloser(bytes.NewReader(data))
	b.handler.ServeHTTP(w, r)
}

// messageLimit is the largest message of a call: only a staged configuration is large.
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

// unpackedBytes is the most that a message may take once it is unpacked.
func unpackedBytes(header http.Header, data []byte) int64 {
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
		return http.StatusTooManyRequests // what the protocol says of a message that exceeds a resource
	case bodies.Full.Has(err):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadRequest
	}
}
