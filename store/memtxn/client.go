package memtxn

import (
	"context"
	"maps"
	"time"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

type client struct {
	store *Store
	name  string
}

// Get implements store.Transactor.
func (c *client) Get(ctx context.Context, key string) (item store.Item, err error) {
	err = c.read(ctx, CallGet, false, func(s *Store) {
		item = s.items[key]
		item.Key = key
	})
	return item, err
}

// Range implements store.Transactor.
func (c *client) Range(ctx context.Context, prefix string, stale bool) (items []store.Item, asOf uint64, err error) {
	err = c.read(ctx, CallRange, stale, func(s *Store) {
		if !stale || s.faults.StaleBy <= 0 {
			items, asOf = rangeOf(s.items, prefix), s.revision
			return
		}
		if time.Since(s.stale.taken) > s.faults.StaleBy {
			s.stale = staleView{taken: time.Now(), items: maps.Clone(s.items), asOf: s.revision}
		}
		items, asOf = rangeOf(s.stale.items, prefix), s.stale.asOf
	})
	return items, asOf, err
}

// Watch implements store.Transactor.
func (c *client) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) (events []store.Event, asOf uint64, err error) {
	if err := c.read(ctx, CallWatch, false, func(*Store) {}); err != nil {
		return nil, 0, err
	}
	return c.store.watch(ctx, c.name, prefix, after, wait)
}

// Commit implements store.Transactor.
func (c *client) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	return c.write(ctx, CallCommit, func(s *Store) (uint64, error) { return s.commitLocked(t) })
}

// Grant implements store.Transactor.
func (c *client) Grant(ctx context.Context, ttl time.Duration) (id uint64, applied time.Duration, err error) {
	id, err = c.write(ctx, CallGrant, func(s *Store) (uint64, error) { return s.grantLocked(c.name, ttl), nil })
	return id, ttl, err
}

// KeepAlive implements store.Transactor.
func (c *client) KeepAlive(ctx context.Context, id uint64) error {
	_, err := c.write(ctx, CallKeepAlive, func(s *Store) (uint64, error) { return 0, s.renewLocked(id) })
	return unknownAsUnavailable(err)
}

// Revoke implements store.Transactor.
func (c *client) Revoke(ctx context.Context, id uint64) error {
	_, err := c.write(ctx, CallRevoke, func(s *Store) (uint64, error) {
		s.endLocked(id)
		return 0, nil
	})
	return unknownAsUnavailable(err)
}

func unknownAsUnavailable(err error) error {
	if store.Unknown.Has(err) {
		return store.Unavailable.Wrap(err)
	}
	return err
}

// begin counts the call, determines its outcome and waits for the first half of the delay.
func (c *client) begin(ctx context.Context, call Call, stale bool) (Outcome, time.Duration, error) {
	s := c.store
	s.mu.Lock()
	outcome, half := s.admitLocked(c.name, call, stale), s.faults.Delay/2
	s.mu.Unlock()
	switch outcome {
	case Refuse:
		return outcome, half, store.Unavailable.New("refused")
	case Hang:
		<-ctx.Done()
		return outcome, half, ctx.Err()
	case Serve, LoseRequest, LoseAnswer, ApplyLate:
	}
	return outcome, half, wait.For(ctx, half)
}

func (c *client) read(ctx context.Context, call Call, stale bool, view func(*Store)) error {
	outcome, half, err := c.begin(ctx, call, stale)
	if err != nil {
		return store.Unavailable.Wrap(err)
	}
	if outcome != Serve {
		return store.Unavailable.New("no answer")
	}
	c.store.mu.Lock()
	view(c.store)
	c.store.mu.Unlock()
	return store.Unavailable.Wrap(wait.For(ctx, half))
}

func (c *client) write(ctx context.Context, call Call, apply func(*Store) (uint64, error)) (uint64, error) {
	outcome, half, err := c.begin(ctx, call, false)
	if outcome == Refuse {
		return 0, err
	}
	if err != nil {
		return 0, store.Unknown.Wrap(err)
	}
	if outcome == LoseRequest {
		return 0, store.Unknown.New("request lost")
	}
	if outcome == ApplyLate {
		c.store.applyLater(apply)
		return 0, store.Unknown.New("no answer")
	}
	c.store.mu.Lock()
	n, err := apply(c.store)
	c.store.mu.Unlock()
	if outcome == LoseAnswer {
		return 0, store.Unknown.New("answer lost")
	}
	if ended := wait.For(ctx, half); ended != nil {
		return 0, store.Unknown.Wrap(ended)
	}
	return n, err
}

func (s *Store) applyLater(apply func(*Store) (uint64, error)) {
	s.mu.Lock()
	delay := s.faults.LateBy
	s.mu.Unlock()
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = apply(s) // the caller has already returned
	})
}
