package entryhost

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/wait"
	"github.com/agateturn/agateturn/store"
)

const (
	// membershipPeriod is the time between two looks at whether this entry host is still a member.
	membershipPeriod = 500 * time.Millisecond
	// leaveTimeout bounds the wait for the store when a stopping entry host leaves.
	leaveTimeout = 3 * time.Second
)

// registrar makes this entry host a member and notices when it is none any more.
//
// A member is registered in the fleet value before it reads the values it serves by, so that a controller that did not
// see it yet cannot have finished a move that it has not heard of.
type registrar struct {
	self     *pb.Member
	view     *view
	writer   *writer
	peers    *peers
	detector *pause.Detector
	proposer *proposer
	seeds    []string
	logger   *slog.Logger
	// synced is set once the configuration was read from the store after the registration.
	synced atomic.Bool
}

// run registers, then watches over the membership until ctx ends. It returns errRemoved when the fleet no longer holds
// this incarnation: then its view may be old, and the process has to start anew.
func (r *registrar) run(ctx context.Context) error {
	backoff := store.DefaultBackoff()
	failing := false
	for ctx.Err() == nil {
		if r.isMember() {
			if err := r.watchOver(ctx); err != nil {
				return err
			}
			continue
		}
		if err := r.join(ctx); errRemoved.Has(err) {
			return err
		} else if err != nil {
			if !failing {
				events.Emit(ctx, r.logger, events.JoinRefused, "err", err)
			}
			failing = true
			_ = backoff.Sleep(ctx)
			continue
		}
		failing = false
		backoff.Reset()
	}
	return nil
}

// join registers with the store or, while that is down, becomes the guest of a peer.
func (r *registrar) join(ctx context.Context) error {
	_, err := r.writer.update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) { return fleet.Register(f, r.self) })
	if err == nil {
		events.Emit(ctx, r.logger, events.MemberJoined, "member", r.self.GetName())
		return nil
	}
	if r.detector.Suspect() {
		return errRemoved.New("paused before it had joined") // a successor may be a member already
	}
	for _, address := range r.seeds {
		if r.peers.fetchAsGuest(ctx, address) == nil {
			if !r.peers.sponsored(address) {
				break
			}
			r.view.withStager(func(st *config.Stager) { st.JoinAsGuest(time.Now()) })
			events.Emit(ctx, r.logger, events.JoinedAsGuest, "sponsor", address)
			break
		}
	}
	return err
}

// isMember reports whether the applied fleet holds this incarnation.
func (r *registrar) isMember() bool { return fleet.HasMember(r.view.fleet(), r.self) }

// watchOver waits until the membership ends. A suspected pause is confirmed by values fetched after it.
func (r *registrar) watchOver(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.detector.Suspect() {
			r.confirm(ctx)
		}
		r.settle(ctx)
		if !r.isMember() {
			return errRemoved.New("member %q incarnation %q", r.self.GetName(), r.self.GetIncarnation())
		}
		_ = wait.For(ctx, membershipPeriod)
	}
	return nil
}

// settle reads the configuration from the store: once after the registration, and while a staged one is in doubt.
func (r *registrar) settle(ctx context.Context) {
	inDoubt := false
	r.view.withStager(func(st *config.Stager) { inDoubt = st.Staged() != nil })
	if r.synced.Load() && !inDoubt {
		return
	}
	if r.proposer.sync(ctx) == nil && !r.synced.Swap(true) {
		r.view.withStager((*config.Stager).Registered)
	}
}

// confirm ends the suspicion of a pause by a fleet read after it: from the store or, while that is down, from a member.
//
// One member is enough: a drain that was completed without this process's release had been applied by that member, so its
// fleet shows the host as draining; and a later one cannot be completed without that member.
func (r *registrar) confirm(ctx context.Context) {
	f, _, err := r.writer.read(ctx)
	if err != nil {
		f, err = r.peers.fleetOfMember(ctx)
	}
	if err != nil {
		return
	}
	r.view.applyFleet(f)
	if fleet.HasMember(f, r.self) {
		r.detector.Confirm()
	}
}

// setLeaving tells the fleet that this member owns nothing more. It is best effort: the store may be down.
func (r *registrar) setLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.SetLeaving(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// leave takes this member out of the fleet. Nothing may be in flight any more.
func (r *registrar) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.Leave(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// errRemoved is a process that the fleet no longer holds.
var errRemoved = errs.Class("this process was removed from the fleet while it was paused; start it again")

// registered reports whether this process is a member and has read the configuration since it became one.
func (r *registrar) registered() bool { return r.isMember() && r.synced.Load() }

// registrarOptions are what the duty needs.
type registrarOptions struct {
	Self     *pb.Member
	View     *view
	Writer   *writer
	Peers    *peers
	Detector *pause.Detector
	Proposer *proposer
	Seeds    []string
	Logger   *slog.Logger
}

// newRegistrar returns the duty that makes this entry host a member.
func newRegistrar(o registrarOptions) *registrar {
	return &registrar{
		self:     o.Self,
		view:     o.View,
		writer:   o.Writer,
		peers:    o.Peers,
		detector: o.Detector,
		proposer: o.Proposer,
		seeds:    o.Seeds,
		logger:   o.Logger,
	}
}
