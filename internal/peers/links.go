package peers

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/ring"
)

// link is the state of the goroutine that exchanges heartbeats with one peer.
type link struct {
	address string
	// kick starts an exchange before it is due.
	kick *ring.Ring[struct{}]
	stop context.CancelFunc
	// period is the time from the last exchange, by either side, to the next one that this side starts.
	period time.Duration
	// last is the time of this side's last attempt or of the other side's last heartbeat, whichever is later. Peers.mu
	// guards it.
	last time.Time
}

func (p *Peers) startLink(ctx context.Context, name, address string) *link {
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{address: address, kick: ring.New[struct{}]("kick "+name, 1), stop: stop, period: p.heartbeat}
	if p.self.GetName() > name {
		l.period += p.heartbeat / 4 // an exchange serves both sides, so this side starts one only if the other side fails to
	}
	go p.runLink(linkCtx, name, l)
	return l
}

func (p *Peers) runLink(ctx context.Context, name string, l *link) {
	for {
		p.touch(l)
		p.exchange(ctx, name, l.address)
		if !p.awaitExchange(ctx, l) {
			return
		}
	}
}

// touch records an exchange on the link.
func (p *Peers) touch(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.last = time.Now()
}

// awaitExchange waits until this side is to start an exchange: when it has changes to send, or when there was no exchange
// for the link's period. It returns false when ctx ends.
func (p *Peers) awaitExchange(ctx context.Context, l *link) bool {
	for {
		p.mu.Lock()
		wait := time.Until(l.last.Add(l.period))
		p.mu.Unlock()
		if wait <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-l.kick.Items():
			timer.Stop()
			return true
		case <-timer.C: // the other side may have started an exchange meanwhile
		}
	}
}

// kickEarly starts an exchange with a peer before it is due, unless the last exchange was less than earlyGap ago or the
// rate limit of early heartbeats is reached. The peer then stays pending in the dispatcher until the next heartbeat to it.
func (p *Peers) kickEarly(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil || time.Since(l.last) < earlyGap || !p.earlyLimit.Take(time.Now(), earlyRate, earlyBurst) {
		return
	}
	l.kick.Offer(struct{}{})
}

func (p *Peers) kickAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.kick.Offer(struct{}{})
	}
}
