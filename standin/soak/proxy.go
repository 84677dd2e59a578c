package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	proxyChunk  = 16 << 10
	dialTimeout = 2 * time.Second
)

// Direction is a direction of a link.
type Direction int

// The directions of a link.
const (
	// Forward is from the side that opened the connection, Backward is to it.
	Forward Direction = iota
	Backward
)

// Harm is the kind of an impairment of one direction of a link.
type Harm string

// The kinds of impairments.
const (
	// Delay delays each chunk of data.
	Delay Harm = "delay"
	// Stall forwards nothing until it ends, with the connection open.
	Stall Harm = "silence"
	// Cut drops the data sent; the connection is reset when the impairment ends.
	Cut Harm = "cut"
	// Reset resets each connection after half of the next chunk.
	Reset Harm = "reset"
	// Refuse resets all connections of the link, and new ones once they are accepted. Close closes the listener instead, so that
	// new connections are refused. Both affect both directions.
	Refuse Harm = "refusal"
	Close  Harm = "closed listener"
)

// Link names a client and its server; an empty From matches all clients.
type Link struct{ From, To string }

// Impairment impairs one direction of a link.
type Impairment struct {
	Link      Link
	Direction Direction
	Harm      Harm
	// Delay applies to the harm of the same name.
	Delay time.Duration
}

// callersName is the From of links from callers to entry hosts.
const callersName = "callers"

// Break records that a server closed a connection after it had read a request and before it answered.
type Break struct {
	Link      Link
	Asked, At time.Time
}

// Proxy forwards connections between processes. It is safe for concurrent use.
type Proxy struct {
	running sync.WaitGroup

	mu          sync.Mutex
	endpoints   []*endpoint
	pairs       map[*pair]bool
	impairments map[*Impairment]bool
	changed     chan struct{}
	closed      bool
	breaks      []Break
}

// endpoint is an address at which a link is offered. Its listener is nil while that is closed.
type endpoint struct {
	link            Link
	address, target string
	listener        net.Listener
}

// pair is a client connection and the server connection to which it is forwarded.
type pair struct {
	link           Link
	client, server *net.TCPConn
	// dataLost is set once data was dropped, clientClosed once the client has closed or reset its side.
	dataLost, clientClosed bool
	requestAt, answeredAt  time.Time
}

// NewProxy returns a Proxy without links.
func NewProxy() *Proxy {
	return &Proxy{pairs: make(map[*pair]bool), impairments: make(map[*Impairment]bool), changed: make(chan struct{})}
}

// Listen forwards connections to an address to a target, as the given link.
func (p *Proxy) Listen(ctx context.Context, link Link, address, target string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &endpoint{link: link, address: address, target: target}
	p.endpoints = append(p.endpoints, e)
	return p.openLocked(ctx, e)
}

func (p *Proxy) openLocked(ctx context.Context, e *endpoint) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.address, err)
	}
	e.address, e.listener = l.Addr().String(), l
	p.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.running.Go(func() { p.serve(ctx, e.link, c.(*net.TCPConn), e.target) }) //nolint:forcetypeassert // the network is tcp
		}
	})
	return nil
}

// updateListenersLocked closes and opens the listeners as the impairments require.
func (p *Proxy) updateListenersLocked(ctx context.Context) error {
	var failed []error
	for _, e := range p.endpoints {
		closed := p.harmedLocked(e.link, Close)
		switch {
		case closed && e.listener != nil:
			_ = e.listener.Close() // Accept returns the error
			e.listener = nil
		case !closed && e.listener == nil && !p.closed:
			failed = append(failed, p.openLocked(ctx, e))
		}
	}
	return errors.Join(failed...)
}

// harmedLocked reports whether a link has one of the harms in any direction.
func (p *Proxy) harmedLocked(link Link, harms ...Harm) bool {
	for i := range p.impairments {
		if i.Link.matches(link) && slices.Contains(harms, i.Harm) {
			return true
		}
	}
	return false
}

// matches reports whether an impairment of the link affects another link.
func (l Link) matches(other Link) bool {
	return l.To == other.To && (l.From == "" || l.From == other.From)
}

// Impair applies an impairment until the returned function is called.
func (p *Proxy) Impair(ctx context.Context, i Impairment) (end func() error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments[&i] = true
	_ = p.updateListenersLocked(ctx) // an impairment opens none
	for pair := range p.pairs {
		if p.harmedLocked(pair.link, Refuse, Close) {
			pair.reset()
		}
	}
	p.notifyLocked()
	return func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.impairments, &i)
		for pair := range p.pairs {
			if pair.dataLost {
				pair.reset()
			}
		}
		p.notifyLocked()
		return p.updateListenersLocked(ctx)
	}
}

func (p *Proxy) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close resets all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, e := range p.endpoints {
		if e.listener != nil {
			_ = e.listener.Close() // Accept returns the error
		}
	}
	for pair := range p.pairs {
		pair.reset()
	}
	p.notifyLocked()
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Proxy) serve(ctx context.Context, link Link, client *net.TCPConn, target string) {
	server, err := p.dial(ctx, link, target)
	if err != nil {
		_ = client.SetLinger(0) // a refused connection of the server becomes a reset for the client
		_ = client.Close()
		return
	}
	conn := &pair{link: link, client: client, server: server.(*net.TCPConn)} //nolint:forcetypeassert // the network is tcp
	p.mu.Lock()
	p.pairs[conn] = true
	reset := p.closed || p.harmedLocked(link, Refuse, Close)
	p.mu.Unlock()
	if reset {
		conn.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(conn, Forward, conn.server, conn.client) })
	both.Go(func() { p.copy(conn, Backward, conn.client, conn.server) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, conn)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

var errRefused = errors.New("the link refuses connections")

func (p *Proxy) dial(ctx context.Context, link Link, target string) (net.Conn, error) {
	p.mu.Lock()
	refused := p.harmedLocked(link, Refuse, Close)
	p.mu.Unlock()
	if refused {
		return nil, errRefused
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", target)
}

// reset resets both connections.
func (conn *pair) reset() {
	for _, c := range []*net.TCPConn{conn.client, conn.server} {
		_ = c.SetLinger(0) // makes Close send a reset
		_ = c.Close()
	}
}

// copy forwards one direction until its end or a failure.
func (p *Proxy) copy(conn *pair, direction Direction, to, from *net.TCPConn) {
	chunk := make([]byte, proxyChunk)
	for {
		n, err := from.Read(chunk)
		p.track(conn, direction, n, err)
		if n > 0 && !p.write(conn, direction, to, chunk[:n]) {
			conn.reset()
			return
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // the other direction continues
			return
		}
		if err != nil {
			conn.reset()
			return
		}
	}
}

// track records the progress of requests. A side that closes with unread data resets the connection, so an end without a
// reset shows that the request was read.
func (p *Proxy) track(conn *pair, direction Direction, n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case direction == Forward && err != nil:
		conn.clientClosed = true
	case direction == Forward:
		conn.requestAt = time.Now()
	case n > 0:
		conn.answeredAt = time.Now()
	case errors.Is(err, io.EOF) && !conn.clientClosed && conn.requestAt.After(conn.answeredAt):
		p.breaks = append(p.breaks, Break{Link: conn.link, Asked: conn.requestAt, At: time.Now()})
	}
}

// Breaks returns the breaks of callers' connections.
func (p *Proxy) Breaks() []Break {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Filter(p.breaks, func(b Break, _ int) bool { return b.Link.From == callersName })
}

// write writes data subject to the impairments of its direction. It returns false if the connection must be reset.
func (p *Proxy) write(conn *pair, direction Direction, to io.Writer, data []byte) bool {
	for {
		impairment, changed, closed := p.impairmentOf(conn, direction)
		if closed {
			return false
		}
		switch impairment.Harm {
		case Stall:
			<-changed
			continue
		case Cut:
			return true
		case Refuse, Close:
			return false
		case Reset:
			_, _ = to.Write(data[:len(data)/2]) // the reset discards the rest
			return false
		case Delay:
			time.Sleep(impairment.Delay)
		}
		_, err := to.Write(data)
		return err == nil
	}
}

// impairmentOf returns the impairment of one direction of a pair, the zero value for none.
func (p *Proxy) impairmentOf(conn *pair, direction Direction) (impairment Impairment, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.impairments {
		if i.Direction == direction && i.Link.matches(conn.link) {
			conn.dataLost = conn.dataLost || i.Harm == Cut
			return *i, p.changed, p.closed
		}
	}
	return Impairment{}, p.changed, p.closed
}
