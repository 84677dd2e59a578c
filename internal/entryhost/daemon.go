// Package entryhost implements the daemon that runs on every entry host: it creates and connects the daemon's components.
//
// Each component runs in its own goroutine (dispatcher, follower of a key, registrar, controller, peers, links to single
// peers, claim results, platform list, pause detector). Bounded rings connect them. The decision logic is in the root
// packages.
package entryhost

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/pprof"
	"strings"
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

// Daemon is the process of an entry host.
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
	loops    sync.WaitGroup
	started  time.Time
}

// New creates a daemon and its components. Run starts them.
func New(settings *pb.Settings, logger *slog.Logger) (*Daemon, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, logger)
	provide(injector)
	return do.Invoke[*Daemon](injector)
}

// newMember returns the entry of this process in the fleet, with a new incarnation.
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

// Run serves until ctx ends, then stops gracefully. It returns an error if the daemon cannot start, if a listener
// fails, or if the daemon was removed from the fleet while it was paused.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	servers, err := d.listen(ctx)
	if err != nil {
		return err
	}
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	failed := make(chan error, 1)
	d.startLoops(loopCtx, failed)
	for _, s := range servers.all() {
		s.serve(ctx, d.logger, failed)
	}
	events.Emit(ctx, d.logger, events.Started, "member", d.self.GetName(), "incarnation", d.self.GetIncarnation())
	select {
	case <-ctx.Done():
		d.stop(context.WithoutCancel(ctx), servers)
		stopLoops()
		return d.awaitLoops(context.WithoutCancel(ctx), loopEndLimit)
	case err := <-failed:
		servers.close()
		return err
	}
}

// loopEndLimit is how long the daemon's goroutines may take to end after a planned stop.
const loopEndLimit = 5 * time.Second

// awaitLoops waits until the daemon's goroutines have ended. If they have not within limit, it logs the stacks of all
// goroutines and returns an error, so that the process ends nevertheless.
func (d *Daemon) awaitLoops(ctx context.Context, limit time.Duration) error {
	ended := make(chan struct{})
	go func() {
		d.loops.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
	}
	var stacks strings.Builder
	_ = pprof.Lookup("goroutine").WriteTo(&stacks, 1) // writes to a strings.Builder cannot fail
	events.Emit(ctx, d.logger, events.StopHangs, "limit", limit, "goroutines", stacks.String())
	return errStopHangs.New("%v after the last request", limit)
}

// startLoops starts the goroutines that run until the daemon stops.
func (d *Daemon) startLoops(ctx context.Context, failed chan<- error) {
	d.startLoop(func() {
		d.detector.Run(ctx, func(gap time.Duration) {
			d.stats.Counter(metricPauses).Inc(1)
			events.Emit(ctx, d.logger, events.PauseDetected, "gap", gap)
		})
	})
	d.startLoop(func() { d.dispatch.Run(ctx) })
	d.startLoop(func() { d.keys.Run(ctx) })
	d.startLoop(func() { d.peers.Run(ctx) })
	d.startLoop(func() { d.follower.Run(ctx, fleetstore.KeyFleet, d.follower.ApplyFleet) })
	d.startLoop(func() { d.follower.Run(ctx, fleetstore.KeyConfig, d.follower.ApplyConfig) })
	d.startLoop(func() { d.list.Run(ctx) })
	d.startLoop(func() { d.meter.Run(ctx) })
	d.startLoop(func() { d.announcer.run(ctx) })
	d.startLoop(func() { measures.WatchHeap(ctx, d.stats) })
	d.startLoop(func() { d.control.Run(ctx) })
	d.startLoop(func() {
		if err := d.registrar.Run(ctx); err != nil {
			select {
			case failed <- err:
			default: // another failure is being returned already
			}
		}
	})
}

func (d *Daemon) startLoop(run func()) {
	d.loops.Go(run)
}

// stop shuts down gracefully: it reports unready for the time of the drain notice, then stops accepting work, waits up to the
// stop limit for requests and sessions to end, and leaves the fleet.
func (d *Daemon) stop(ctx context.Context, servers *servers) {
	events.Emit(ctx, d.logger, events.Stopping, "member", d.self.GetName())
	d.stopping.Store(true)
	servers.callers.server.SetKeepAlivesEnabled(false) // connections are closed after their next answer
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

// ready returns nil if this entry host can accept work. Otherwise the error gives the reason and what to do.
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
	return d.checkSettled()
}

// ownerIn reports whether the process is an owner in the fleet and so has a share of the slots and keys.
func ownerIn(f *pb.Fleet, self *pb.Member) bool {
	return lo.SomeBy(f.GetOwners().GetOwners(), func(o *pb.Owner) bool {
		return o.GetName() == self.GetName() && o.GetIncarnation() == self.GetIncarnation()
	})
}

// checkSettled records this member's own report and returns an error if a staged configuration has been unsettled for longer
// than its time limit.
func (d *Daemon) checkSettled() error {
	var err error
	now := time.Now()
	isMember := d.registrar.IsMember()
	d.view.WithStager(func(st *config.Stager) {
		st.PeerReported(now, config.Report{Peer: fleet.Identity(d.self), Generation: st.Generation(), Ready: true, Registered: isMember})
		if since, unsettled := st.Unsettled(now); unsettled {
			err = errUnsettled.New("for %s", since)
		}
	})
	return err
}

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// servers are the daemon's HTTP servers.
type servers struct {
	callers, operators, peers *server
}

func (s *servers) all() []*server { return []*server{s.callers, s.operators, s.peers} }

func (s *servers) close() {
	for _, one := range s.all() {
		_ = one.server.Close()
	}
}

// serve accepts connections in a new goroutine until the server is closed. A failure is sent to failed.
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

// metricPauses counts the pauses of the process; docs/OPERATIONS.md documents it.
const metricPauses = "agateturn_pauses_total"
