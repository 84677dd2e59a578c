package peers

import (
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// maxGuests is the maximum number of guests of one member.
const maxGuests = 512

// vouch makes the joining entry host a guest of this one, which must be a member with fewer than maxGuests guests.
func (p *Peers) vouch(join *pb.Member) error {
	if !fleet.HasMember(p.view.Fleet(), p.self) {
		return ErrNotMember.New("%q cannot vouch for %q", p.self.GetName(), join.GetName())
	}
	if p.guestsFull() {
		return errGuestLimit.New("limit %d; cannot vouch for %q", maxGuests, join.GetName())
	}
	p.view.AddGuests(join)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vouched.Add(time.Now(), p.view.Fleet(), join)
	return nil
}

func (p *Peers) guestsFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.vouched) >= maxGuests
}

// SetSponsor records the address of the member that vouches for this entry host and reports whether the address changed.
func (p *Peers) SetSponsor(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.sponsor != address
	p.sponsor = address
	return changed
}

// IsGuest reports whether the sponsor vouches for this entry host in a heartbeat received within limit.
func (p *Peers) IsGuest(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sponsor == "" {
		return false
	}
	for _, m := range p.view.Fleet().GetMembers() {
		if m.GetPeerAddress() != p.sponsor {
			continue
		}
		last, known := p.latest[m.GetIncarnation()]
		return known && now.Sub(last.At) <= limit && p.listsUs(last.Heartbeat)
	}
	return false
}

func (p *Peers) listsUs(hb *pb.Heartbeat) bool {
	for _, g := range hb.GetGuests() {
		if g.GetName() == p.self.GetName() && g.GetIncarnation() == p.self.GetIncarnation() {
			return true
		}
	}
	return false
}

// silentHeartbeats is the number of missed heartbeats after which a peer counts as unreachable.
const silentHeartbeats = 5

// Silent returns the names of the other members and guests whose last heartbeat is older than silentHeartbeats periods. For
// one that has sent none, the time since New counts.
func (p *Peers) Silent(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := silentHeartbeats * p.heartbeat
	silent := map[string]bool{}
	for _, m := range p.others() {
		lastReceived := p.started
		if r, known := p.latest[m.GetIncarnation()]; known {
			lastReceived = r.At
		}
		if now.Sub(lastReceived) > limit {
			silent[m.GetName()] = true
		}
	}
	return silent
}
