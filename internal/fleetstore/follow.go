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
	// watchers is the number of entry hosts that keep watches open on the store; the others hear from them.
	watchers = 3
	// pollPeriod is the time between two reads of an entry host that does not watch.
	pollPeriod = 30 * time.Second
	// pollWake is the time between two looks at whether this entry host should watch.
	pollWake = time.Second
)

// Follower brings newer values from the store into the view.
type Follower struct {
	kv   store.KV
	view *view.View
	name string
	// identity names this process as a controller.
	identity string
	logger   *slog.Logger
}

// FollowerOptions are what the duty needs.
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

// Run follows one key until ctx ends, as a watcher or by rare reads.
func (f *Follower) Run(ctx context.Context, key string, apply func(data []byte) error) {
	var version uint64
	failures := 0
	backoff := store.DefaultBackoff()
	for ctx.Err() == nil {
		value, err := f.next(ctx, key, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(ctx, key, err, failures)
			_ = backoff.Sleep(ctx)
			failures++
			continue
		}
		f.recovered(ctx, key, failures)
		failures = 0
		backoff.Reset()
		f.view.HeardStore(time.Now())
		if value.Version == version || value.Version == 0 {
			continue
		}
		version = value.Version
		if err := apply(value.Data); err != nil {
			events.Emit(ctx, f.logger, events.RecordSkipped, "key", key, "version", version, "err", err)
		}
	}
}

// next waits for a newer value: with a watch on the store, or by a read after the poll period.
func (f *Follower) next(ctx context.Context, key string, version uint64) (store.Value, error) {
	if version == 0 {
		return f.kv.Get(ctx, key)
	}
	if f.watches() {
		return f.kv.Wait(ctx, key, version)
	}
	deadline := time.Now().Add(pollPeriod)
	for time.Now().Before(deadline) && !f.watches() {
		if err := wait.For(ctx, pollWake); err != nil {
			return store.Value{}, err
		}
	}
	return f.kv.Get(ctx, key)
}

// watches reports whether this entry host is one of the few that keep watches open: the first by rendezvous hashing.
func (f *Follower) watches() bool {
	members := f.view.Fleet().GetMembers()
	if len(members) <= watchers || f.view.Fleet().GetController() == f.identity {
		return true
	}
	names := lo.Map(members, func(m *pb.Member, _ int) string { return m.GetName() })
	sort.Slice(names, func(i, j int) bool {
		return rendezvous.Hash("watcher "+names[i]) > rendezvous.Hash("watcher "+names[j])
	})
	return lo.Contains(names[:watchers], f.name)
}

func (f *Follower) failed(ctx context.Context, key string, err error, failures int) {
	f.view.SetStoreFailing(true)
	if failures == 0 {
		events.Emit(ctx, f.logger, events.StoreUnreachable, "key", key, "err", err)
	}
}

func (f *Follower) recovered(ctx context.Context, key string, failures int) {
	f.view.SetStoreFailing(false)
	if failures > 0 {
		events.Emit(ctx, f.logger, events.StoreBack, "key", key, "failures", failures)
	}
}

// TakeFleet applies a fleet value read from the store.
func (f *Follower) TakeFleet(data []byte) error {
	next := &pb.Fleet{}
	if err := proto.Unmarshal(data, next); err != nil {
		return ErrCorrupt.Wrap(err)
	}
	f.view.ApplyFleet(next)
	return nil
}

// TakeConfig puts a configuration read from the store in force.
func (f *Follower) TakeConfig(data []byte) error {
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
