// Package upstream makes single HTTP/1.1 exchanges with workers and says what
// may be claimed of their outcome.
//
// Each exchange has a TCP connection of its own, which is closed afterwards. So
// the transport has nothing to replay a request on, and an answer that comes
// late or twice has no later request that it could be taken for.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// RequestIDHeader carries the correlation identity of a request to the worker and, where the worker echoes it, back.
const RequestIDHeader = "Agateturn-Request-Id"

// Error kinds. Their messages name the remedy. Test for them with Kind.Has(err).
var (
	// NotRun means that no byte of the request can have reached the worker.
	NotRun = errs.Class("upstream: not run; it may be sent again, also to another worker")
	// OutcomeUnknown means that the worker may have run the request.
	OutcomeUnknown = errs.Class("upstream: outcome unknown; repeat it only if it is idempotent")
	// Aborted means that a part of the answer has been sent to the caller and the rest cannot be.
	Aborted = errs.Class("upstream: answer cut; panic with http.ErrAbortHandler so that the caller's connection breaks")
)

// Options are the bounds of a Client. A zero field takes its default.
type Options struct {
	// DialTimeout is the longest wait for a connection. Default 2 s.
	DialTimeout time.Duration
	// HeaderTimeout is the longest wait for the answer's header after the request was sent. Default: none but the context's.
	HeaderTimeout time.Duration
	// BodyIdleTimeout is the longest silence within an answer's body, upgraded sessions excepted. Default: none but the context's.
	BodyIdleTimeout time.Duration
	// CloseWait is the longest wait for the worker to close the connection after the last byte of an answer of
	// declared length. Bytes found there instead mean that the length was wrong. Default 20 ms.
	CloseWait time.Duration
	// MaxHeaderBytes bounds the answer's header. Default 64 KiB.
	MaxHeaderBytes int64
	// BeforeSend is called immediately before the first byte of a request is written. An error keeps the
	// request from being sent: the exchange is NotRun. It must not block. Default: none.
	BeforeSend func(target Target) error
}

// Defaults of Options.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultCloseWait      = 20 * time.Millisecond
	DefaultMaxHeaderBytes = 64 << 10
)

// keepAlivePeriod is the time between TCP keep-alive probes, by which a vanished worker is noticed.
const keepAlivePeriod = 15 * time.Second

// Target is the worker that a request goes to.
type Target struct {
	// Host is the worker's name.
	Host string
	// Address is its ip:port.
	Address string
}

// Request is one request to a worker.
type Request struct {
	Method string
	// Path is the escaped path with the query, if any.
	Path string
	// Header is not changed. Hop-by-hop fields in it are not sent, but for a protocol upgrade.
	Header http.Header
	// Body is read once; nil for none.
	Body io.Reader
	// ContentLength is the length of Body in bytes; -1 if it is not known.
	ContentLength int64
	// RequestID is sent as RequestIDHeader.
	RequestID string
	// Echo refuses an answer that does not carry RequestID in RequestIDHeader.
	Echo bool
	// BeforeSend is called as Options.BeforeSend is, and after it; nil for none.
	BeforeSend func() error
}

// Client makes exchanges. It is safe for concurrent use.
type Client struct {
	options   Options
	dialRaw   func(ctx context.Context, network, address string) (net.Conn, error)
	transport *http.Transport
	active    tracker
}

// New returns a Client.
func New(options Options) *Client {
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.CloseWait <= 0 {
		options.CloseWait = DefaultCloseWait
	}
	if options.MaxHeaderBytes <= 0 {
		options.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	dialer := net.Dialer{Timeout: options.DialTimeout, KeepAlive: keepAlivePeriod}
	c := &Client{options: options, dialRaw: dialer.DialContext}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		Protocols:              protocols,
		DialContext:            c.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ResponseHeaderTimeout:  options.HeaderTimeout,
		MaxResponseHeaderBytes: options.MaxHeaderBytes,
	}
	return c
}

// Do sends the request and returns the answer when its header is there. The
// answer's body must be closed. The context bounds the whole exchange, the
// reading of the body included.
//
// Errors: NotRun, OutcomeUnknown.
func (c *Client) Do(ctx context.Context, target Target, request Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	ex := &exchange{beforeSend: c.hooks(target, request)}
	outgoing, err := newOutgoing(ex.context(ctx), target, request)
	if err != nil {
		cancel()
		return nil, NotRun.Wrap(err)
	}
	done := c.active.add()
	finish := func() {
		cancel()
		ex.close()
		done()
	}
	answer, err := c.transport.RoundTrip(outgoing) //nolint:bodyclose // Response.Body closes it.
	if err != nil {
		sent := ex.seal()
		finish()
		if sent {
			return nil, OutcomeUnknown.Wrap(err)
		}
		return nil, NotRun.Wrap(err)
	}
	response, err := newResponse(answer, ex, request, c.options, finish)
	if err != nil {
		finish()
		return nil, OutcomeUnknown.Wrap(err)
	}
	if response.Status == http.StatusSwitchingProtocols {
		// The transport has let go of the connection.
		context.AfterFunc(ctx, ex.close)
	}
	return response, nil
}

// hooks returns what is called before the first byte of the request is written.
func (c *Client) hooks(target Target, request Request) func() error {
	return func() error {
		if c.options.BeforeSend != nil {
			if err := c.options.BeforeSend(target); err != nil {
				return err
			}
		}
		if request.BeforeSend != nil {
			return request.BeforeSend()
		}
		return nil
	}
}

// Active returns the number of exchanges whose answers have not been closed yet, upgraded sessions included.
func (c *Client) Active() int {
	return c.active.count()
}

// Wait returns when no exchange is active, or with ctx's error. Begin no exchanges meanwhile.
func (c *Client) Wait(ctx context.Context) error {
	return c.active.wait(ctx)
}
