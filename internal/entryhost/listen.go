package entryhost

import (
	"context"
	"net"
	"net/http"

	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/operatorapi"
)

// listen opens the three listeners. None is left open when one fails.
func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	host := d.settings.GetEntryHost()
	var opened []*server
	open := func(name, address string, handler http.Handler) (*server, error) {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return nil, errListen.New("%s listener on %s: %v", name, address, err)
		}
		s := &server{name: name, listener: listener, server: d.httpServer(handler)}
		opened = append(opened, s)
		return s, nil
	}
	result := &servers{}
	var err error
	if result.callers, err = open("callers", host.GetCallerAddress(), d.callers); err == nil {
		result.operators, err = open("operators", host.GetOperatorAddress(), d.operatorHandler()) //nolint:contextcheck // each request brings its own context
	}
	if err == nil {
		result.peers, err = open("peers", host.GetPeerAddress(), d.peerHandler())
	}
	if err == nil {
		result.peers.listener = trafficMeter(d.stats, trafficPeers).Listener(result.peers.listener)
	}
	if err != nil {
		for _, s := range opened {
			_ = s.listener.Close()
		}
		return nil, err
	}
	return result, nil
}

// httpServer bounds the header's size and time on every listener; bodies are bounded by their handlers.
func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	limits := d.settings.GetLimits()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.GetHeaderTimeout().AsDuration(),
		MaxHeaderBytes:    int(limits.GetMaxHeaderBytes()),
		IdleTimeout:       limits.GetBodyTimeout().AsDuration(),
	}
}

func (d *Daemon) operatorHandler() http.Handler {
	return operatorapi.New(d, operatorapi.Options{
		Token:   d.settings.GetOperator().GetToken(),
		Logger:  d.logger,
		Metrics: d.metricsHandler(),
	})
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	service := &peerService{peers: d.peers, keys: d.keys, view: d.view}
	mux.Handle(agateturnv1connect.NewPeerServiceHandler(service, peerLimits()))
	return mux
}
