package jobhost

import (
	"context"
	"slices"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
)

const (
	// workerLease is how long workers keep running tasks without a hold.
	workerLease = 6 * time.Second
	// unconfirmedLease is how much longer leases may last after the store last confirmed the ownership of the pool.
	unconfirmedLease = 2 * time.Second
	// maxConnections bounds the connections of callers.
	maxConnections = 2000
	// stopNotice is long enough for two readiness checks, one per second, to fail.
	stopNotice = 2500 * time.Millisecond
)

func (h *Host) membershipOptions() membership.Options {
	return membership.Options{
		AskPeer: func(ctx context.Context, peer *pb.JobMember, pool string, fence uint64) error {
			return h.peers.HandOver(ctx, peer.GetPeerAddress(), pool, fence)
		},
	}
}

func (h *Host) frontOptions() jobfront.Options {
	return jobfront.Options{
		Codec: codec{}, Store: h.jobs, Owners: h.peers, Tables: h.tables,
		Relays:            relays{h},
		Log:               h.log,
		IsNotAccepted:     isNotAccepted,
		IsOtherWorkspace:  jobstore.OtherWorkspace.Has,
		IsStoredElsewhere: jobstore.StoredElsewhere.Has,
		KeyHeader:         platform.KeyHeader,
		MaxTableAge:       h.maxTableAge,
		Metrics:           jobfront.NewMetrics(h.stats),
		ContentType:       contentType,
		MaxConnections:    min(maxConnections, int(h.memory()/connectionShare/connectionBytes)),
		HeaderBytes:       h.memory() / requestShare,
		BodyBytes:         h.memory() / requestShare,
		StopNotice:        stopNotice,
	}
}

// maxTableAge returns how long ago a configuration must have been confirmed at most for keys in it to be accepted: a later one
// may be in force after that.
func (h *Host) maxTableAge() time.Duration {
	b := h.settings.Load().GetJobBounds()
	return b.GetApplyTime().AsDuration() + b.GetApplyStretch().AsDuration()
}

// isNotAccepted reports whether an error proves that nothing was stored. The error of an undecided write may wrap one that
// proves this for the last attempt only.
func isNotAccepted(err error) bool {
	return !jobstore.Undecided.Has(err) && (jobstore.NotAccepted.Has(err) || store.Unavailable.Has(err))
}

// poolNames returns the names of the pools that need an owner: the fleet and each pool that is not a spare pool.
func poolNames(t *queue.Table) []string {
	names := []string{membership.FleetPool}
	for _, p := range t.Pools {
		if !p.Spare {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

func newPools(h *Host) *pools {
	var once sync.Once
	p := &pools{log: h.log, terms: make(map[string]*term)}
	p.onFirstPool = func() { once.Do(func() { close(h.firstPoolGained) }) }
	p.newOwner = h.newOwner
	p.runFleet = h.runFleet
	p.takeFrom = func(ctx context.Context, pool string, fence uint64) error {
		return h.members.TakeFrom(ctx, pool, fence)
	}
	return p
}

// newOwner creates the owner of a pool. The caller calls release when the term has ended.
func (h *Host) newOwner(pool string, fence uint64) (owner *poolowner.Owner, release func()) {
	var policy poolowner.Policy
	workers := h.newCarryClient(pool, fence)
	release = workers.Close
	if address := h.settings.Load().GetPolicyService().GetAddress(); address != "" {
		client := platform.NewPolicy(address)
		policy = client
		release = func() {
			workers.Close()
			client.Close()
		}
	}
	owner = poolowner.New(poolowner.Options{
		Pool:    pool,
		Config:  h.schedulerConfig(fence),
		Workers: workers,
		Policy:  policy,
		Jobs:    h.jobs,
		Intents: func(ctx context.Context) (poolowner.Intents, error) { return h.intents(ctx, pool) },
		Confirmed: func() bool {
			held, ok := h.members.Confirmed(pool)
			return ok && held == fence
		},
		ConfirmedFrom: func() time.Time { return h.members.ConfirmedFrom(pool, fence) },
		Confirm:       func(ctx context.Context) bool { return h.members.Confirm(ctx, pool, fence) },
		Replaced:      func() { h.members.Replaced(pool, fence) },
		Clock:         h.clock.Now,
		Log:           h.log,
		Metrics:       poolowner.NewMetrics(h.stats),
	})
	return owner, release
}

func (h *Host) schedulerConfig(fence uint64) scheduler.Config {
	b := h.settings.Load().GetJobBounds()
	return scheduler.Config{
		Fence:            fence,
		Lease:            min(workerLease, b.GetMaxLease().AsDuration()),
		MaxLease:         b.GetMaxLease().AsDuration(),
		UnconfirmedLease: unconfirmedLease,
		StopTime:         b.GetStopTime().AsDuration(),
		GangTime:         b.GetGangTime().AsDuration(),
		Early:            b.GetEarly().AsDuration(),
		Retention:        b.GetRetention().AsDuration(),
		CrossRackFactor:  b.GetCrossRackFactor(),
		SaveInterval:     b.GetSaveInterval().AsDuration(),
		RestoreTime:      b.GetRestoreTime().AsDuration(),
		Notice:           b.GetNotice().AsDuration(),
		PaceDelay:        b.GetPaceDelay().AsDuration(),
		HarmTime:         b.GetHarmTime().AsDuration(),
		DrainTime:        b.GetDrainTime().AsDuration(),
	}
}

// codec encodes and decodes the messages of callers in the platform's format.
type codec struct{}

func (codec) DecodeJob(body []byte) (*pb.JobSpec, error) { return platform.DecodeJob(body) }
func (codec) EncodeState(state pb.JobState) []byte       { return platform.EncodeState(state) }
func (codec) EncodePending(n int64) []byte               { return platform.EncodePending(n) }
func (codec) ValidJobID(id string) bool                  { return platform.ValidJobID(id) }

// workerAdapter adapts the platform's client for workers.
type workerAdapter struct{ *platform.Workers }

// Hold renews a worker's lease and returns its report.
func (w workerAdapter) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	return w.Workers.Hold(ctx, platform.HoldRequest{
		Address: r.Address, Worker: r.Worker, Born: r.Born, Fence: r.Fence,
		LastSeen: r.LastSeen, Until: r.Until, Wait: r.Wait,
	})
}
