package fleetstore

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/rendezvous"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// maxWatchers is the number of entry hosts that keep watches open on the store; the others get changes from them.
	maxWatchers = 3
	// pollInterval is the time between two reads by an entry host that does not watch.
	pollInterval = 30 * time.Second
	// watcherCheckInterval is how often an entry host checks whether it should watch.
	watcherCheckInterval = time.Second
)

// Follower applies newer values of the store to the view.
type Follower struct {
	kv   store.KV
	view *view.View
	name string
	// identity identifies this process as a controller.
	identity string
	logger   *slog.Logger
}

// FollowerOptions are the options of a Follower.
type FollowerOptions struct {
	KV       store.KV
	View     *view.View
	Name     string
	Identity string
	Logger   *slog.Logger
}

// NewFollower returns a follower of the keys of the store.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{
		kv:       o.KV,
		view:     o.View,
		name:     o.Name,
		identity: o.Identity,
		logger:   o.Logger,
	}
}

// Run follows one key until ctx ends, by a watch or by periodic reads.
func (f *Follower) Run(ctx context.Context, key string, apply func(data []byte) error) {
	var version uint64
	failures := 0
	backoff := store.DefaultBackoff()
	for ctx.Err() == nil {
		value, err := f.awaitNewer(ctx, key, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.reportFailure(ctx, key, err, failures)
			_ = backoff.Sleep(ctx)
			failures++
			continue
		}
		f.reportRecovery(ctx, key, failures)
		failures = 0
		backoff.Reset()
		f.view.RecordStoreAnswer(time.Now())
		if value.Version == version || value.Version == 0 {
			continue
		}
		version = value.Version
		if err := apply(value.Data); err != nil {
			events.Emit(ctx, f.logger, events.RecordSkipped, "key", key, "version", version, "err", err)
		}
	}
}

// awaitNewer waits for a newer value: by a watch on the store, or by a read after pollInterval.
func (f *Follower) awaitNewer(ctx context.Context, key string, version uint64) (store.Value, error) {
	if version == 0 {
		return f.kv.Get(ctx, key)
	}
	if f.isWatcher() {
		return f.kv.Wait(ctx, key, version)
	}
	deadline := time.Now().Add(pollInterval)
	for time.Now().Before(deadline) && !f.isWatcher() {
		if err := wait.For(ctx, watcherCheckInterval); err != nil {
			return store.Value{}, err
		}
	}
	return f.kv.Get(ctx, key)
}

// isWatcher reports whether this entry host is one of the few that keep watches open: the first by rendezvous hashing.
func (f *Follower) isWatcher() bool {
	members := f.view.Fleet().GetMembers()
	if len(members) <= maxWatchers || f.view.Fleet().GetController() == f.identity {
		return true
	}
	names := lo.Map(members, func(m *pb.Member, _ int) string { return m.GetName() })
	sort.Slice(names, func(i, j int) bool {
		return rendezvous.Hash("watcher "+names[i]) > rendezvous.Hash("watcher "+names[j])
	})
	return lo.Contains(names[:maxWatchers], f.name)
}

func (f *Follower) reportFailure(ctx context.Context, key string, err error, failures int) {
	f.view.SetStoreFailing(true)
	if failures == 0 {
		events.Emit(ctx, f.logger, events.StoreUnreachable, "key", key, "err", err)
	}
}

func (f *Follower) reportRecovery(ctx context.Context, key string, failures int) {
	f.view.SetStoreFailing(false)
	if failures > 0 {
		events.Emit(ctx, f.logger, events.StoreBack, "key", key, "failures", failures)
	}
}

// ApplyFleet applies a fleet value read from the store.
func (f *Follower) ApplyFleet(data []byte) error {
	next := &pb.Fleet{}
	if err := proto.Unmarshal(data, next); err != nil {
		return ErrCorrupt.Wrap(err)
	}
	f.view.ApplyFleet(next)
	return nil
}

// ApplyConfig puts a configuration read from the store in force.
func (f *Follower) ApplyConfig(data []byte) error {
	next := &pb.Configuration{}
	if err := proto.Unmarshal(data, next); err != nil {
		return ErrCorrupt.Wrap(err)
	}
	if f.view.ApplyConfig(time.Now(), next) {
		events.Emit(context.Background(), f.logger, events.ConfigInForce, "generation", next.GetGeneration(), "source", "store")
	} else if next.GetGeneration() < f.view.Config().GetGeneration() {
		events.Emit(context.Background(), f.logger, events.ConfigStale, "generation", next.GetGeneration())
	}
	return nil
}
