package jobpeer

import (
	"sync"
	"time"
)

const (
	// suspectAfter is the number of consecutive failed calls after which a peer is suspect.
	suspectAfter = 2
	// probeInterval is the time between calls to a suspect peer; other calls to it fail at once.
	probeInterval = 250 * time.Millisecond
)

// suspects tracks the peers that failed recently, so that not every call to them waits for its deadline. It is safe for
// concurrent use.
type suspects struct {
	mu    sync.Mutex
	peers map[string]*peerFailures
}

// peerFailures are the consecutive failed calls to a peer.
type peerFailures struct {
	count int
	// nextProbe is when the peer may be called again if it is suspect.
	nextProbe time.Time
}

func newSuspects() *suspects { return &suspects{peers: map[string]*peerFailures{}} }

// admit reports whether the peer may be called now. A call to a suspect peer is a probe; the next one is admitted after
// probeInterval.
func (s *suspects) admit(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil || p.count < suspectAfter {
		return true
	}
	if now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}

// record records the result of a call and returns whether the peer becomes, or ceases to be, suspect.
func (s *suspects) record(address string, now time.Time, failed bool) (change suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		if p := s.peers[address]; p != nil && p.count >= suspectAfter {
			change = suspicionEnds
		}
		delete(s.peers, address)
		return change
	}
	p := s.peers[address]
	if p == nil {
		if len(s.peers) >= maxAddresses {
			clear(s.peers)
		}
		p = &peerFailures{}
		s.peers[address] = p
	}
	p.count++
	p.nextProbe = now.Add(probeInterval)
	if p.count == suspectAfter {
		return suspicionBegins
	}
	return suspicionUnchanged
}

// suspicion is the change of a peer's status that a call causes.
type suspicion int

const (
	suspicionUnchanged suspicion = iota
	suspicionBegins
	suspicionEnds
)
