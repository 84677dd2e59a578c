// Package operations implements the backend of the operator API.
package operations

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/fleetstore"
	"github.com/agateturn/agateturn/internal/measures"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/internal/peers"
	"github.com/agateturn/agateturn/internal/proposals"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/settings"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/waves"
)

// operatorHold is how long a host that an operator moved is exempt from automatic moves.
const operatorHold = time.Hour

// Operations implements the backend of the operator API. The entry host that receives an order writes it to the fleet by
// compare-and-swap; the controller executes it.
type Operations struct {
	self       *pb.Member
	view       *view.View
	writer     *fleetstore.Writer
	proposer   *proposals.Proposer
	meter      *measures.Meter
	peers      *peers.Peers
	dispatch   *dispatch.Dispatcher
	stats      *stats.Stats
	pauseLimit time.Duration
	ready      func() error
	logger     *slog.Logger
}

var _ operatorapi.Backend = (*Operations)(nil)

// Options are the settings and dependencies of Operations.
type Options struct {
	Self       *pb.Member
	View       *view.View
	Writer     *fleetstore.Writer
	Proposer   *proposals.Proposer
	Meter      *measures.Meter
	Peers      *peers.Peers
	Dispatch   *dispatch.Dispatcher
	Stats      *stats.Stats
	PauseLimit time.Duration
	Ready      func() error
	Logger     *slog.Logger
}

// New returns the backend of the operator API.
func New(o Options) *Operations {
	return &Operations{
		self:       o.Self,
		view:       o.View,
		writer:     o.Writer,
		proposer:   o.Proposer,
		meter:      o.Meter,
		peers:      o.Peers,
		dispatch:   o.Dispatch,
		stats:      o.Stats,
		pauseLimit: o.PauseLimit,
		ready:      o.Ready,
		logger:     o.Logger,
	}
}

// Ready implements operatorapi.Backend.
func (b *Operations) Ready() error { return b.ready() }

// Configuration implements operatorapi.Backend.
func (b *Operations) Configuration(context.Context) (operatorapi.ConfigDocument, error) {
	cfg := b.view.Config()
	if cfg == nil {
		return operatorapi.ConfigDocument{}, nil
	}
	data, err := settings.Marshal(cfg)
	return operatorapi.ConfigDocument{Generation: cfg.GetGeneration(), ChangeID: cfg.GetChangeId(), INI: string(data)}, err
}

// ApplyConfiguration implements operatorapi.Backend.
func (b *Operations) ApplyConfiguration(ctx context.Context, change operatorapi.ConfigChange) (operatorapi.ConfigResult, error) {
	result, err := b.applyConfiguration(ctx, change)
	b.logChange(ctx, change, result, err)
	return result, err
}

func (b *Operations) applyConfiguration(ctx context.Context, change operatorapi.ConfigChange) (operatorapi.ConfigResult, error) {
	next := &pb.Configuration{}
	if err := settings.Parse("request", []byte(change.INI), next); err != nil {
		return operatorapi.ConfigResult{}, operatorapi.Refused.Wrap(err)
	}
	if err := config.Check(next); err != nil {
		return operatorapi.ConfigResult{}, operatorapi.Refused.Wrap(err)
	}
	present, version, err := b.proposer.ReadVersion(ctx)
	if err != nil {
		return operatorapi.ConfigResult{}, operatorapi.Unavailable.Wrap(err)
	}
	result := operatorapi.ConfigResult{Changes: describeChanges(present, next)}
	if generation, known := b.acceptedBefore(change.ChangeID, present); known {
		result.Generation, result.Repeated = generation, true
		return result, nil
	}
	if present.GetGeneration() != change.BaseGeneration {
		return result, operatorapi.Conflict.New("the configuration is at generation %d, but the change is based on %d; check agateturnctl config diff and apply it again",
			present.GetGeneration(), change.BaseGeneration)
	}
	result.Generation = present.GetGeneration() + 1
	if change.DryRun {
		return result, nil
	}
	next.Generation = result.Generation
	next.ChangeId = change.ChangeID
	began := time.Now()
	outcome := b.proposer.Propose(ctx, next, version)
	b.meter.Accepted(outcome, next.GetGeneration(), began)
	return result, outcomeError(outcome)
}

// acceptedBefore returns the generation of a change that is in the store already, or that was in force on this entry host
// before a later one, and reports whether it is such a change.
func (b *Operations) acceptedBefore(changeID string, present *pb.Configuration) (uint64, bool) {
	if present.GetChangeId() == changeID {
		return present.GetGeneration(), true
	}
	var generation uint64
	var known bool
	b.view.WithStager(func(st *config.Stager) { generation, known = st.GenerationOf(changeID) })
	return generation, known
}

func describeChanges(old, updated *pb.Configuration) []string {
	return lo.Map(config.Diff(old, updated), func(c config.Change, _ int) string { return c.String() })
}

func outcomeError(o config.Outcome) error {
	switch o.Kind {
	case config.Accepted:
		return nil
	case config.Conflict:
		return operatorapi.Conflict.New("%s", o.Reason)
	case config.Refused:
		return operatorapi.Unavailable.New("%s", o.Reason)
	default:
		return operatorapi.Unknown.New("%s", o.Reason)
	}
}

// order writes a change to the fleet and maps its errors to those of the operator API.
func (b *Operations) order(ctx context.Context, description string, change fleetstore.Change) (operatorapi.Accepted, error) {
	repeated := false
	f, err := b.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		next, err := change(f)
		repeated = next == f
		return next, err
	})
	switch {
	case err == nil:
		b.logOrder(ctx, description, repeated, "revision", f.GetRevision())
		return operatorapi.Accepted{FleetRevision: f.GetRevision()}, nil
	case store.Unavailable.Has(err):
		return operatorapi.Accepted{}, operatorapi.Unavailable.Wrap(err)
	case store.Unknown.Has(err):
		return operatorapi.Accepted{}, operatorapi.Unknown.Wrap(err)
	case store.Conflict.Has(err), fleet.AlreadyBusy.Has(err):
		return operatorapi.Accepted{}, operatorapi.Conflict.Wrap(err)
	case fleet.UnknownHost.Has(err), controller.UnknownPool.Has(err), waves.UnknownWave.Has(err):
		return operatorapi.Accepted{}, operatorapi.NotFound.Wrap(err)
	default:
		return operatorapi.Accepted{}, operatorapi.Refused.Wrap(err)
	}
}

// MoveHost implements operatorapi.Backend.
func (b *Operations) MoveHost(ctx context.Context, o operatorapi.MoveOrder) (operatorapi.Accepted, error) {
	return b.order(ctx, "move "+o.Host+" to "+o.Target, func(f *pb.Fleet) (*pb.Fleet, error) {
		return beginMove(f, b.view.Config(), o, time.Now())
	})
}

// beginMove starts the drain of a host for another pool if the budgets permit it, and exempts the host from automatic moves
// for operatorHold. For a repeated operation id it returns f itself.
func beginMove(f *pb.Fleet, cfg *pb.Configuration, o operatorapi.MoveOrder, now time.Time) (*pb.Fleet, error) {
	if !lo.SomeBy(cfg.GetPools(), func(p *pb.Pool) bool { return p.GetName() == o.Target }) {
		return nil, controller.UnknownPool.New("pool %q; agateturnctl pools lists the known pools", o.Target)
	}
	next, err := fleet.BeginMove(f, o.Host, o.Target, o.OperationID, now)
	if err != nil || next == f {
		return next, err
	}
	if err := fleet.NewBudgets(f, cfg, nil).MayMove(o.Host); err != nil {
		return nil, err
	}
	next = proto.CloneOf(next)
	for _, h := range next.GetHosts() {
		if h.GetHost() == o.Host {
			h.HeldUntilUnixMs = now.Add(operatorHold).UnixMilli()
		}
	}
	return next, nil
}

// SetHostDown implements operatorapi.Backend.
func (b *Operations) SetHostDown(ctx context.Context, o operatorapi.DownOrder) (operatorapi.Accepted, error) {
	return b.order(ctx, lo.Ternary(o.Down, "down ", "up ")+o.Host, func(f *pb.Fleet) (*pb.Fleet, error) {
		if o.Down {
			return fleet.MarkDown(f, o.Host, o.OperationID, time.Now())
		}
		return fleet.MarkUp(f, o.Host, o.OperationID, time.Now())
	})
}

// CreateWave implements operatorapi.Backend.
func (b *Operations) CreateWave(ctx context.Context, o operatorapi.WaveOrder) (operatorapi.Accepted, error) {
	return b.order(ctx, "create wave "+o.Name, func(f *pb.Fleet) (*pb.Fleet, error) {
		hosts := o.Hosts
		if len(hosts) == 0 {
			hosts = hostsOfPool(f, o.Pool)
		}
		return waves.Create(f, o.Name, hosts, o.OperationID, time.Now())
	})
}

// hostsOfPool returns the names of the pool's hosts, or of all hosts if pool is empty.
func hostsOfPool(f *pb.Fleet, pool string) []string {
	return lo.FilterMap(f.GetHosts(), func(h *pb.HostState, _ int) (string, bool) {
		return h.GetHost(), pool == "" || h.GetPool() == pool
	})
}

// ControlWave implements operatorapi.Backend.
func (b *Operations) ControlWave(ctx context.Context, o operatorapi.WaveControl) (operatorapi.Accepted, error) {
	accepted, err := b.order(ctx, o.Action+" wave "+o.Name, func(f *pb.Fleet) (*pb.Fleet, error) {
		switch o.Action {
		case "stop":
			return waves.Stop(f, o.Name, o.Reason)
		case "resume":
			return waves.Resume(f, o.Name)
		default:
			return waves.Cancel(f, o.Name, o.Reason, time.Now())
		}
	})
	if err == nil {
		b.logWaveOrder(ctx, o)
	}
	return accepted, err
}
