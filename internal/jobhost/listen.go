package jobhost

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/intake"
	"github.com/agateturn/agateturn/internal/limitlisten"
)

const (
	// readHeaderTimeout bounds reading a request header on every listener except that for callers, readTimeout a whole request, and
	// idleTimeout the wait for the next one; probeIdleTimeout the same on the listeners for readiness checks and metrics.
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	probeIdleTimeout  = 10 * time.Second
	// peerConnections, operatorConnections and probeConnections limit the concurrent connections of the listeners for peers,
	// for operators, and for readiness checks and metrics.
	peerConnections     = 1024
	operatorConnections = 256
	probeConnections    = 256
	// maxServiceHeaderBytes is the largest header on these listeners, serviceHeaderBytes the memory that the headers on one of
	// them may use. Each has memory of its own, so that none keeps another from serving.
	maxServiceHeaderBytes = 16 << 10
	serviceHeaderBytes    = 2 << 20
	// maxPeerMessageBytes is the largest message of a peer, arrivingBytes and handledBytes the memory of the messages that are being
	// received and handled.
	maxPeerMessageBytes = 8 << 20
	arrivingBytes       = 10 << 20
	handledBytes        = 2 * maxPeerMessageBytes
	// fullResponse is sent on a connection beyond the limit, and to a request whose header does not fit into the memory for headers.
	fullResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

const (
	// defaultMemory is the memory that is assumed if the settings have none.
	defaultMemory = 512 << 20
	// Callers' headers, and their bodies, may use one part in requestShare of the memory; their connections, of connectionBytes
	// each, one in connectionShare.
	requestShare    = 8
	connectionShare = 3
	connectionBytes = 24 << 10
)

// memory returns the memory in bytes that the process may use.
func (h *Host) memory() int64 {
	return cmp.Or(h.settings.Load().GetJobHost().GetMemoryMb()<<20, defaultMemory)
}

// endpoint is one of the listeners other than that for callers.
type endpoint struct {
	address     string
	connections int
	idleTimeout time.Duration
	handler     http.Handler
	// wrap may wrap the listener; nil means that nothing does.
	wrap func(net.Listener) net.Listener
}

// serve listens, and serves the endpoint until ctx ends.
func (h *Host) serve(ctx context.Context, group *errgroup.Group, e endpoint) error {
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: e.idleTimeout,
		MaxHeaderBytes: maxServiceHeaderBytes,
	}
	l := intake.Listen(limitlisten.New(inner.(*net.TCPListener), e.connections, []byte(fullResponse)), server, intake.Options{
		Budget: bodies.NewBudget(serviceHeaderBytes), Full: fullResponse, RejectFull: rejectFull,
	})
	if e.wrap != nil {
		l = e.wrap(l)
	}
	group.Go(func() error { return ignoreAfterCancel(ctx, server.Serve(l)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

func rejectFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// peerMessages limits the memory of the messages from peers.
func peerMessages(handler http.Handler) http.Handler {
	return bodies.LimitMessages(handler, bodies.MessageLimits{
		Arriving: arrivingBytes, Handled: handledBytes, Uncompressed: maxPeerMessageBytes,
		Message:  func(string) int64 { return maxPeerMessageBytes },
		TooLarge: http.StatusTooManyRequests, // the status of the protocol for an exhausted resource
	})
}
