package fleetowner

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"google.golang.org/protobuf/proto"
)

const (
	commitTimeout = 1500 * time.Millisecond
	// flushDelay is how long progress waits to be written together with an order.
	flushDelay      = 300 * time.Millisecond
	writeRetryDelay = 500 * time.Millisecond
)

// write is a write of one record, and possibly a wave's state, on condition of the owner's fencing token. The writer
// calls done with its outcome.
type write struct {
	key  string
	puts []store.Put
	// guards must hold too: the owners of the pools whose status the orders depend on.
	guards []store.Condition
	done   func(ctx context.Context, err error) error
}

// writer commits writes one after the other. Each write also requires the record's version that this owner wrote last,
// so a write whose answer was lost cannot take effect after a newer one.
type writer struct {
	*term
	versions map[string]uint64
	// uncertain are the records whose last write was not answered.
	uncertain map[string]bool
	// lastFailure is when the store last failed; writes are refused for writeRetryDelay after it.
	lastFailure time.Time
}

// run commits until ctx ends or the fencing token is no longer held.
func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-w.writes.Items():
			err := w.commit(ctx, job)
			if Replaced.Has(err) {
				return err
			}
			if err != nil {
				events.Log(ctx, w.Logger, events.FleetRecordWaits, slog.String("key", job.key), slog.Uint64("fence", w.fence),
					slog.Uint64("version", w.versions[job.key]), slog.String("err", err.Error()))
			}
			if err := job.done(ctx, err); err != nil {
				return err
			}
		}
	}
}

func (w *writer) commit(ctx context.Context, job write) error {
	if time.Since(w.lastFailure) < writeRetryDelay {
		return store.Unavailable.New("the store failed %s ago; not retried yet", time.Since(w.lastFailure))
	}
	err := w.tryCommit(ctx, job)
	if err != nil && !PoolReplaced.Has(err) {
		w.lastFailure = time.Now()
	}
	return err
}

// tryCommit commits until the record's version is the known one. After a lost answer the record is read back once.
func (w *writer) tryCommit(ctx context.Context, job write) error {
	key := job.key
	for {
		if w.uncertain[key] {
			if _, err := w.readBack(ctx, key); err != nil {
				return err
			}
		}
		err := w.send(ctx, job)
		conflict := (*store.ConflictError)(nil)
		switch {
		case err == nil:
			return nil
		case store.Unavailable.Has(err):
			return err
		case !errors.As(err, &conflict):
			w.uncertain[key] = true
			item, readErr := w.readBack(ctx, key)
			if readErr == nil && bytes.Equal(item.Data, job.puts[0].Data) {
				return nil
			}
			return err
		}
		if !conditionsHold(conflict.Items, w.Guard(w.fence)) {
			return Replaced.New("the store refuses fencing token %d", w.fence)
		}
		if !conditionsHold(conflict.Items, job.guards...) {
			return PoolReplaced.New("record %s not written", key)
		}
		w.uncertain[key] = true
	}
}

// send makes one commit. The record is the first of the puts.
func (w *writer) send(ctx context.Context, job write) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := w.Store.Commit(ctx, store.Transaction{
		Conditions: append([]store.Condition{w.Guard(w.fence), {Key: job.key, Version: w.versions[job.key]}}, job.guards...),
		Puts:       job.puts,
	})
	if err == nil {
		w.versions[job.key] = revision
	}
	return err
}

// conditionsHold reports whether none of the conditions is among those that failed. items are the current states of
// their keys.
func conditionsHold(items []store.Item, conditions ...store.Condition) bool {
	for _, c := range conditions {
		for _, item := range items {
			if item.Key == c.Key && item.Version != c.Version {
				return false
			}
		}
	}
	return true
}

// readBack reads the version of a record whose last write was not answered.
func (w *writer) readBack(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := w.Store.Get(ctx, key)
	if err != nil {
		return store.Item{}, err
	}
	w.versions[key] = item.Version
	w.uncertain[key] = false
	return item, nil
}

// progressPut returns the write of a wave's current progress.
func (t *term) progressPut(ctx context.Context, w *wave) store.Put {
	r := &pb.WaveRecord{Wave: w.Number, SeenMs: w.Seen.UnixMilli()}
	progress := t.planner.Progress(w.Number)
	for _, id := range slices.Sorted(maps.Keys(progress)) {
		m := &pb.HostUpkeep{Host: id, Fence: t.fence}
		switch progress[id] {
		case upkeep.Intended:
			m.Phase = pb.UpkeepPhase_UPKEEP_PHASE_INTENDED
		case upkeep.Begun:
			m.Phase = pb.UpkeepPhase_UPKEEP_PHASE_BEGUN
		case upkeep.NotOrdered:
			continue
		}
		r.Hosts = append(r.Hosts, m)
	}
	return t.waveRecordPut(ctx, r)
}

func (t *term) waveRecordPut(ctx context.Context, r *pb.WaveRecord) store.Put {
	return t.encode(ctx, t.recordKey(r.GetWave()), r)
}

func (t *term) encode(ctx context.Context, key string, m proto.Message) store.Put {
	data, err := proto.Marshal(m)
	if err != nil {
		t.logSkipped(ctx, key, 0, err)
	}
	return store.Put{Key: key, Data: data}
}

// logSkipped logs a record that cannot be read or written. version is 0 for one that was to be written.
func (t *term) logSkipped(ctx context.Context, key string, version uint64, err error) {
	events.Log(ctx, t.Logger, events.RecordSkipped, slog.String("key", key), slog.Uint64("version", version),
		slog.Uint64("fence", t.fence), slog.String("err", err.Error()))
}

// movesPut returns the write of the moves that may still be carried out.
func (t *term) movesPut(ctx context.Context, key string) store.Put {
	r := &pb.MoveRecord{Demands: t.planner.Learned()}
	for _, m := range t.planner.OpenMoves() {
		r.Moves = append(r.Moves, &pb.HostMove{Host: m.Host, Pool: m.Pool})
	}
	return t.encode(ctx, key, r)
}

// markDirty marks the progress of a wave as changed.
func (t *term) markDirty(number int64, now time.Time) {
	if w := t.waves[number]; w != nil && w.dirtySince.IsZero() {
		w.dirtySince = now
	}
}

// flush writes progress that has waited for flushDelay, and the state of new waves.
func (t *term) flush(ctx context.Context, now time.Time) error {
	for _, number := range slices.Sorted(maps.Keys(t.waves)) {
		w := t.waves[number]
		if !w.due(now) {
			continue
		}
		puts := []store.Put{t.progressPut(ctx, w)}
		if !w.statusWritten {
			puts = append(puts, t.statusPut(number, false))
		}
		w.dirtySince = time.Time{}
		w.statusWritten = true
		w.writing = true
		job := write{key: puts[0].Key, puts: puts}
		job.done = func(ctx context.Context, err error) error { return t.onFlushed(ctx, number, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// due reports whether the progress of a wave is to be written now.
func (w *wave) due(now time.Time) bool {
	if w.completed || w.completing || w.writing || w.dirtySince.IsZero() || now.Before(w.notBefore) {
		return false
	}
	return !w.statusWritten || now.Sub(w.dirtySince) >= flushDelay
}

// onFlushed schedules another write of progress and state if the write failed.
func (t *term) onFlushed(ctx context.Context, number int64, err error) error {
	return t.post(ctx, func(now time.Time) {
		w := t.waves[number]
		if w == nil {
			return
		}
		w.writing = false
		if err != nil {
			w.statusWritten = false
			w.dirtySince = now
			w.notBefore = now.Add(writeRetryDelay)
		}
	})
}

func (t *term) statusPut(number int64, completed bool) store.Put {
	return store.Put{Key: t.Names.StatusKey(number), Data: t.Names.Status(number, completed)}
}

// writeCompleted writes the completion of waves.
func (t *term) writeCompleted(ctx context.Context, now time.Time, completed []upkeep.CompletedWave) error {
	for _, c := range completed {
		w := t.waves[c.Number]
		if w == nil || w.completing || w.completed || now.Before(w.notBefore) {
			continue
		}
		w.completing = true
		end := &pb.WaveRecord{Wave: c.Number, SeenMs: w.Seen.UnixMilli(), Completed: true}
		puts := []store.Put{t.waveRecordPut(ctx, end), t.statusPut(c.Number, true)}
		job := write{key: puts[0].Key, puts: puts}
		job.done = func(ctx context.Context, err error) error { return t.onCompletedWritten(ctx, w, c.Skipped, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// maxLoggedHosts bounds the hosts in one log line.
const maxLoggedHosts = 16

func (t *term) onCompletedWritten(ctx context.Context, w *wave, skipped []string, err error) error {
	return t.post(ctx, func(now time.Time) {
		w.completing = false
		w.completed = err == nil
		if err != nil {
			w.notBefore = now.Add(writeRetryDelay)
			return
		}
		events.Log(ctx, t.Logger, events.WaveDone, slog.Int64("wave", w.Number), slog.Uint64("fence", t.fence),
			slog.Int64("took_ms", now.Sub(w.Seen).Milliseconds()), slog.Int64("within_ms", w.Within.Milliseconds()),
			slog.Int("skipped", len(skipped)), slog.String("skipped_hosts", strings.Join(skipped[:min(len(skipped), maxLoggedHosts)], ",")))
	})
}
