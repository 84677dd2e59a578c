package peers

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/ring"
)

// link is the duty that exchanges heartbeats with one peer.
type link struct {
	address string
	kick    *ring.Ring[struct{}]
	stop    context.CancelFunc
	// period is the time after the last exchange, by either side, at which this side begins one.
	period time.Duration
	// last is the last try of this side, or the last heartbeat from the other; Peers.mu guards it.
	last time.Time
}

func (p *Peers) startLink(ctx context.Context, name, address string) *link {
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{address: address, kick: ring.New[struct{}]("kick "+name, 1), stop: stop, period: p.heartbeat}
	if p.self.GetName() > name {
		l.period += p.heartbeat / 4 // an exchange serves both sides: one of them begins, the other only if that fails
	}
	go p.runLink(linkCtx, name, l)
	return l
}

func (p *Peers) runLink(ctx context.Context, name string, l *link) {
	for {
		p.note(l)
		p.exchange(ctx, name, l.address)
		if !p.awaitTurn(ctx, l) {
			return
		}
	}
}

// note records that something was said on the link.
func (p *Peers) note(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.last = time.Now()
}

// awaitTurn waits until this side is to begin an exchange: when it has news, or when nothing was said for the link's
// period. It returns false when ctx ends.
func (p *Peers) awaitTurn(ctx context.Context, l *link) bool {
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
		case <-timer.C: // the other side may have begun one meanwhile
		}
	}
}

// kickEarly sends a peer a heartbeat before its turn, unless something was just said or the budget of early heartbeats is
// used up: the peer stays pending then.
func (p *Peers) kickEarly(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil || time.Since(l.last) < newsGap || !p.early.Take(time.Now(), earlyRate, earlyBurst) {
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
