// Package upstream makes single HTTP/1.1 exchanges with workers and reports what
// is known of their outcome.
//
// Each exchange has its own TCP connection, which is closed afterwards. The
// transport therefore cannot replay a request on another connection, and a late
// or duplicated response cannot be mistaken for the response to a later request.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// RequestIDHeader carries the request id to the worker and, if the worker echoes it, back.
const RequestIDHeader = "Agateturn-Request-Id"

// Error classes. Their messages say what to do. Test for them with NotRun.Has(err) and so on.
var (
	// NotRun means that no byte of the request can have reached the worker.
	NotRun = errs.Class("upstream: not run; it may be sent again, also to another worker")
	// OutcomeUnknown means that the worker may have run the request.
	OutcomeUnknown = errs.Class("upstream: outcome unknown; repeat it only if it is idempotent")
	// Aborted means that a part of the response may have been sent to the caller and the rest cannot be sent.
	Aborted = errs.Class("upstream: answer cut; panic with http.ErrAbortHandler so that the caller's connection breaks")
)

// Options are the limits of a Client. A zero field takes its default.
type Options struct {
	// DialTimeout is the longest wait for a connection. Default 2 s.
	DialTimeout time.Duration
	// HeaderTimeout is the longest wait for the response's header after the request was sent. Default: only the context's deadline.
	HeaderTimeout time.Duration
	// BodyIdleTimeout is the longest time between reads of a response's body. It does not apply to upgraded sessions.
	// Default: only the context's deadline.
	BodyIdleTimeout time.Duration
	// CloseWait is the longest wait for the worker to close the connection after the last byte of a response of
	// declared length. Bytes read in this time mean that the length was wrong, unless they start a duplicated response.
	// Default 20 ms.
	CloseWait time.Duration
	// MaxHeaderBytes bounds the response's header. Default 64 KiB.
	MaxHeaderBytes int64
	// BeforeSend is called immediately before the first byte of a request is written. An error prevents
	// the request from being sent, and Do returns NotRun. It must not block. Default: none.
	BeforeSend func(target Target) error
}

// Defaults of Options.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultCloseWait      = 20 * time.Millisecond
	DefaultMaxHeaderBytes = 64 << 10
)

// keepAlivePeriod is the interval of TCP keep-alive probes, which detect an unreachable worker.
const keepAlivePeriod = 15 * time.Second

// Target is the worker that a request is sent to.
type Target struct {
	// Host is the worker's name.
	Host string
	// Address is the worker's ip:port.
	Address string
}

// Request is one request to a worker.
type Request struct {
	Method string
	// Path is the escaped path with the query, if any.
	Path string
	// Header is not modified. Its hop-by-hop fields are not sent, except those of a protocol upgrade.
	Header http.Header
	// Body is read once. It may be nil.
	Body io.Reader
	// ContentLength is the length of Body in bytes; -1 if it is not known.
	ContentLength int64
	// RequestID is sent as RequestIDHeader.
	RequestID string
	// Echo rejects a response that does not carry RequestID in RequestIDHeader.
	Echo bool
	// BeforeSend is called after Options.BeforeSend; its error has the same effect. It must not block and may be nil.
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

// Do sends the request and returns the response once its header has been read. The
// response's body must be closed. The context bounds the whole exchange, including
// reading the body.
//
// Errors: NotRun, OutcomeUnknown.
func (c *Client) Do(ctx context.Context, target Target, request Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	ex := &exchange{beforeSend: c.beforeSendCheck(target, request)}
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
	raw, err := c.transport.RoundTrip(outgoing) //nolint:bodyclose // Response.Body closes it.
	if err != nil {
		sent := ex.seal()
		finish()
		if sent {
			return nil, OutcomeUnknown.Wrap(err)
		}
		return nil, NotRun.Wrap(err)
	}
	response, err := newResponse(raw, ex, request, c.options, finish)
	if err != nil {
		finish()
		return nil, OutcomeUnknown.Wrap(err)
	}
	if response.Status == http.StatusSwitchingProtocols {
		// The transport no longer closes the connection when ctx ends.
		context.AfterFunc(ctx, ex.close)
	}
	return response, nil
}

// beforeSendCheck returns the check that runs before the first byte of the request is written.
func (c *Client) beforeSendCheck(target Target, request Request) func() error {
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

// Active returns the number of exchanges whose responses have not been closed yet, including upgraded sessions.
func (c *Client) Active() int {
	return c.active.count()
}

// Wait waits until no exchange is active. It returns ctx's error if ctx ends first. Do must not be called in the meantime.
func (c *Client) Wait(ctx context.Context) error {
	return c.active.wait(ctx)
}
