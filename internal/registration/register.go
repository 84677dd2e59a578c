// Package registration makes an entry host a member of the fleet and notices when it is none any more.
package registration

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
	"github.com/agateturn/agateturn/internal/fleetstore"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// membershipPeriod is the time between two looks at whether this entry host is still a member.
	membershipPeriod = 500 * time.Millisecond
	// leaveTimeout bounds the wait for the store when a stopping entry host leaves.
	leaveTimeout = 3 * time.Second
)

// sponsors are the peers that may vouch for this entry host or tell it the fleet.
type sponsors interface {
	// FetchAsGuest asks the peer at an address to vouch for this entry host.
	FetchAsGuest(ctx context.Context, address string) error
	// Sponsored records which peer vouches, and reports whether it is another than before.
	Sponsored(address string) bool
	// FleetOfMember is the whole fleet of the first other member that answers.
	FleetOfMember(ctx context.Context) (*pb.Fleet, error)
}

// configSync puts in force the configuration that the store holds.
type configSync interface {
	Sync(ctx context.Context) error
}

// Registrar makes this entry host a member and notices when it is none any more.
//
// A member is registered in the fleet value before it reads the values it serves by, so that a controller that did not
// see it yet cannot have finished a move that it has not heard of.
type Registrar struct {
	self     *pb.Member
	view     *view.View
	writer   *fleetstore.Writer
	peers    sponsors
	detector *pause.Detector
	proposer configSync
	seeds    []string
	logger   *slog.Logger
	// synced is set once the configuration was read from the store after the registration.
	synced atomic.Bool
}

// Options are what the duty needs.
type Options struct {
	Self     *pb.Member
	View     *view.View
	Writer   *fleetstore.Writer
	Peers    sponsors
	Detector *pause.Detector
	Proposer configSync
	Seeds    []string
	Logger   *slog.Logger
}

// New returns the duty that makes this entry host a member.
func New(o Options) *Registrar {
	return &Registrar{
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

// Run registers, then watches over the membership until ctx ends. It returns errRemoved when the fleet no longer holds
// this incarnation: then its view may be old, and the process has to start anew.
func (r *Registrar) Run(ctx context.Context) error {
	backoff := store.DefaultBackoff()
	failing := false
	for ctx.Err() == nil {
		if r.IsMember() {
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
func (r *Registrar) join(ctx context.Context) error {
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) { return fleet.Register(f, r.self) })
	if err == nil {
		events.Emit(ctx, r.logger, events.MemberJoined, "member", r.self.GetName())
		return nil
	}
	if r.detector.Suspect() {
		return errRemoved.New("paused before it had joined") // a successor may be a member already
	}
	for _, address := range r.seeds {
		if r.peers.FetchAsGuest(ctx, address) == nil {
			if !r.peers.Sponsored(address) {
				break
			}
			r.view.WithStager(func(st *config.Stager) { st.JoinAsGuest(time.Now()) })
			events.Emit(ctx, r.logger, events.JoinedAsGuest, "sponsor", address)
			break
		}
	}
	return err
}

// IsMember reports whether the applied fleet holds this incarnation.
func (r *Registrar) IsMember() bool { return fleet.HasMember(r.view.Fleet(), r.self) }

// watchOver waits until the membership ends. A suspected pause is confirmed by values fetched after it.
func (r *Registrar) watchOver(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.detector.Suspect() {
			r.confirm(ctx)
		}
		r.settle(ctx)
		if !r.IsMember() {
			return errRemoved.New("member %q incarnation %q", r.self.GetName(), r.self.GetIncarnation())
		}
		_ = wait.For(ctx, membershipPeriod)
	}
	return nil
}

// settle reads the configuration from the store: once after the registration, and while a staged one is in doubt.
func (r *Registrar) settle(ctx context.Context) {
	inDoubt := false
	r.view.WithStager(func(st *config.Stager) { inDoubt = st.Staged() != nil })
	if r.synced.Load() && !inDoubt {
		return
	}
	if r.proposer.Sync(ctx) == nil && !r.synced.Swap(true) {
		r.view.WithStager((*config.Stager).Registered)
	}
}

// confirm ends the suspicion of a pause by a fleet read after it: from the store or, while that is down, from a member.
//
// One member is enough: a drain that was completed without this process's release had been applied by that member, so its
// fleet shows the host as draining; and a later one cannot be completed without that member.
func (r *Registrar) confirm(ctx context.Context) {
	f, _, err := r.writer.Read(ctx)
	if err != nil {
		f, err = r.peers.FleetOfMember(ctx)
	}
	if err != nil {
		return
	}
	r.view.ApplyFleet(f)
	if fleet.HasMember(f, r.self) {
		r.detector.Confirm()
	}
}

// SetLeaving tells the fleet that this member owns nothing more. It is best effort: the store may be down.
func (r *Registrar) SetLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.SetLeaving(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// Leave takes this member out of the fleet. Nothing may be in flight any more.
func (r *Registrar) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.Leave(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// errRemoved is a process that the fleet no longer holds.
var errRemoved = errs.Class("this process was removed from the fleet while it was paused; start it again")

// Registered reports whether this process is a member and has read the configuration since it became one.
func (r *Registrar) Registered() bool { return r.IsMember() && r.synced.Load() }
