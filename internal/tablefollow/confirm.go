package tablefollow

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agateturn/agateturn/wait"
)

const (
	// askAfter is the age of the last confirmation from which peers are asked. While the store answers, the age stays below it.
	askAfter = 5 * time.Second
	// askInterval is the time between two rounds, askFanout the number of peers asked in each. At the default bounds there are
	// about eight rounds before callers are rejected, so a host finds a confirmed peer even if most of them are cut off too.
	askInterval = 500 * time.Millisecond
	askFanout   = 2
)

// Confirmation is what a peer knows about its own table.
type Confirmation struct {
	Version int64
	// Raw is the value of the peer's version, if it was asked for and is newer.
	Raw []byte
	// Age is the time since the peer's version was last confirmed. Confirmed is false if it never was.
	Age       time.Duration
	Confirmed bool
}

// Confirmers are the entry hosts that can confirm the table while the store does not answer.
type Confirmers interface {
	// Others returns the addresses of all other entry hosts, in a stable order that differs between hosts.
	Others() []string
	// AskTable asks a peer for its confirmation, and for its table if that is newer than version and sendRaw is set.
	AskTable(ctx context.Context, address string, version int64, sendRaw bool) (Confirmation, error)
}

// ConfirmedAge returns the time since the table was last confirmed, or the maximum duration if it never was. The table is
// confirmed when the store answers a watch or a read that is not stale, or a peer whose own confirmation is as recent has the
// same version. The time is a lower bound: an answer that lay unread while the process was paused is as old as its request.
func (f *Follower) ConfirmedAge() time.Duration {
	at := f.confirmedAt.Load()
	if at == nil {
		return math.MaxInt64
	}
	return f.clock().Sub(*at)
}

// ConfirmedRecently reports whether the table was confirmed within currentLimit.
func (f *Follower) ConfirmedRecently() bool { return f.ConfirmedAge() < currentLimit }

// Confirmed returns the table's version and bytes, and the time since it was last confirmed; ok is false if it never was.
func (f *Follower) Confirmed() (version int64, raw []byte, age time.Duration, ok bool) {
	// The confirmation is read first: an age read after the table could be that of a later version.
	age = f.ConfirmedAge()
	version, raw = f.Raw()
	return version, raw, age, version != 0 && age != math.MaxInt64
}

// confirm records that the table was the newest one at a time.
func (f *Follower) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmLocked(at)
}

func (f *Follower) confirmLocked(at time.Time) {
	if last := f.confirmedAt.Load(); last == nil || last.Before(at) {
		f.confirmedAt.Store(&at)
	}
}

// confirmByWatch records the answer of a watch, and returns how long the next one waits. The store answers a watch without
// changes when the wait is over by its own clock, which may be a little ahead. One with changes may have been answered at any time since it started; the next watch is
// shorter then if callers need keys, so that the age of the confirmation stays below askAfter plus half of watchWait.
func (f *Follower) confirmByWatch(started, answered time.Time, waited time.Duration, changed bool) (nextWait time.Duration) {
	if over := started.Add(waited - watchSlack); !changed && !answered.Before(over) {
		f.confirm(over)
		return watchWait
	}
	f.confirm(started)
	if changed && f.needsKeys() {
		return watchWait / 2
	}
	return watchWait
}

// needsKeys reports whether the table has workspaces, so that callers need API keys.
func (f *Follower) needsKeys() bool {
	table := f.Table()
	return table != nil && table.Workspaces != nil
}

// Confirm asks peers to confirm the table while the store does not, until ctx ends. It makes no calls for tables without
// workspaces.
func (f *Follower) Confirm(ctx context.Context, peers Confirmers) {
	next := 0
	for wait.For(ctx, askInterval) == nil {
		if !f.needsKeys() || f.ConfirmedAge() < askAfter {
			continue
		}
		others := peers.Others()
		if len(others) == 0 {
			continue
		}
		if !f.askRound(ctx, peers, others, next%len(others)) {
			next = next%len(others) + askFanout
		}
	}
}

// askRound asks the peers from index first on, and reports whether the first one has confirmed the table well.
func (f *Follower) askRound(ctx context.Context, peers Confirmers, others []string, first int) (keep bool) {
	var asked sync.WaitGroup
	for i := range min(askFanout, len(others)) {
		asked.Go(func() {
			confirmed := f.ask(ctx, peers, others[(first+i)%len(others)])
			if i == 0 {
				keep = confirmed
			}
		})
	}
	asked.Wait()
	return keep
}

// ask asks one peer, and reports whether that confirmed the table within askAfter.
func (f *Follower) ask(ctx context.Context, peers Confirmers, address string) bool {
	version, _ := f.Raw()
	started := f.clock()
	answer, err := askFor(ctx, peers, address, offerTimeout, version, false)
	if err != nil || !answer.Confirmed {
		return false
	}
	if answer.Version > version {
		newer, err := askFor(ctx, peers, address, sendTimeout, version, true)
		if err != nil || len(newer.Raw) == 0 {
			return false
		}
		f.adopt(ctx, newer.Raw, true)
	}
	f.confirmVersion(answer.Version, started.Add(-answer.Age))
	return f.ConfirmedAge() < askAfter
}

// confirmVersion confirms the table if it has the version.
func (f *Follower) confirmVersion(version int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.current.Load(); v != nil && v.table.Version == version {
		f.confirmLocked(at)
	}
}

func askFor(
	ctx context.Context, peers Confirmers, address string, timeout time.Duration, version int64, sendRaw bool,
) (Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peers.AskTable(ctx, address, version, sendRaw)
}
