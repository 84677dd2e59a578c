// Package entryhost is the daemon that runs on every entry host: its duties and how they are joined.
//
// Each duty is one goroutine (dispatcher, follower of a key, registrar, controller, peers, links to single peers, claim
// ends, platform list, pause detector), joined to the others by bounded rings. The decisions are in the root packages.
package entryhost

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/callers"
	"github.com/agateturn/agateturn/internal/claims"
	"github.com/agateturn/agateturn/internal/control"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/fleetstore"
	"github.com/agateturn/agateturn/internal/measures"
	"github.com/agateturn/agateturn/internal/operations"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/peers"
	"github.com/agateturn/agateturn/internal/proposals"
	"github.com/agateturn/agateturn/internal/registration"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/wait"
)

// Daemon is one entry host's process.
type Daemon struct {
	settings   *pb.Settings
	logger     *slog.Logger
	self       *pb.Member
	view       *view.View
	dispatch   *dispatch.Dispatcher
	keys       *claims.Keys
	peers      *peers.Peers
	follower   *fleetstore.Follower
	registrar  *registration.Registrar
	control    *control.Controller
	list       *control.PlatformList
	proposer   *proposals.Proposer
	callers    *callers.Server
	detector   *pause.Detector
	stats      *stats.Stats
	writer     *fleetstore.Writer
	meter      *measures.Meter
	gauges     *measures.Gauges
	operations *operations.Operations
	announcer  *announcer

	stopping atomic.Bool
	duties   sync.WaitGroup
	started  time.Time
}

// New wires a daemon. Nothing runs before Run.
func New(settings *pb.Settings, logger *slog.Logger) (*Daemon, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, logger)
	provide(injector)
	return do.Invoke[*Daemon](injector)
}

// newMember is this process's entry in the fleet.
func newMember(s *pb.EntryHostSettings) *pb.Member {
	return &pb.Member{
		Name:            s.GetName(),
		Incarnation:     uuid.NewString(),
		PeerAddress:     s.GetPeerAddress(),
		OperatorAddress: s.GetOperatorAddress(),
		DataCentre:      s.GetDataCentre(),
		Region:          s.GetRegion(),
	}
}

// Run serves until ctx ends, then stops gracefully. It returns an error if the daemon cannot start or was removed from
// the fleet while it was paused.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	servers, err := d.listen(ctx)
	if err != nil {
		return err
	}
	dutyCtx, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	failed := make(chan error, 1)
	d.startDuties(dutyCtx, failed)
	for _, s := range servers.all() {
		s.serve(ctx, d.logger, failed)
	}
	events.Emit(ctx, d.logger, events.Started, "member", d.self.GetName(), "incarnation", d.self.GetIncarnation())
	select {
	case <-ctx.Done():
		d.stop(context.WithoutCancel(ctx), servers)
		endDuties()
		d.duties.Wait()
		return nil
	case err := <-failed:
		servers.close()
		return err
	}
}

// startDuties starts every duty that lives as long as the daemon.
func (d *Daemon) startDuties(ctx context.Context, failed chan<- error) {
	d.duty(func() {
		d.detector.Run(ctx, func(gap time.Duration) {
			d.stats.Counter(metricPauses).Inc(1)
			events.Emit(ctx, d.logger, events.PauseDetected, "gap", gap)
		})
	})
	d.duty(func() { d.dispatch.Run(ctx) })
	d.duty(func() { d.keys.Run(ctx) })
	d.duty(func() { d.peers.Run(ctx) })
	d.duty(func() { d.follower.Run(ctx, fleetstore.KeyFleet, d.follower.ApplyFleet) })
	d.duty(func() { d.follower.Run(ctx, fleetstore.KeyConfig, d.follower.ApplyConfig) })
	d.duty(func() { d.list.Run(ctx) })
	d.duty(func() { d.meter.Run(ctx) })
	d.duty(func() { d.announcer.run(ctx) })
	d.duty(func() { measures.WatchHeap(ctx, d.stats) })
	d.duty(func() { d.control.Run(ctx) })
	d.duty(func() {
		if err := d.registrar.Run(ctx); err != nil {
			failed <- err
		}
	})
}

func (d *Daemon) duty(run func()) {
	d.duties.Go(run)
}

// stop is the graceful shutdown: unready first, then no new work, then every request and session to its end.
func (d *Daemon) stop(ctx context.Context, servers *servers) {
	events.Emit(ctx, d.logger, events.Stopping, "member", d.self.GetName())
	d.stopping.Store(true)
	servers.callers.server.SetKeepAlivesEnabled(false) // each answer from now on closes its connection
	_ = d.registrar.SetLeaving(ctx)
	_ = wait.For(ctx, d.settings.GetTiming().GetDrainNotice().AsDuration())
	limit, cancel := context.WithTimeout(ctx, d.settings.GetTiming().GetStopLimit().AsDuration())
	defer cancel()
	if err := servers.callers.server.Shutdown(limit); err != nil {
		events.Emit(ctx, d.logger, events.StopLimitReached, "what", "requests", "err", err)
	}
	if err := d.callers.WaitSessions(limit); err != nil {
		events.Emit(ctx, d.logger, events.StopLimitReached, "what", "sessions", "err", err)
	}
	_ = d.registrar.Leave(ctx)
	servers.close()
	events.Emit(ctx, d.logger, events.Stopped, "member", d.self.GetName())
}

// ready is nil when this entry host may take work; otherwise the error says why not and what to do.
func (d *Daemon) ready() error {
	switch {
	case d.stopping.Load():
		return callers.ErrStopping.New("%s", d.self.GetName())
	case d.view.Config() == nil:
		return callers.ErrNoConfig.New("entry host %s", d.self.GetName())
	}
	if err := d.detector.Check(); err != nil {
		return err
	}
	registered := d.registrar.Registered()
	if !registered && !d.peers.IsGuest(time.Now(), d.settings.GetTiming().GetPauseLimit().AsDuration()) {
		return peers.ErrNotMember.New("%s", d.self.GetName())
	}
	if d.dispatch.Slotless() || (registered && !ownerIn(d.view.Fleet(), d.self)) {
		return errNoSlots.New("%s", d.self.GetName())
	}
	return d.settled()
}

// ownerIn reports whether the process has its share of slots and keys.
func ownerIn(f *pb.Fleet, self *pb.Member) bool {
	return lo.SomeBy(f.GetOwners().GetOwners(), func(o *pb.Owner) bool {
		return o.GetName() == self.GetName() && o.GetIncarnation() == self.GetIncarnation()
	})
}

// settled is nil unless a staged configuration has been in doubt for longer than the bound.
func (d *Daemon) settled() error {
	var err error
	now := time.Now()
	registered := d.registrar.IsMember()
	d.view.WithStager(func(st *config.Stager) {
		st.PeerReported(now, config.Report{Peer: fleet.Identity(d.self), Generation: st.Generation(), Ready: true, Registered: registered})
		if since, unsettled := st.Unsettled(now); unsettled {
			err = errUnsettled.New("for %s", since)
		}
	})
	return err
}

// server is one listener with its HTTP server.
type server struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// servers are the daemon's listeners.
type servers struct {
	callers, operators, peers *server
}

func (s *servers) all() []*server { return []*server{s.callers, s.operators, s.peers} }

func (s *servers) close() {
	for _, one := range s.all() {
		_ = one.server.Close()
	}
}

// serve accepts connections until the server is closed.
func (s *server) serve(ctx context.Context, logger *slog.Logger, failed chan<- error) {
	go func() {
		err := s.server.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return
		}
		events.Emit(ctx, logger, events.FailedToRun, "listener", s.name, "err", err)
		select {
		case failed <- err:
		default:
		}
	}()
}

// metricPauses counts the pauses of the process; docs/OPERATIONS.md explains it.
const metricPauses = "agateturn_pauses_total"
