package carry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/meterconn"
)

const (
	dialTimeout       = 300 * time.Millisecond
	keepAliveInterval = 5 * time.Second
	idleTimeout       = 10 * time.Second
	// connectionsPerCarrier are enough for a wait for results, a batch of calls, and one of each by another term.
	connectionsPerCarrier = 4
	// maxAddresses bounds the addresses for which a client is kept.
	maxAddresses = 256
)

// HTTPPeers calls carriers over HTTP. It is safe for concurrent use.
type HTTPPeers struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]agateturnv1connect.CarrierServiceClient
}

// NewHTTPPeers returns the calls to carriers; meter counts their bytes.
func NewHTTPPeers(meter meterconn.Meter) *HTTPPeers {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &HTTPPeers{
		clients: map[string]agateturnv1connect.CarrierServiceClient{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         meter.Dialer(dialer.DialContext),
			MaxConnsPerHost:     connectionsPerCarrier,
			MaxIdleConnsPerHost: connectionsPerCarrier,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (p *HTTPPeers) Close() { p.http.CloseIdleConnections() }

// SubmitCalls implements Peers.
func (p *HTTPPeers) SubmitCalls(ctx context.Context, address string, r *pb.SubmitCallsRequest) error {
	_, err := p.client(address).SubmitCalls(ctx, connect.NewRequest(r))
	return p.check(err)
}

// CollectCalls implements Peers.
func (p *HTTPPeers) CollectCalls(ctx context.Context, address string, r *pb.CollectCallsRequest) ([]*pb.CarriedResult, error) {
	answer, err := p.client(address).CollectCalls(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, p.check(err)
	}
	return answer.Msg.GetResults(), nil
}

// check closes the idle connections after a call that timed out: one that was lost without a reset would make the next call
// time out as well.
func (p *HTTPPeers) check(err error) error {
	if err != nil && connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		p.http.CloseIdleConnections()
	}
	return err
}

func (p *HTTPPeers) client(address string) agateturnv1connect.CarrierServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		if len(p.clients) >= maxAddresses {
			clear(p.clients)
		}
		c = agateturnv1connect.NewCarrierServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		p.clients[address] = c
	}
	return c
}
