// Package registration registers an entry host as a member of the fleet and detects the end of its membership.
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
	// membershipPeriod is the time between two checks whether this entry host is still a member.
	membershipPeriod = 500 * time.Millisecond
	// leaveTimeout limits the wait for the store when a stopping entry host leaves the fleet.
	leaveTimeout = 3 * time.Second
)

// sponsors are the peers that may vouch for this entry host or send it the fleet.
type sponsors interface {
	// FetchAsGuest asks the peer at an address to vouch for this entry host.
	FetchAsGuest(ctx context.Context, address string) error
	// SetSponsor records the address of the peer that vouches and reports whether the address changed.
	SetSponsor(address string) bool
	// FleetOfMember returns the fleet of the first other member that answers with one.
	FleetOfMember(ctx context.Context) (*pb.Fleet, error)
}

// configSync puts the configuration that the store holds in force.
type configSync interface {
	Sync(ctx context.Context) error
}

// Registrar registers this entry host as a member and detects the end of its membership.
//
// A member is registered in the fleet before it reads the configuration and the fleet that it serves by. A move that a
// controller finished without awaiting this member was therefore finished before the registration, and the fleet that the
// member reads contains its result.
type Registrar struct {
	self     *pb.Member
	view     *view.View
	writer   *fleetstore.Writer
	peers    sponsors
	detector *pause.Detector
	proposer configSync
	seeds    []string
	logger   *slog.Logger
	// synced is set once the configuration has been read from the store after the registration.
	synced atomic.Bool
}

// Options are the dependencies of a Registrar.
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

// New returns a Registrar; Run registers this entry host.
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

// Run registers this entry host, then monitors its membership until ctx ends. It returns errRemoved when the fleet no
// longer lists this incarnation: its view may be outdated then, and the process must be restarted.
func (r *Registrar) Run(ctx context.Context) error {
	backoff := store.DefaultBackoff()
	failing := false
	for ctx.Err() == nil {
		if r.IsMember() {
			if err := r.monitor(ctx); err != nil {
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

// join registers this entry host in the store or, while that is down, makes it the guest of a peer. A guest still gets the
// error of the registration, so that Run tries again.
func (r *Registrar) join(ctx context.Context) error {
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) { return fleet.Register(f, r.self) })
	if err == nil {
		events.Emit(ctx, r.logger, events.MemberJoined, "member", r.self.GetName())
		return nil
	}
	if r.detector.Suspect() {
		return errRemoved.New("process was paused before it had joined") // a later incarnation may be a member already
	}
	for _, address := range r.seeds {
		if r.peers.FetchAsGuest(ctx, address) == nil {
			if !r.peers.SetSponsor(address) {
				break
			}
			r.view.WithStager(func(st *config.Stager) { st.JoinAsGuest(time.Now()) })
			events.Emit(ctx, r.logger, events.JoinedAsGuest, "sponsor", address)
			break
		}
	}
	return err
}

// IsMember reports whether the applied fleet lists this incarnation.
func (r *Registrar) IsMember() bool { return fleet.HasMember(r.view.Fleet(), r.self) }

// monitor waits until the membership or ctx ends. After a suspected pause it confirms the membership.
func (r *Registrar) monitor(ctx context.Context) error {
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

// settle reads the configuration from the store, once after the registration and again while one is staged.
func (r *Registrar) settle(ctx context.Context) {
	staged := false
	r.view.WithStager(func(st *config.Stager) { staged = st.Staged() != nil })
	if r.synced.Load() && !staged {
		return
	}
	if r.proposer.Sync(ctx) == nil && !r.synced.Swap(true) {
		r.view.WithStager((*config.Stager).Registered)
	}
}

// confirm clears the suspicion of a pause with a fleet read after the pause, from the store or, while that is down, from a
// member.
//
// One member is enough. A drain that was completed without this process's release had been applied by that member, so its
// fleet shows the host as draining. A later drain cannot be completed without that member.
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

// SetLeaving records in the fleet that this member no longer owns anything. It is best effort, since the store may be down.
func (r *Registrar) SetLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.SetLeaving(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// Leave removes this member from the fleet. It must have no requests in flight.
func (r *Registrar) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := r.writer.Update(ctx, func(f *pb.Fleet) (*pb.Fleet, error) {
		return fleet.Leave(f, r.self.GetName(), r.self.GetIncarnation())
	})
	return err
}

// errRemoved means that the fleet no longer lists this process, or may no longer: it was paused before it had joined.
var errRemoved = errs.Class("this process was removed from the fleet while it was paused; restart it")

// Registered reports whether this process is a member and has read the configuration from the store since it registered.
func (r *Registrar) Registered() bool { return r.IsMember() && r.synced.Load() }
