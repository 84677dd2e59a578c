package fleetowner

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"google.golang.org/protobuf/proto"
)

const (
	watchWait    = 5 * time.Second
	watchTimeout = 8 * time.Second
	rangeTimeout = 3 * time.Second
	// rescanInterval is the interval between full reads of the waves, in case the watch misses changes.
	rescanInterval = 4 * time.Second
	// emptyWatchPause is the pause after a watch without events.
	emptyWatchPause = 100 * time.Millisecond
)

// wave is a wave and the state of its writes. It belongs to the loop.
type wave struct {
	upkeep.Wave
	key string
	// dirtySince is since when progress waits to be written; zero if none does.
	dirtySince time.Time
	// notBefore is when a failed write may be retried.
	notBefore time.Time
	// statusWritten is set when the running status is written or being written.
	statusWritten bool
	// writing is set while progress is being written.
	writing bool
	// completing is set while the completion is being written, completed once it is durable.
	completing bool
	completed  bool
}

// load reads the waves and their progress, and returns the revision from which to watch.
func (t *term) load(ctx context.Context) (uint64, error) {
	backoff := store.DefaultBackoff()
	for {
		asOf, err := t.tryLoad(ctx)
		if err == nil {
			return asOf, nil
		}
		events.Log(ctx, t.Logger, events.WaveUnread, slog.Uint64("fence", t.fence), slog.String("err", err.Error()))
		if err := backoff.Sleep(ctx); err != nil {
			return 0, err
		}
	}
}

func (t *term) tryLoad(ctx context.Context) (uint64, error) {
	if err := t.loadMoves(ctx); err != nil {
		return 0, err
	}
	records, _, err := t.scan(ctx, t.Names.RecordPrefix, false)
	if err != nil {
		return 0, err
	}
	items, asOf, err := t.scan(ctx, t.Names.WavePrefix, false)
	if err != nil {
		return 0, err
	}
	known := map[int64]*pb.WaveRecord{}
	for _, item := range records {
		r := &pb.WaveRecord{}
		t.versions[item.Key] = item.Version
		if proto.Unmarshal(item.Data, r) == nil {
			known[r.GetWave()] = r
		}
	}
	now := t.Clock()
	for _, item := range items {
		t.addWave(ctx, now, item, known)
	}
	return asOf, nil
}

// loadMoves reads the moves that an earlier owner may have ordered.
func (t *term) loadMoves(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	item, err := t.Store.Get(ctx, t.Names.MovesKey)
	if err != nil {
		return err
	}
	t.versions[t.Names.MovesKey] = item.Version
	r := &pb.MoveRecord{}
	if err := proto.Unmarshal(item.Data, r); err != nil {
		t.logSkipped(ctx, item.Key, item.Version, err)
		return nil
	}
	moves := make([]upkeep.MoveOrder, 0, len(r.GetMoves()))
	for _, m := range r.GetMoves() {
		moves = append(moves, upkeep.MoveOrder{Host: m.GetHost(), Pool: m.GetPool()})
	}
	now := t.Clock()
	t.planner.RestoreMoves(now, moves)
	t.planner.RestoreLearned(now, r.GetDemands())
	return nil
}

func (t *term) scan(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	return t.Store.Range(ctx, prefix, stale)
}

// addWave adds or updates a wave as stored, with its known progress.
func (t *term) addWave(ctx context.Context, now time.Time, item store.Item, known map[int64]*pb.WaveRecord) {
	parsed, err := t.Names.ParseWave(item.Key, item.Data)
	if err != nil {
		events.Log(ctx, t.Logger, events.WaveUnread, slog.String("key", item.Key),
			slog.Uint64("version", item.Version), slog.String("err", err.Error()))
		return
	}
	if w := t.waves[parsed.Number]; w != nil {
		parsed.Seen = w.Seen
		w.Wave = parsed
		return
	}
	parsed.Seen = now
	events.Log(ctx, t.Logger, events.WaveStarted, slog.Int64("wave", parsed.Number),
		slog.Uint64("version", item.Version), slog.Uint64("fence", t.fence), slog.Int("hosts", len(parsed.Hosts)),
		slog.Int64("within_ms", parsed.Within.Milliseconds()), slog.Int("cap", parsed.Cap))
	w := &wave{Wave: parsed, key: item.Key}
	t.waves[parsed.Number] = w
	r := known[parsed.Number]
	if r == nil {
		w.dirtySince = now
		return
	}
	w.statusWritten = true
	if seen := time.UnixMilli(r.GetSeenMs()); seen.Before(now) {
		w.Seen = seen
	}
	w.completed = r.GetCompleted()
	if !w.completed {
		t.planner.Restore(now, parsed.Number, progressOf(r))
	}
}

func progressOf(r *pb.WaveRecord) map[string]upkeep.Progress {
	out := make(map[string]upkeep.Progress, len(r.GetHosts()))
	for _, m := range r.GetHosts() {
		switch m.GetPhase() {
		case pb.UpkeepPhase_UPKEEP_PHASE_INTENDED:
			out[m.GetHost()] = upkeep.Intended
		case pb.UpkeepPhase_UPKEEP_PHASE_BEGUN:
			out[m.GetHost()] = upkeep.Begun
		case pb.UpkeepPhase_UPKEEP_PHASE_UNSPECIFIED:
		}
	}
	return out
}

// watchWaves follows changes of the waves, and reads them again when the watch's revision was compacted.
func (t *term) watchWaves(ctx context.Context, after uint64) error {
	backoff := store.DefaultBackoff()
	for {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		events, asOf, err := t.Store.Watch(call, t.Names.WavePrefix, after, watchWait)
		cancel()
		if err == nil {
			backoff.Reset()
			after = asOf
			if err := t.postWaves(ctx, events); err != nil {
				return err
			}
			continue
		}
		if err := backoff.Sleep(ctx); err != nil {
			return err
		}
		if store.Compacted.Has(err) {
			after = t.reread(ctx, after, false)
		}
	}
}

func (t *term) postWaves(ctx context.Context, events []store.Event) error {
	if len(events) == 0 {
		return wait.For(ctx, emptyWatchPause)
	}
	return t.post(ctx, func(now time.Time) {
		for _, e := range events {
			if e.Deleted {
				t.dropWave(e.Item.Key)
				continue
			}
			t.addWave(ctx, now, e.Item, nil)
		}
	})
}

// reread reads all waves again and returns the revision from which to watch.
func (t *term) reread(ctx context.Context, after uint64, stale bool) uint64 {
	items, asOf, err := t.scan(ctx, t.Names.WavePrefix, stale)
	if err != nil {
		return after
	}
	_ = t.post(ctx, func(now time.Time) {
		for _, item := range items {
			t.addWave(ctx, now, item, nil)
		}
	})
	return max(after, asOf)
}

// rescanWaves reads all waves again at each rescanInterval.
func (t *term) rescanWaves(ctx context.Context) error {
	for {
		if err := wait.For(ctx, rescanInterval); err != nil {
			return err
		}
		t.reread(ctx, 0, true)
	}
}

func (t *term) dropWave(key string) {
	for number, w := range t.waves {
		if w.key == key {
			delete(t.waves, number)
		}
	}
}

func (t *term) recordKey(wave int64) string {
	return fmt.Sprintf("%s%d", t.Names.RecordPrefix, wave)
}
