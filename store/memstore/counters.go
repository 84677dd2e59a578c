package memstore

import "time"

type callKind int

const (
	kindRead callKind = iota
	kindWrite
	kindWatch
	kindLease
)

// Calls counts calls to the store by kind.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Watches counts each Wait once, regardless of its duration.
	Watches uint64 `json:"watches"`
	// Leases counts the calls that create, renew, destroy or use a session.
	Leases uint64 `json:"leases"`
}

// Sum returns the calls of all kinds.
func (c Calls) Sum() uint64 { return c.Reads + c.Writes + c.Watches + c.Leases }

// Counters contains the usage counts of a store.
type Counters struct {
	Total Calls `json:"total"`
	// CurrentSecond counts the calls of the current second, LastSecond those of the previous one.
	CurrentSecond Calls `json:"current_second"`
	LastSecond    Calls `json:"last_second"`
	// PeakSecond is the maximum per second, for each kind separately.
	PeakSecond Calls `json:"peak_second"`
	// Waiting is the number of watches currently waiting.
	Waiting int `json:"waiting"`
}

// Counters returns the current counts.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollSecondLocked()
	return s.counters
}

// ResetCounters sets all counts except Waiting to zero.
func (s *Store) ResetCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters = Counters{Waiting: s.counters.Waiting}
}

func (s *Store) recordCall(kind callKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollSecondLocked()
	s.counters.Total.add(kind)
	s.counters.CurrentSecond.add(kind)
	s.counters.PeakSecond.raise(s.counters.CurrentSecond)
}

// raise sets each count to the maximum of both.
func (c *Calls) raise(other Calls) {
	c.Reads = max(c.Reads, other.Reads)
	c.Writes = max(c.Writes, other.Writes)
	c.Watches = max(c.Watches, other.Watches)
	c.Leases = max(c.Leases, other.Leases)
}

func (c *Calls) add(kind callKind) {
	switch kind {
	case kindRead:
		c.Reads++
	case kindWrite:
		c.Writes++
	case kindWatch:
		c.Watches++
	case kindLease:
		c.Leases++
	}
}

func (s *Store) rollSecondLocked() {
	now := time.Now().Unix()
	switch now - s.second {
	case 0:
		return
	case 1:
		s.counters.LastSecond = s.counters.CurrentSecond
	default:
		s.counters.LastSecond = Calls{}
	}
	s.counters.CurrentSecond = Calls{}
	s.second = now
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Waiting += n
}
