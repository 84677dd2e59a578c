package jobpeer

import (
	"sync"
	"time"
)

const (
	// suspectAfter is the number of failed calls in a row after which a peer is suspect.
	suspectAfter = 2
	// probeEvery is how often a suspect peer is tried; other calls fail at once.
	probeEvery = 250 * time.Millisecond
)

// suspects are the peers that failed lately, so that not every call waits for its deadline. It is safe for concurrent use.
type suspects struct {
	mu    sync.Mutex
	peers map[string]*suspect
}

type suspect struct {
	failures int
	// next is when the peer may be tried again.
	next time.Time
}

func newSuspects() *suspects { return &suspects{peers: map[string]*suspect{}} }

// admit reports whether the peer may be called now. A call on a suspect peer is a probe: the next one waits its turn.
func (s *suspects) admit(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil || p.failures < suspectAfter {
		return true
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(probeEvery)
	return true
}

// note records the end of a call and tells whether the peer becomes, or ceases to be, suspect by it.
func (s *suspects) note(address string, now time.Time, failed bool) (change suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		if p := s.peers[address]; p != nil && p.failures >= suspectAfter {
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
		p = &suspect{}
		s.peers[address] = p
	}
	p.failures++
	p.next = now.Add(probeEvery)
	if p.failures == suspectAfter {
		return suspicionBegins
	}
	return suspicionStays
}

// suspicion is how a call changes what is thought of a peer.
type suspicion int

const (
	suspicionStays suspicion = iota
	suspicionBegins
	suspicionEnds
)
