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

// Way is a direction of a link.
type Way int

// The ways of a link.
const (
	// Forth is from the side that made the connection, Back is to it.
	Forth Way = iota
	Back
)

// Harm is what happens to one way of a link.
type Harm string

// The harms of links.
const (
	// Delay holds each piece of data up.
	Delay Harm = "delay"
	// Silence passes nothing on until it ends, with the connection open.
	Silence Harm = "silence"
	// Cut loses what is sent; the connection is reset when it ends.
	Cut Harm = "cut"
	// Reset breaks each connection midway through the next data.
	Reset Harm = "reset"
)

// Link names a caller and what it calls; From is empty for all callers.
type Link struct{ From, To string }

// Impairment is a harm of one way of a link.
type Impairment struct {
	Link Link
	Way  Way
	Harm Harm
	// Delay is for the harm of that name.
	Delay time.Duration
}

// callersName is From on the links of callers to entry hosts.
const callersName = "callers"

// Break is the end of a connection by the called side, which had read a request and not answered it.
type Break struct {
	Link      Link
	Asked, At time.Time
}

// Proxy passes connections on between processes. It is safe for concurrent use.
type Proxy struct {
	running sync.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
	pairs     map[*pair]bool
	harms     map[*Impairment]bool
	changed   chan struct{}
	closed    bool
	breaks    []Break
}

// pair is a connection and the one that it is passed on to.
type pair struct {
	link           Link
	caller, called *net.TCPConn
	// lossy is set once data was lost, left once the caller has closed or broken its side.
	lossy, left     bool
	asked, answered time.Time
}

// NewProxy returns a Proxy without links.
func NewProxy() *Proxy {
	return &Proxy{pairs: make(map[*pair]bool), harms: make(map[*Impairment]bool), changed: make(chan struct{})}
}

// Listen passes on what comes to an address as a link to a target.
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
			p.running.Go(func() { p.serve(ctx, link, c.(*net.TCPConn), target) }) //nolint:forcetypeassert // by its network
		}
	})
	return nil
}

// Harm brings an impairment about until the returned function is called.
func (p *Proxy) Harm(i Impairment) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harms[&i] = true
	p.wakeLocked()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.harms, &i)
		for pair := range p.pairs {
			if pair.lossy {
				pair.reset()
			}
		}
		p.wakeLocked()
	}
}

func (p *Proxy) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends all connections and waits for them.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, l := range p.listeners {
		_ = l.Close() // Accept tells
	}
	for pair := range p.pairs {
		pair.reset()
	}
	p.wakeLocked()
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Proxy) serve(ctx context.Context, link Link, caller *net.TCPConn, target string) {
	called, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", target)
	if err != nil {
		_ = caller.SetLinger(0) // refused there, reset here
		_ = caller.Close()
		return
	}
	one := &pair{link: link, caller: caller, called: called.(*net.TCPConn)} //nolint:forcetypeassert // by its network
	p.mu.Lock()
	p.pairs[one] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		one.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(one, Forth, one.called, one.caller) })
	both.Go(func() { p.copy(one, Back, one.caller, one.called) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, one)
	p.mu.Unlock()
	_ = caller.Close()
	_ = called.Close()
}

// reset breaks both connections.
func (one *pair) reset() {
	for _, c := range []*net.TCPConn{one.caller, one.called} {
		_ = c.SetLinger(0) // a reset in place of an end
		_ = c.Close()
	}
}

// copy passes one way on until its end or a break.
func (p *Proxy) copy(one *pair, way Way, to, from *net.TCPConn) {
	chunk := make([]byte, proxyChunk)
	for {
		n, err := from.Read(chunk)
		p.note(one, way, n, err)
		if n > 0 && !p.pass(one, way, to, chunk[:n]) {
			one.reset()
			return
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // the other way goes on
			return
		}
		if err != nil {
			one.reset()
			return
		}
	}
}

// note keeps what is known of requests under way. A side that closes with data unread resets the connection, so that an
// end without a reset tells that the request was read.
func (p *Proxy) note(one *pair, way Way, n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case way == Forth && err != nil:
		one.left = true
	case way == Forth:
		one.asked = time.Now()
	case n > 0:
		one.answered = time.Now()
	case errors.Is(err, io.EOF) && !one.left && one.asked.After(one.answered):
		p.breaks = append(p.breaks, Break{Link: one.link, Asked: one.asked, At: time.Now()})
	}
}

// Breaks are those of callers' connections.
func (p *Proxy) Breaks() []Break {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Filter(p.breaks, func(b Break, _ int) bool { return b.Link.From == callersName })
}

// pass writes data as the harms of its way allow; false breaks the connection.
func (p *Proxy) pass(one *pair, way Way, to io.Writer, data []byte) bool {
	for {
		harm, changed, closed := p.harmOf(one, way)
		if closed {
			return false
		}
		switch harm.Harm {
		case Silence:
			<-changed
			continue
		case Cut:
			return true
		case Reset:
			_, _ = to.Write(data[:len(data)/2]) // the rest is lost anyway
			return false
		case Delay:
			time.Sleep(harm.Delay)
		}
		_, err := to.Write(data)
		return err == nil
	}
}

// harmOf is the impairment of one way of a pair, the zero value for none.
func (p *Proxy) harmOf(one *pair, way Way) (harm Impairment, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.harms {
		if i.Way == way && i.Link.To == one.link.To && (i.Link.From == "" || i.Link.From == one.link.From) {
			one.lossy = one.lossy || i.Harm == Cut
			return *i, p.changed, p.closed
		}
	}
	return Impairment{}, p.changed, p.closed
}
