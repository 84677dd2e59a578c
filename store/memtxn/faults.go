package memtxn

import (
	"time"

	"github.com/agateturn/agateturn/store"
)

// Call is a kind of call.
type Call int

// Kinds of calls.
const (
	CallGet Call = iota
	CallRange
	CallWatch
	CallCommit
	CallGrant
	CallKeepAlive
	CallRevoke
)

// Outcome is what becomes of one call.
type Outcome int

// Outcomes of a call.
const (
	// Serve answers as usual.
	Serve Outcome = iota
	// Refuse does nothing and says so (store.Unavailable).
	Refuse
	// LoseRequest does nothing; a write's caller cannot tell (store.Unknown).
	LoseRequest
	// LoseAnswer takes effect; a write's caller cannot tell.
	LoseAnswer
	// LandLate is answered like LoseRequest, and takes effect after Faults.LateBy.
	LandLate
	// Hang gives no answer until the caller's context ends; nothing is done.
	Hang
)

// Faults says how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call and cuts every watch.
	Down bool
	// PauseLeases keeps leases from lapsing while the store is down.
	PauseLeases bool
	// Cut names the clients that are refused and whose watches are cut.
	Cut map[string]bool
	// Delay is how long each call takes: half before it takes effect, half after.
	Delay time.Duration
	// DeafWatches keeps watches from telling changes.
	DeafWatches bool
	// OmitAbsent leaves absent keys out of the items of a conflict.
	OmitAbsent bool
	// StaleBy is how old the items of a stale Range may be.
	StaleBy time.Duration
	// LateBy is the delay of calls whose Outcome is LandLate.
	LateBy time.Duration
	// WritesPerSecond and ReadsPerSecond bound the calls of all clients together; 0 is no bound.
	WritesPerSecond, ReadsPerSecond int
	// Plan decides call by call; nil serves all. It is called under the store's lock and must not call the store.
	Plan func(client string, call Call) Outcome
}

func (f *Faults) cut(name string) bool { return f.Down || f.Cut[name] }

func (f *Faults) outcome(name string, call Call) Outcome {
	if f.cut(name) {
		return Refuse
	}
	if f.Plan == nil {
		return Serve
	}
	return f.Plan(name, call)
}

// SetFaults replaces the faults; waiting watches see them too.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeLocked()
}

// Counts are calls by kind since New, refused ones included.
type Counts [CallRevoke + 1]int

// Calls returns how many calls there were.
func (s *Store) Calls() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// rates counts the calls of the present second.
type rates struct {
	second        int64
	reads, writes int
}

// admitLocked counts the call and tells what becomes of it.
func (s *Store) admitLocked(name string, call Call, stale bool) Outcome {
	s.calls[call]++
	if now := time.Now().Unix(); now != s.rates.second {
		s.rates = rates{second: now}
	}
	switch {
	case stale:
	case call == CallCommit || call == CallGrant || call == CallRevoke:
		s.rates.writes++
	default:
		s.rates.reads++
	}
	over := func(n, limit int) bool { return limit > 0 && n > limit }
	if !stale && (over(s.rates.writes, s.faults.WritesPerSecond) || over(s.rates.reads, s.faults.ReadsPerSecond)) {
		return Refuse
	}
	return s.faults.outcome(name, call)
}

// staleView is what stale reads see.
type staleView struct {
	taken time.Time
	items map[string]store.Item
	asOf  uint64
}
