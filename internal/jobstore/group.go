package jobstore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

// States of an arrival.
const (
	waiting int32 = iota
	sent
	withdrawn
)

// maxRounds bounds how often what is left of a group is committed again after a conflict.
const maxRounds = 4

// arrival is one key that a caller waits to be durable.
type arrival struct {
	id   string
	key  string
	data []byte
	// ifAbsent requires that the key does not exist; that it does counts as success.
	ifAbsent bool
	state    atomic.Int32
	done     chan error
}

// entries is how much of a transaction the arrival takes.
func (a *arrival) entries() int { return lo.Ternary(a.ifAbsent, 2, 1) }

// write queues the arrival and waits until it is decided or ctx ends.
func (s *Store) write(ctx context.Context, a *arrival) error {
	a.done = make(chan error, 1)
	if !s.arrivals.Offer(a) {
		return store.Unavailable.New("too many arrivals wait")
	}
	select {
	case err := <-a.done:
		return err
	case <-s.closed:
		return s.afterClose(a)
	case <-ctx.Done():
	}
	if a.state.CompareAndSwap(waiting, withdrawn) {
		return store.Unavailable.Wrap(ctx.Err())
	}
	return store.Unknown.Wrap(ctx.Err())
}

// afterClose is the answer for an arrival once Run has ended: commits that were in flight have told theirs.
func (s *Store) afterClose(a *arrival) error {
	if a.state.CompareAndSwap(waiting, withdrawn) {
		return store.Unavailable.New("stopped")
	}
	return <-a.done
}

// Run commits what arrives until ctx ends; what arrives later is refused. It is called once.
func (s *Store) Run(ctx context.Context) error {
	var commits sync.WaitGroup
	defer close(s.closed)
	defer commits.Wait()
	slots := make(chan struct{}, s.opts.InFlight)
	g := grouper{store: s, next: s.arrivals.Items()}
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

// grouper makes groups of arrivals that fit a transaction.
type grouper struct {
	store *Store
	next  <-chan *arrival
	// carried did not fit the group before.
	carried *arrival
}

// collect returns the next group, nil when ctx ends. Arrivals wait for others only while a commit is in flight.
func (g *grouper) collect(ctx context.Context, busy func() bool) []*arrival {
	first := g.carried
	g.carried = nil
	if first == nil {
		select {
		case first = <-g.next:
		case <-ctx.Done():
			return nil
		}
	}
	group, room := []*arrival{first}, store.MaxTransactionEntries-first.entries()
	window := time.NewTimer(lo.Ternary(busy(), g.store.opts.GroupWindow, 0))
	defer window.Stop()
	for room > 0 {
		var a *arrival
		select {
		case a = <-g.next:
		default:
			select {
			case a = <-g.next:
			case <-window.C:
				return group
			case <-ctx.Done():
				return nil
			}
		}
		if a.entries() > room {
			g.carried = a
			return group
		}
		group, room = append(group, a), room-a.entries()
	}
	return group
}

// commitGroup commits the arrivals that still wait and tells each caller.
func (s *Store) commitGroup(ctx context.Context, group []*arrival) {
	group = lo.Filter(group, func(a *arrival, _ int) bool { return a.state.CompareAndSwap(waiting, sent) })
	for range maxRounds {
		if len(group) == 0 {
			return
		}
		_, doubt, err := s.commit(ctx, transactionOf(group))
		if doubt {
			s.remember(group)
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			s.answer(ctx, group, err)
			return
		}
		present := make(map[string]bool, len(conflict.Items))
		for _, i := range conflict.Items {
			present[i.Key] = i.Version > 0
		}
		there, rest := lo.FilterReject(group, func(a *arrival, _ int) bool { return a.ifAbsent && present[a.key] })
		tell(there, nil)
		group = rest
	}
	tell(group, store.Unavailable.New("conflicts did not end"))
}

// transactionOf names each key once, however many arrivals it has.
func transactionOf(group []*arrival) store.Transaction {
	var t store.Transaction
	for _, a := range lo.UniqBy(group, func(a *arrival) string { return a.key }) {
		t.Puts = append(t.Puts, store.Put{Key: a.key, Data: a.data})
		if a.ifAbsent {
			t.Conditions = append(t.Conditions, store.Condition{Key: a.key})
		}
	}
	return t
}

// remember notes the jobs of a group whose write may take effect later.
func (s *Store) remember(group []*arrival) {
	for _, a := range group {
		if a.ifAbsent {
			s.undecided.add(a.id, s.clock())
		}
	}
}

// answer tells the callers; what is unknown is read back once.
func (s *Store) answer(ctx context.Context, group []*arrival, err error) {
	if !store.Unknown.Has(err) {
		tell(group, err)
		return
	}
	var reads sync.WaitGroup
	for key, same := range lo.GroupBy(group, func(a *arrival) string { return a.key }) {
		reads.Go(func() {
			item, readErr := s.get(ctx, key)
			if readErr == nil && item.Version > 0 {
				tell(same, nil)
				return
			}
			tell(same, err)
		})
	}
	reads.Wait()
}

func tell(group []*arrival, err error) {
	for _, a := range group {
		a.done <- err
	}
}
