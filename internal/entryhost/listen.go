package entryhost

import (
	"context"
	"net"
	"net/http"

	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/callers"
	"github.com/agateturn/agateturn/internal/intake"
	"github.com/agateturn/agateturn/internal/limitlisten"
	"github.com/agateturn/agateturn/internal/measures"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/internal/peers"
)

const (
	// callerConnections is the number of concurrent callers' connections allowed for each request that may be in progress.
	callerConnections = 2
	// peerConnections and operatorConnections limit the concurrent connections of the other listeners.
	peerConnections     = 1024
	operatorConnections = 256
	// serviceHeaderBytes is the memory that the headers on each of these listeners may use.
	serviceHeaderBytes = 4 << 20

	// fullAnswer is sent on a connection beyond the limit, and to a request whose header does not fit into the memory for headers.
	// It has the form of a refused request's answer.
	fullAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + callers.HeaderOutcome + ": not-run\r\nRetry-After: 1\r\n" +
		"Content-Type: application/json\r\nContent-Length: 102\r\nConnection: close\r\n\r\n" + fullBody
	fullBody = `{"outcome":"not-run","reason":"this entry host holds its limit of connections","retry_after_ms":1000}` + "\n"
)

// rejectFull answers a request whose header does not fit into the memory for headers.
func rejectFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callers.HeaderOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(fullBody))
}

// listen opens the three listeners. If one fails, it closes the others.
func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	host, limits := d.settings.GetEntryHost(), d.settings.GetLimits()
	var opened []*server
	open := func(name, address string, connections, headerBytes int64, handler http.Handler) (*server, error) {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return nil, errListen.New("%s listener on %s: %v", name, address, err)
		}
		limited := limitlisten.New(listener.(*net.TCPListener), int(connections), []byte(fullAnswer))
		s := &server{name: name, server: d.httpServer(handler)}
		s.listener = intake.Listen(limited, s.server, intake.Options{
			Budget: bodies.NewBudget(headerBytes), Full: fullAnswer, RejectFull: rejectFull,
		})
		opened = append(opened, s)
		return s, nil
	}
	result := &servers{}
	var err error
	if result.callers, err = open("callers", host.GetCallerAddress(), callerConnections*limits.GetMaxRequests(), limits.GetMaxHeldHeaderBytes(), d.callers); err == nil {
		result.operators, err = open("operators", host.GetOperatorAddress(), operatorConnections, serviceHeaderBytes, d.operatorHandler()) //nolint:contextcheck // each request has its own context
	}
	if err == nil {
		result.peers, err = open("peers", host.GetPeerAddress(), peerConnections, serviceHeaderBytes, peers.NewHandler(d.peers, d.keys, d.detector))
	}
	if err == nil {
		d.limitReadTime(result.operators, result.peers)
		result.peers.listener = measures.TrafficMeter(d.stats, measures.TrafficPeers).Listener(result.peers.listener)
	}
	if err != nil {
		for _, s := range opened {
			_ = s.listener.Close()
		}
		return nil, err
	}
	return result, nil
}

// httpServer returns a server that limits the size and read time of headers. Handlers limit the bodies.
func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	limits := d.settings.GetLimits()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.GetHeaderTimeout().AsDuration(),
		MaxHeaderBytes:    int(limits.GetMaxHeaderBytes()),
		IdleTimeout:       limits.GetBodyTimeout().AsDuration(),
	}
}

// limitReadTime limits the read time of whole requests on servers whose handlers do not limit it.
func (d *Daemon) limitReadTime(all ...*server) {
	limits := d.settings.GetLimits()
	for _, s := range all {
		s.server.ReadTimeout = limits.GetHeaderTimeout().AsDuration() + limits.GetBodyTimeout().AsDuration()
	}
}

func (d *Daemon) operatorHandler() http.Handler {
	return operatorapi.New(d.operations, operatorapi.Options{
		Token:   d.settings.GetOperator().GetToken(),
		Logger:  d.logger,
		Metrics: d.gauges.Handler(),
	})
}
