package memstore

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

// Faults says how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with store.Unavailable; waiting watches fail at once.
	Down bool
	// Delay is how long each call takes: half before it takes effect, half after. A watch waits besides.
	// A caller whose context ends meanwhile gets store.Unknown for a write.
	Delay time.Duration
	// LoseNextAnswers is how many further swaps take effect and are answered with store.Unknown.
	LoseNextAnswers int
	// LoseNextRequests is how many further swaps do not take effect and are answered with store.Unknown.
	LoseNextRequests int
	// LoseNextLeaseAnswers is how many further calls for sessions and leases take effect and lose their answer,
	// after the next KeepLeaseAnswers of them were answered.
	LoseNextLeaseAnswers int
	KeepLeaseAnswers     int
}

// SetFaults replaces the faults; calls in progress see them too.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeLocked()
}

// Faults returns the faults in force; the counts in it go down as they are used up.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) halfDelay(ctx context.Context) error {
	return wait.For(ctx, s.Faults().Delay/2)
}

func (s *Store) beginRead(ctx context.Context, kind callKind) error {
	s.count(kind)
	if s.Faults().Down {
		return errDown()
	}
	return unavailable(s.halfDelay(ctx))
}

func (s *Store) endRead(ctx context.Context) error {
	return unavailable(s.halfDelay(ctx))
}

// write counts the call, runs apply under the lock and loses requests or answers as the faults say.
// What apply returns as an error was not written.
func (s *Store) write(ctx context.Context, kind callKind, apply func() error) error {
	s.count(kind)
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
	if s.losesAnswerLocked(kind) {
		return errLost("write")
	}
	return nil
}

func (s *Store) losesAnswerLocked(kind callKind) bool {
	if kind == kindLease {
		return !useUp(&s.faults.KeepLeaseAnswers) && useUp(&s.faults.LoseNextLeaseAnswers)
	}
	return useUp(&s.faults.LoseNextAnswers)
}

// useUp takes one from n if there is any left.
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
