package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	listeners   []net.Listener
	pairs       map[*pair]bool
	impairments map[*Impairment]bool
	changed     chan struct{}
	closed      bool
	breaks      []Break
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
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	p.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.running.Go(func() { p.serve(ctx, link, c.(*net.TCPConn), target) }) //nolint:forcetypeassert // the network is tcp
		}
	})
	return nil
}

// Impair applies an impairment until the returned function is called.
func (p *Proxy) Impair(i Impairment) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments[&i] = true
	p.notifyLocked()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.impairments, &i)
		for pair := range p.pairs {
			if pair.dataLost {
				pair.reset()
			}
		}
		p.notifyLocked()
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
	for _, l := range p.listeners {
		_ = l.Close() // Accept returns the error
	}
	for pair := range p.pairs {
		pair.reset()
	}
	p.notifyLocked()
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Proxy) serve(ctx context.Context, link Link, client *net.TCPConn, target string) {
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", target)
	if err != nil {
		_ = client.SetLinger(0) // a refused connection of the server becomes a reset for the client
		_ = client.Close()
		return
	}
	conn := &pair{link: link, client: client, server: server.(*net.TCPConn)} //nolint:forcetypeassert // the network is tcp
	p.mu.Lock()
	p.pairs[conn] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
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
		if i.Direction == direction && i.Link.To == conn.link.To && (i.Link.From == "" || i.Link.From == conn.link.From) {
			conn.dataLost = conn.dataLost || i.Harm == Cut
			return *i, p.changed, p.closed
		}
	}
	return Impairment{}, p.changed, p.closed
}
