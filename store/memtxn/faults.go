package memtxn

import (
	"time"

	"github.com/agateturn/agateturn/store"
)

// Call is the kind of a call.
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

// Outcome is the injected outcome of a call. Where other writes return store.Unknown, KeepAlive and Revoke return
// store.Unavailable.
type Outcome int

// Outcomes of a call.
const (
	// Serve serves the call normally.
	Serve Outcome = iota
	// Refuse rejects the call with store.Unavailable; it has no effect.
	Refuse
	// LoseRequest drops the request; it has no effect, but a write returns store.Unknown.
	LoseRequest
	// LoseAnswer drops the answer after the call took effect; a write returns store.Unknown.
	LoseAnswer
	// ApplyLate returns like LoseRequest, but a write takes effect after Faults.LateBy.
	ApplyLate
	// Hang blocks until the caller's context is done; the call has no effect.
	Hang
)

// Faults configures fault injection. The zero value is a healthy store.
type Faults struct {
	// Down rejects every call and aborts every watch.
	Down bool
	// PauseLeases keeps leases from expiring while the store is down.
	PauseLeases bool
	// Cut contains the clients whose calls are rejected and whose watches are aborted.
	Cut map[string]bool
	// Delay is the latency of each call: half before it takes effect and half after.
	Delay time.Duration
	// StallWatches keeps watches from returning changes.
	StallWatches bool
	// OmitAbsent omits absent keys from the items of a conflict.
	OmitAbsent bool
	// StaleBy is the maximum age of the items of a stale Range.
	StaleBy time.Duration
	// LateBy is the delay of writes whose Outcome is ApplyLate.
	LateBy time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls of all clients together; 0 means unlimited. KeepAlive and
	// Watch count as reads; stale reads are not limited.
	WritesPerSecond, ReadsPerSecond int
	// Plan determines the outcome of each call; nil serves all calls. It runs under the store's lock and must not call the
	// store.
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

// SetFaults replaces the faults; they also apply to waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeLocked()
}

// Counts is the number of calls by kind since New, including rejected calls.
type Counts [CallRevoke + 1]int

// Calls returns the number of calls so far.
func (s *Store) Calls() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// rateWindow counts the rate-limited calls of the current second.
type rateWindow struct {
	second        int64
	reads, writes int
}

// admitLocked counts the call and returns its outcome. Calls over the rate limits are rejected; stale reads are not limited.
func (s *Store) admitLocked(name string, call Call, stale bool) Outcome {
	s.calls[call]++
	if now := time.Now().Unix(); now != s.rates.second {
		s.rates = rateWindow{second: now}
	}
	switch {
	case stale:
	case call == CallCommit || call == CallGrant || call == CallRevoke:
		s.rates.writes++
	default:
		s.rates.reads++
	}
	exceeds := func(n, limit int) bool { return limit > 0 && n > limit }
	if !stale && (exceeds(s.rates.writes, s.faults.WritesPerSecond) || exceeds(s.rates.reads, s.faults.ReadsPerSecond)) {
		return Refuse
	}
	return s.faults.outcome(name, call)
}

// staleView is the snapshot that stale reads return.
type staleView struct {
	taken time.Time
	items map[string]store.Item
	asOf  uint64
}
