package fleetowner

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"google.golang.org/protobuf/proto"
)

const (
	commitTimeout = 1500 * time.Millisecond
	// flushAfter is how long progress waits for an order to be written with.
	flushAfter = 300 * time.Millisecond
	retryWrite = 500 * time.Millisecond
)

// write is a write of one record, and perhaps a wave's state, under the owner's fence. done is called by the writer with its outcome.
type write struct {
	key  string
	puts []store.Put
	// guards must hold too: the owners of pools on whose word the orders rest.
	guards []store.Condition
	done   func(ctx context.Context, err error) error
}

// writer commits writes one after the other. Each also requires the version of the wave's record that this owner wrote
// last, so a write whose answer was lost cannot land after a newer one.
type writer struct {
	*term
	versions map[string]uint64
	// unsure are records whose last write had no answer.
	unsure map[string]bool
	// failed is when the store last failed; writes are not tried for a while after that.
	failed time.Time
}

// run commits until ctx ends or the fence is not held any more.
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
	if time.Since(w.failed) < retryWrite {
		return store.Unavailable.New("failed %s ago", time.Since(w.failed))
	}
	err := w.try(ctx, job)
	if err != nil && !PoolReplaced.Has(err) {
		w.failed = time.Now()
	}
	return err
}

// try commits until the record's version is the one that is known. A lost answer is looked up once.
func (w *writer) try(ctx context.Context, job write) error {
	key := job.key
	for {
		if w.unsure[key] {
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
			w.unsure[key] = true
			item, readErr := w.readBack(ctx, key)
			if readErr == nil && bytes.Equal(item.Data, job.puts[0].Data) {
				return nil
			}
			return err
		}
		if !holds(conflict.Items, w.Guard(w.fence)) {
			return Replaced.New("the store refuses fence %d", w.fence)
		}
		if !holds(conflict.Items, job.guards...) {
			return PoolReplaced.New("%s not written", key)
		}
		w.unsure[key] = true
	}
}

// send is one commit. The record is the first of the puts.
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

// holds says whether none of the conditions is among those that failed. items are the present states of their keys.
func holds(items []store.Item, conditions ...store.Condition) bool {
	for _, c := range conditions {
		for _, item := range items {
			if item.Key == c.Key && item.Version != c.Version {
				return false
			}
		}
	}
	return true
}

// readBack learns the version of a record whose last write had no answer.
func (w *writer) readBack(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := w.Store.Get(ctx, key)
	if err != nil {
		return store.Item{}, err
	}
	w.versions[key] = item.Version
	w.unsure[key] = false
	return item, nil
}

// record is the present progress of a wave.
func (t *term) record(ctx context.Context, w *wave) store.Put {
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
	return t.put(ctx, r)
}

func (t *term) put(ctx context.Context, r *pb.WaveRecord) store.Put {
	return t.encode(ctx, t.recordKey(r.GetWave()), r)
}

func (t *term) encode(ctx context.Context, key string, m proto.Message) store.Put {
	data, err := proto.Marshal(m)
	if err != nil {
		t.skipped(ctx, key, 0, err)
	}
	return store.Put{Key: key, Data: data}
}

// skipped tells of a record that cannot be read or written. version is 0 for one that was to be written.
func (t *term) skipped(ctx context.Context, key string, version uint64, err error) {
	events.Log(ctx, t.Logger, events.RecordSkipped, slog.String("key", key), slog.Uint64("version", version),
		slog.Uint64("fence", t.fence), slog.String("err", err.Error()))
}

// openMoves is the record of the moves that may be carried out.
func (t *term) openMoves(ctx context.Context, key string) store.Put {
	r := &pb.MoveRecord{Demands: t.planner.Learned()}
	for _, m := range t.planner.OpenMoves() {
		r.Moves = append(r.Moves, &pb.HostMove{Host: m.Host, Pool: m.Pool})
	}
	return t.encode(ctx, key, r)
}

// touch says that a wave has progress to be written.
func (t *term) touch(number int64, now time.Time) {
	if w := t.waves[number]; w != nil && w.dirty.IsZero() {
		w.dirty = now
	}
}

// flush writes progress that has waited, and the state of waves that are new.
func (t *term) flush(ctx context.Context, now time.Time) error {
	for _, number := range slices.Sorted(maps.Keys(t.waves)) {
		w := t.waves[number]
		if !w.due(now) {
			continue
		}
		puts := []store.Put{t.record(ctx, w)}
		if !w.announced {
			puts = append(puts, t.statusPut(number, false))
		}
		w.dirty = time.Time{}
		w.announced = true
		w.writing = true
		job := write{key: puts[0].Key, puts: puts}
		job.done = func(ctx context.Context, err error) error { return t.flushed(ctx, number, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

// due says whether the progress of a wave is to be written now.
func (w *wave) due(now time.Time) bool {
	if w.completed || w.completing || w.writing || w.dirty.IsZero() || now.Before(w.notTill) {
		return false
	}
	return !w.announced || now.Sub(w.dirty) >= flushAfter
}

// flushed has the state written again if that failed.
func (t *term) flushed(ctx context.Context, number int64, err error) error {
	return t.tell(ctx, func(now time.Time) {
		w := t.waves[number]
		if w == nil {
			return
		}
		w.writing = false
		if err != nil {
			w.announced = false
			w.dirty = now
			w.notTill = now.Add(retryWrite)
		}
	})
}

func (t *term) statusPut(number int64, completed bool) store.Put {
	return store.Put{Key: t.Names.StatusKey(number), Data: t.Names.Status(number, completed)}
}

// completed writes the end of waves.
func (t *term) completed(ctx context.Context, now time.Time, numbers []int64) error {
	for _, number := range numbers {
		w := t.waves[number]
		if w == nil || w.completing || w.completed || now.Before(w.notTill) {
			continue
		}
		w.completing = true
		end := &pb.WaveRecord{Wave: number, SeenMs: w.Seen.UnixMilli(), Completed: true}
		puts := []store.Put{t.put(ctx, end), t.statusPut(number, true)}
		job := write{key: puts[0].Key, puts: puts}
		job.done = func(ctx context.Context, err error) error { return t.ended(ctx, w, err) }
		if err := t.writes.Put(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

func (t *term) ended(ctx context.Context, w *wave, err error) error {
	return t.tell(ctx, func(now time.Time) {
		w.completing = false
		w.completed = err == nil
		if err != nil {
			w.notTill = now.Add(retryWrite)
			return
		}
		events.Log(ctx, t.Logger, events.WaveDone, slog.Int64("wave", w.Number), slog.Uint64("fence", t.fence),
			slog.Int64("took_ms", now.Sub(w.Seen).Milliseconds()), slog.Int64("within_ms", w.Within.Milliseconds()))
	})
}
