// Package proposals stages new configurations on every member and writes them to the store.
package proposals

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/fleetstore"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// proposalLimit is the maximum duration of one proposal.
	proposalLimit = 10 * time.Second
	// proposalRetry is the delay before a failed action is retried or a proposal without pending actions is advanced.
	proposalRetry = 200 * time.Millisecond
	// stageTimeout limits the call by which one member stages or drops a change.
	stageTimeout = time.Second
	// stageParallel is the number of members asked at once; each call costs the memory of one compression.
	stageParallel = 4
)

// stageClients returns clients of peers by address.
type stageClients interface {
	At(address string) agateturnv1connect.PeerServiceClient
}

// Proposer runs proposals of configurations, one at a time.
type Proposer struct {
	self   *pb.Member
	kv     store.KV
	view   *view.View
	writer *fleetstore.Writer
	peers  stageClients
	logger *slog.Logger

	mu sync.Mutex
	// attempts is the number of proposals so far; each has its own proposer id.
	attempts uint64
}

// Options are the dependencies of a Proposer.
type Options struct {
	Self   *pb.Member
	KV     store.KV
	View   *view.View
	Writer *fleetstore.Writer
	Peers  stageClients
	Logger *slog.Logger
}

// New returns a Proposer.
func New(o Options) *Proposer {
	return &Proposer{
		self:   o.Self,
		kv:     o.KV,
		view:   o.View,
		writer: o.Writer,
		peers:  o.Peers,
		logger: o.Logger,
	}
}

// proposalRun is one proposal in progress.
type proposalRun struct {
	*Proposer
	cfg      *pb.Configuration
	version  uint64 // the version of the base in the store
	id       string // the proposer id of this proposal
	proposal *config.Proposal
	members  map[string]*pb.Member // by identity, every member that was listed during the proposal
}

// Propose proposes cfg as the successor of the configuration that the store holds at the given version, and returns the
// outcome.
func (p *Proposer) Propose(ctx context.Context, cfg *pb.Configuration, version uint64) config.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	run := &proposalRun{
		Proposer: p,
		cfg:      cfg,
		version:  version,
		id:       config.ProposerID(fleet.Identity(p.self), p.attempts),
		members:  map[string]*pb.Member{},
	}
	identities, err := run.listMembers(ctx)
	if err != nil {
		return config.Outcome{Kind: config.Refused, Reason: err.Error()}
	}
	run.proposal = config.NewProposal(cfg, identities, time.Now().Add(proposalLimit), run.changeAt)
	return run.drive(ctx)
}

// changeAt returns the id of the change that was in force on this entry host at a generation, if known.
func (p *Proposer) changeAt(generation uint64) (changeID string, known bool) {
	p.view.WithStager(func(st *config.Stager) { changeID, known = st.ChangeAt(generation) })
	return changeID, known
}

// listMembers returns the identities of the members registered in the store, and of this entry host in any case.
func (r *proposalRun) listMembers(ctx context.Context) ([]string, error) {
	f, _, err := r.writer.Read(ctx)
	if err != nil {
		return nil, err
	}
	r.members[fleet.Identity(r.self)] = r.self
	identities := []string{fleet.Identity(r.self)}
	for _, m := range f.GetMembers() {
		r.members[fleet.Identity(m)] = m
		identities = append(identities, fleet.Identity(m))
	}
	return lo.Uniq(identities), nil
}

// drive executes the proposal's actions until the proposal is done or ctx ends.
func (r *proposalRun) drive(ctx context.Context) config.Outcome {
	pending := r.proposal.Start(time.Now())
	for {
		var stages, rest []config.Action
		for _, a := range pending {
			switch a.Kind {
			case config.Done:
				r.abandonAll(ctx, pending)
				return a.Outcome
			case config.StageOn:
				stages = append(stages, a)
			default:
				rest = append(rest, a)
			}
		}
		pending = r.stageAll(ctx, stages)
		for _, a := range rest {
			pending = append(pending, r.execute(ctx, a)...)
		}
		if len(pending) == 0 {
			_ = wait.For(ctx, proposalRetry)
			pending = r.proposal.Tick(time.Now())
		}
		if ctx.Err() != nil {
			return config.Outcome{Kind: config.Unknown, Reason: "the operator's request ended before the outcome was known"}
		}
	}
}

// abandonAll executes the Abandon actions: the members drop the change.
func (r *proposalRun) abandonAll(ctx context.Context, actions []config.Action) {
	for _, a := range actions {
		if a.Kind == config.Abandon {
			_ = r.execute(ctx, a)
		}
	}
}

// stageResult is one member's answer to a staging request.
type stageResult struct {
	member string
	answer *pb.StageResponse
	err    error
}

// stageAll asks the members to stage the change, stageParallel at once, and passes their answers to the proposal one after
// the other. If a call failed, it waits for proposalRetry. It returns the actions that follow.
func (r *proposalRun) stageAll(ctx context.Context, stages []config.Action) []config.Action {
	results := make([]stageResult, len(stages))
	sem := make(chan struct{}, stageParallel)
	var wg sync.WaitGroup
	for i, a := range stages {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			results[i] = r.stageOn(ctx, a.Member)
		})
	}
	wg.Wait()
	var next []config.Action
	failed := false
	for _, result := range results {
		switch {
		case result.err != nil:
			failed = true
			next = append(next, r.proposal.Unreachable(time.Now(), result.member)...)
		case result.answer.GetStaged():
			next = append(next, r.proposal.Acked(time.Now(), result.member)...)
		default:
			next = append(next, r.proposal.Denied(time.Now(), result.member, result.answer.GetReason(), result.answer.GetConfigGeneration())...)
		}
	}
	if failed {
		_ = wait.For(ctx, proposalRetry)
	}
	return next
}

func (r *proposalRun) stageOn(ctx context.Context, member string) stageResult {
	request := &pb.StageRequest{Config: r.cfg, Proposer: r.id}
	if member == fleet.Identity(r.self) {
		answer := &pb.StageResponse{}
		r.view.WithStager(func(st *config.Stager) {
			answer.Staged, answer.Reason = st.Stage(time.Now(), r.cfg, r.id)
			answer.ConfigGeneration = st.Generation()
		})
		return stageResult{member: member, answer: answer}
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	answer, err := r.peers.At(r.members[member].GetPeerAddress()).Stage(ctx, connect.NewRequest(request))
	if err != nil {
		return stageResult{member: member, err: err}
	}
	return stageResult{member: member, answer: answer.Msg}
}

// execute executes one action other than staging and returns the actions that follow.
func (r *proposalRun) execute(ctx context.Context, a config.Action) []config.Action {
	now := time.Now()
	switch a.Kind {
	case config.Swap:
		return r.proposal.Swapped(time.Now(), r.swap(ctx))
	case config.ReadBack:
		stored, err := r.readStored(ctx)
		if err != nil {
			_ = wait.For(ctx, proposalRetry)
			return r.proposal.ReadFailed(time.Now())
		}
		return r.proposal.Read(now, stored)
	case config.ListMembers:
		identities, err := r.listMembers(ctx)
		if err != nil {
			_ = wait.For(ctx, proposalRetry)
			return r.proposal.ListFailed(time.Now())
		}
		return r.proposal.Listed(now, identities)
	case config.Accept:
		if r.view.ApplyConfig(now, r.cfg) {
			events.Emit(ctx, r.logger, events.ConfigInForce, "generation", r.cfg.GetGeneration(), "source", "proposal")
		}
	case config.Abandon:
		r.abandonOn(ctx, a.Member)
	default: // drive handles StageOn and Done
	}
	return nil
}

func (r *proposalRun) swap(ctx context.Context) config.SwapResult {
	data, err := proto.Marshal(r.cfg)
	if err != nil {
		return config.SwapConflict
	}
	_, err = r.kv.CompareAndSwap(ctx, fleetstore.KeyConfig, r.version, data)
	switch {
	case err == nil:
		return config.SwapOK
	case store.Conflict.Has(err):
		return config.SwapConflict
	case store.Unavailable.Has(err):
		return config.SwapUnavailable
	default:
		return config.SwapUnknown
	}
}

func (r *proposalRun) abandonOn(ctx context.Context, member string) {
	if member == fleet.Identity(r.self) {
		r.view.WithStager(func(st *config.Stager) { st.Abandon(time.Now(), r.cfg.GetChangeId(), r.id) })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	_, _ = r.peers.At(r.members[member].GetPeerAddress()).Stage(ctx, connect.NewRequest(&pb.StageRequest{
		Config:   r.cfg,
		Proposer: r.id,
		Abandon:  true,
	}))
}

// Sync puts in force the configuration that the store holds and settles a staged one by it.
func (p *Proposer) Sync(ctx context.Context) error {
	began := time.Now()
	stored, err := p.readStored(ctx)
	if err != nil {
		return err
	}
	p.view.RecordStoreAnswer(time.Now())
	if stored != nil && p.view.ApplyConfig(time.Now(), stored) {
		events.Emit(ctx, p.logger, events.ConfigInForce, "generation", stored.GetGeneration(), "source", "store")
	}
	p.view.WithStager(func(st *config.Stager) { st.Confirm(began, stored.GetGeneration()) })
	return nil
}

// readStored returns the configuration in the store, or nil if there is none.
func (p *Proposer) readStored(ctx context.Context) (*pb.Configuration, error) {
	cfg, _, err := p.ReadVersion(ctx)
	return cfg, err
}

// ReadVersion returns the configuration in the store and its version there, or nil and 0 if there is none.
func (p *Proposer) ReadVersion(ctx context.Context) (*pb.Configuration, uint64, error) {
	value, err := store.GetWithRetry(ctx, p.kv, fleetstore.KeyConfig)
	if err != nil || value.Version == 0 {
		return nil, 0, err
	}
	cfg := &pb.Configuration{}
	if err := proto.Unmarshal(value.Data, cfg); err != nil {
		return nil, 0, fleetstore.ErrCorrupt.Wrap(err)
	}
	return cfg, value.Version, nil
}
