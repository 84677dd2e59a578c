package entryhost

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// An entry host that starts while the store is down becomes the guest of a member. The member names its guests in every
// heartbeat, and the controller counts the member's release only together with its guests'. A guest serves while it
// hears from its sponsor; once the store is back it registers and is no guest any more.

// vouch makes the joining entry host our guest. Only a member may vouch.
func (p *peers) vouch(join *pb.Member) error {
	if !memberOf(p.view.fleet(), p.self) {
		return errNotMember.New("%q cannot vouch for %q", p.self.GetName(), join.GetName())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guests[join.GetName()] = join
	return nil
}

// sponsored records the address of the member that vouches for us.
func (p *peers) sponsored(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sponsor = address
}

// releaseGuests forgets guests that have registered since. It runs with mu held.
func (p *peers) releaseGuests() {
	f := p.view.fleet()
	for name, guest := range p.guests {
		if memberOf(f, guest) {
			delete(p.guests, name)
		}
	}
}

// guestOf reports whether a sponsor that we heard from within limit vouches for us.
func (p *peers) guestOf(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sponsor == "" {
		return false
	}
	for _, m := range p.view.fleet().GetMembers() {
		if m.GetPeerAddress() != p.sponsor {
			continue
		}
		last, heard := p.latest[m.GetIncarnation()]
		return heard && now.Sub(last.At) <= limit && p.listsUs(last.Heartbeat)
	}
	return false
}

func (p *peers) listsUs(hb *pb.Heartbeat) bool {
	for _, g := range hb.GetGuests() {
		if g.GetName() == p.self.GetName() && g.GetIncarnation() == p.self.GetIncarnation() {
			return true
		}
	}
	return false
}
