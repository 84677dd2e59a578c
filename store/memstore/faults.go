package memstore

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

// Faults configures fault injection. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with store.Unavailable; waiting watches fail immediately.
	Down bool
	// Delay is the latency of each call: half before it takes effect and half after. A watch has this latency in
	// addition to its wait. If the context ends during the delay, a write returns store.Unknown, a read store.Unavailable.
	Delay time.Duration
	// LoseNextAnswers is the number of subsequent swaps that take effect but return store.Unknown.
	LoseNextAnswers int
	// LoseNextRequests is the number of subsequent swaps that do not take effect and return store.Unknown.
	LoseNextRequests int
	// LoseNextLeaseAnswers is the number of session and lease calls that take effect but return store.Unknown, after the
	// next KeepLeaseAnswers of them have been answered.
	LoseNextLeaseAnswers int
	KeepLeaseAnswers     int
}

// SetFaults replaces the faults; they also apply to calls in progress.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeLocked()
}

// Faults returns the current faults; its counts decrease as they are used up.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) halfDelay(ctx context.Context) error {
	return wait.For(ctx, s.Faults().Delay/2)
}

func (s *Store) beginRead(ctx context.Context, kind callKind) error {
	s.recordCall(kind)
	if s.Faults().Down {
		return errDown()
	}
	return unavailable(s.halfDelay(ctx))
}

func (s *Store) endRead(ctx context.Context) error {
	return unavailable(s.halfDelay(ctx))
}

// write counts the call, runs apply under the lock and drops requests or answers according to the faults.
// An error of apply means that nothing was written.
func (s *Store) write(ctx context.Context, kind callKind, apply func() error) error {
	s.recordCall(kind)
	if s.Faults().Down {
		return errDown()
	}
	if ctx.Err() != nil {
		return store.Unavailable.Wrap(ctx.Err())
	}
	if err := s.halfDelay(ctx); err != nil {
		return store.Unknown.Wrap(err)
	}
	if err := s.applyWrite(kind, apply); err != nil {
		return err
	}
	if err := s.halfDelay(ctx); err != nil {
		return store.Unknown.Wrap(err)
	}
	return nil
}

func (s *Store) applyWrite(kind callKind, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return errDown()
	}
	if kind == kindWrite && useUp(&s.faults.LoseNextRequests) {
		return errLost("request")
	}
	if err := apply(); err != nil {
		return err
	}
	if s.useUpLostAnswerLocked(kind) {
		return errLost("write")
	}
	return nil
}

// useUpLostAnswerLocked reports whether to drop the answer to a call, and decrements the count of the fault.
func (s *Store) useUpLostAnswerLocked(kind callKind) bool {
	if kind == kindLease {
		return !useUp(&s.faults.KeepLeaseAnswers) && useUp(&s.faults.LoseNextLeaseAnswers)
	}
	return useUp(&s.faults.LoseNextAnswers)
}

// useUp decrements n and returns true unless n is used up.
func useUp(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return store.Unavailable.Wrap(err)
}
