package jobhost

import (
	"log/slog"
	"time"

	"github.com/samber/do/v2"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/boottime"
	"github.com/agateturn/agateturn/internal/carry"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/jobpeer"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/measures"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/internal/tablefollow"
	"github.com/agateturn/agateturn/internal/workerlist"
	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 2500 * time.Millisecond
	// watchSpacing is the minimum time between a watch for new jobs that returned changes and the next one. Jobs need not wait
	// for it, since entry hosts also offer them to owners directly.
	watchSpacing = 500 * time.Millisecond
)

// injector declares how each component is created. Package do creates each one once, on first use.
func injector(s *pb.JobSettings, log *slog.Logger) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.Provide(i, func(do.Injector) (*stats.Stats, error) { return stats.New(stats.Limits{}), nil })
	do.Provide(i, func(do.Injector) (*boottime.Clock, error) { return boottime.New(), nil })
	do.Provide(i, provideStore)
	do.Provide(i, provideWorkers)
	do.Provide(i, provideTables)
	do.Provide(i, provideJobs)
	do.Provide(i, provideHost)
	return i
}

func provideStore(i do.Injector) (store.Transactor, error) {
	return platform.NewStore(do.MustInvoke[*pb.JobSettings](i).GetJobStore().GetAddress(), platform.StoreOptions{
		Timeout: storeTimeout,
		Observe: newCallMeter(do.MustInvoke[*stats.Stats](i), metricStoreCalls, metricStoreTime, metricStoreBytes).observe,
	}), nil
}

func provideWorkers(i do.Injector) (poolowner.Workers, error) {
	clock := do.MustInvoke[*boottime.Clock](i)
	return workerAdapter{platform.NewWorkers(platform.WorkersOptions{
		Now:     clock.Now,
		Observe: newCallMeter(do.MustInvoke[*stats.Stats](i), metricWorkerCalls, metricWorkerTime, metricWorkerBytes).observe,
	})}, nil
}

func provideTables(i do.Injector) (*tablefollow.Follower, error) {
	kv, log := do.MustInvoke[store.Transactor](i), do.MustInvoke[*slog.Logger](i)
	clock := do.MustInvoke[*boottime.Clock](i)
	return tablefollow.New(kv, platform.ConfigKey, platform.ParseTable, clock.Now, log), nil
}

func provideJobs(i do.Injector) (*jobstore.Store, error) {
	kv, log := do.MustInvoke[store.Transactor](i), do.MustInvoke[*slog.Logger](i)
	clock := do.MustInvoke[*boottime.Clock](i)
	return jobstore.New(kv, clock.Now, log, jobstore.Options{WatchSpacing: watchSpacing}), nil
}

// provideHost also creates the components that depend on each other, and connects them through the host.
func provideHost(i do.Injector) (*Host, error) {
	h := &Host{
		log:             do.MustInvoke[*slog.Logger](i),
		clock:           do.MustInvoke[*boottime.Clock](i),
		stats:           do.MustInvoke[*stats.Stats](i),
		kv:              do.MustInvoke[store.Transactor](i),
		workers:         do.MustInvoke[poolowner.Workers](i),
		tables:          do.MustInvoke[*tablefollow.Follower](i),
		jobs:            do.MustInvoke[*jobstore.Store](i),
		firstPoolGained: make(chan struct{}),
	}
	h.settings.Store(do.MustInvoke[*pb.JobSettings](i))
	h.pools = newPools(h)
	h.members = membership.New(h.kv, h.self(), membership.Events{
		Gained: h.pools.startTerm,
		Lost:   h.pools.endTerm,
	}, h.clock.Now, h.log, h.membershipOptions())
	h.workerCalls = newCallMeter(h.stats, metricWorkerCalls, metricWorkerTime, metricWorkerBytes).observe
	h.carrierPeers = carry.NewHTTPPeers(measures.TrafficMeter(h.stats, measures.TrafficPeers))
	h.carrier = carry.NewServer(h.newCarriedWorkers, h.clock.Now)
	h.peers = jobpeer.New(h.resolve, h.pools)
	h.peers.OnRefused(h.onPeerGone)
	h.peers.LogTo(h.log)
	h.peers.SetMeter(measures.TrafficMeter(h.stats, measures.TrafficPeers))
	h.front = jobfront.New(h.frontOptions())
	h.workerList = workerlist.New(h.kv, platform.WorkersPrefix, platform.ParseWorker, h.clock.Now, h.log, h.pools.setWorkers)
	return h, nil
}
