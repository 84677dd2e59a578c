package jobstore

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

// States of a pendingWrite.
const (
	waiting int32 = iota
	sent
	withdrawn // not sent: the caller stopped waiting, or Run has ended
)

// maxConflictRounds bounds how often a transaction is tried if it conflicts. After each conflict it is adapted to the
// items that the store returned.
const maxConflictRounds = 4

// pendingWrite is the write of one key, for whose result a caller waits.
type pendingWrite struct {
	id   string
	key  string
	data []byte
	// ifAbsent requires that the key does not exist. The write counts as successful if it does.
	ifAbsent bool
	// isJob means that a late effect of the write matters to Accept.
	isJob bool
	// location, if set, is written too, on the condition that it does not exist. If it exists and names another pool, the write
	// ends with an *elsewhereError instead.
	location *locationWrite
	// check decides on the value that the key has instead of data; nil accepts any.
	check func(stored []byte) error
	state atomic.Int32
	done  chan error
}

// entries returns the number of transaction entries that the write takes.
func (w *pendingWrite) entries() int {
	return lo.Ternary(w.ifAbsent, 2, 1) + lo.Ternary(w.location != nil, 2, 0)
}

// write queues the write and waits until its result is known or ctx ends.
func (s *Store) write(ctx context.Context, w *pendingWrite) error {
	w.done = make(chan error, 1)
	if !s.writes.Offer(w) {
		return store.Unavailable.New("too many queued writes")
	}
	select {
	case err := <-w.done:
		return err
	case <-s.closed:
		return s.afterClose(w)
	case <-ctx.Done():
	}
	if w.state.CompareAndSwap(waiting, withdrawn) {
		return store.Unavailable.Wrap(ctx.Err())
	}
	return store.Unknown.Wrap(ctx.Err())
}

// afterClose returns the result of a write once Run has ended. Commits that were in flight have reported theirs by then.
func (s *Store) afterClose(w *pendingWrite) error {
	if w.state.CompareAndSwap(waiting, withdrawn) {
		return store.Unavailable.New("stopped")
	}
	return <-w.done
}

// Run commits queued writes until ctx ends; later writes are rejected. It must be called once.
func (s *Store) Run(ctx context.Context) error {
	var commits sync.WaitGroup
	defer close(s.closed)
	defer commits.Wait()
	slots := make(chan struct{}, s.opts.InFlight)
	g := grouper{store: s, next: s.writes.Items()}
	for {
		group := g.collect(ctx, func() bool { return len(slots) > 0 })
		if group == nil {
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		commits.Go(func() {
			s.commitGroup(ctx, group)
			<-slots
		})
	}
}

// grouper collects queued writes into groups that fit into a transaction.
type grouper struct {
	store *Store
	next  <-chan *pendingWrite
	// carried is the write that did not fit into the previous group; nil if all did.
	carried *pendingWrite
}

// collect returns the next group, or nil when ctx ends. Writes wait for others only if busy reports that a commit is in
// flight.
func (g *grouper) collect(ctx context.Context, busy func() bool) []*pendingWrite {
	first := g.carried
	g.carried = nil
	if first == nil {
		select {
		case first = <-g.next:
		case <-ctx.Done():
			return nil
		}
	}
	group, remaining := []*pendingWrite{first}, store.MaxTransactionEntries-first.entries()
	var expired <-chan time.Time // nil if writes wait for no others
	if busy() {
		window := time.NewTimer(g.store.opts.GroupWindow)
		defer window.Stop()
		expired = window.C
	}
	for remaining > 0 {
		var w *pendingWrite
		select {
		case w = <-g.next:
		default:
			if expired == nil {
				return group
			}
			select {
			case w = <-g.next:
			case <-expired:
				return group
			case <-ctx.Done():
				return nil
			}
		}
		if w.entries() > remaining {
			g.carried = w
			return group
		}
		group, remaining = append(group, w), remaining-w.entries()
	}
	return group
}

// commitGroup commits the writes whose callers still wait, and completes each of them.
func (s *Store) commitGroup(ctx context.Context, group []*pendingWrite) {
	group = lo.Filter(group, func(w *pendingWrite, _ int) bool { return w.state.CompareAndSwap(waiting, sent) })
	group = completeRivals(group)
	uncertain := false // a call of this or an earlier round may take effect, or may have done so and caused the conflict
	for range maxConflictRounds {
		if len(group) == 0 {
			return
		}
		_, late, err := s.commit(ctx, transactionOf(group))
		if late {
			uncertain = true
			s.rememberUndecided(group)
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			s.finish(ctx, group, unknownIf(uncertain, err))
			return
		}
		present := make(map[string]store.Item, len(conflict.Items))
		for _, i := range conflict.Items {
			present[i.Key] = i
		}
		group = completeElsewhere(group, present)
		stored, rest := lo.FilterReject(group, func(w *pendingWrite, _ int) bool { return w.ifAbsent && present[w.key].Version > 0 })
		for _, w := range stored {
			w.completeAsStored(present[w.key].Data)
		}
		group = rest
	}
	s.finish(ctx, group, unknownIf(uncertain, store.Unavailable.New("conflicts persist after retries")))
}

// transactionOf returns the transaction of a group. If several writes have the same key, the first one's data is used.
func transactionOf(group []*pendingWrite) store.Transaction {
	var t store.Transaction
	for _, w := range lo.UniqBy(group, func(w *pendingWrite) string { return w.key }) {
		t.Puts = append(t.Puts, store.Put{Key: w.key, Data: w.data})
		if w.ifAbsent {
			t.Conditions = append(t.Conditions, store.Condition{Key: w.key})
		}
		if l := w.location; l != nil {
			t.Puts = append(t.Puts, store.Put{Key: l.key, Data: l.data})
			t.Conditions = append(t.Conditions, store.Condition{Key: l.key})
		}
	}
	return t
}

// rememberUndecided records the ids of jobs whose write may take effect later.
func (s *Store) rememberUndecided(group []*pendingWrite) {
	for _, w := range group {
		if w.isJob {
			s.undecided.add(w.id, s.clock())
		}
	}
}

// finish completes the writes of a group. If the result is unknown, each key is read back once. A key that exists decides the
// writes that would have required its absence, and shows the others to be stored if their check accepts its value.
func (s *Store) finish(ctx context.Context, group []*pendingWrite, err error) {
	if err == nil {
		written := make(map[string][]byte, len(group))
		for _, w := range group { // the first write of a key is the one that was sent
			if _, ok := written[w.key]; !ok {
				written[w.key] = w.data
			}
			w.completeAsStored(written[w.key])
		}
		return
	}
	if !store.Unknown.Has(err) {
		complete(group, err)
		return
	}
	var reads sync.WaitGroup
	for key, same := range lo.GroupBy(group, func(w *pendingWrite) string { return w.key }) {
		reads.Go(func() {
			item, readErr := s.get(ctx, key)
			if readErr == nil && item.Version > 0 {
				for _, w := range same {
					w.completeAsRead(item.Data, err)
				}
				return
			}
			complete(same, err)
		})
	}
	reads.Wait()
}

// completeAsStored completes a write whose key has the value stored.
func (w *pendingWrite) completeAsStored(stored []byte) { w.done <- w.checkStored(stored) }

// completeAsRead completes a write whose result is unknown and whose key had the value stored when it was read. Unless the write
// requires the key's absence, it may still replace a value that its check rejects.
func (w *pendingWrite) completeAsRead(stored []byte, unknown error) {
	err := w.checkStored(stored)
	if err != nil && !w.ifAbsent {
		err = unknown
	}
	w.done <- err
}

func (w *pendingWrite) checkStored(stored []byte) error {
	if w.check == nil || bytes.Equal(stored, w.data) {
		return nil
	}
	return w.check(stored)
}

func complete(group []*pendingWrite, err error) {
	for _, w := range group {
		w.done <- err
	}
}
