// Package jobhost wires an entry host that serves jobs through the platform's store.
package jobhost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/boottime"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/jobpeer"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/measures"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/internal/tablefollow"
	"github.com/agateturn/agateturn/internal/workerlist"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store"
)

const (
	// milliPerCore converts cores into the unit of schedules.
	milliPerCore = 1000
	// contentType is that of the answers with a body.
	contentType = "application/json"
	// readHeaderTimeout bounds the header of a peer's or prober's request.
	readHeaderTimeout = 2 * time.Second
	// stopMargin is the part of the grace that is left when the last requests must have ended.
	stopMargin = 500 * time.Millisecond
	// leaveTimeout bounds the hand-over of pools at a planned stop.
	leaveTimeout = 1500 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	// settings may be replaced while the host runs; its identity and addresses stay.
	settings atomic.Pointer[pb.JobSettings]
	log      *slog.Logger
	clock    *boottime.Clock
	stats    *stats.Stats

	kv      store.Transactor
	workers poolowner.Workers
	tables  *tablefollow.Follower
	members *membership.Manager
	jobs    *jobstore.Store
	peers   *jobpeer.Client
	front   *jobfront.Front
	pools   *pools
	list    *workerlist.List
	// listWanted is closed when this host owns a pool for the first time.
	listWanted chan struct{}
}

// New wires an entry host that does nothing until Run.
func New(s *pb.JobSettings, log *slog.Logger) *Host {
	return do.MustInvoke[*Host](injector(s, log))
}

func (h *Host) self() membership.Self {
	host := h.settings.Load().GetJobHost()
	return membership.Self{
		Name:        host.GetName(),
		Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid()),
		PeerAddress: host.GetPeerAddress(),
		DataCentre:  host.GetDataCentre(),
		CPUMilli:    int64(host.GetCores() * milliPerCore),
	}
}

// Reload puts changed settings in force. Name and addresses stay as they were until the next start; bounds hold from the
// next pool that this host gains.
func (h *Host) Reload(ctx context.Context, s *pb.JobSettings) {
	before := h.settings.Load()
	if !proto.Equal(before.GetJobHost(), s.GetJobHost()) {
		events.Emit(ctx, h.log, events.SettingsKept)
		s.JobHost = before.GetJobHost()
	}
	h.settings.Store(s)
	events.Emit(ctx, h.log, events.SettingsReloaded)
}

// resolve tells where the owner of a pool is.
func (h *Host) resolve(pool string) (address string, local, ok bool) {
	record, _, ok := h.members.Owner(pool)
	if !ok {
		return "", false, false
	}
	return record.GetPeerAddress(), record.GetMember() == h.settings.Load().GetJobHost().GetName(), true
}

// peerGone frees the pools of a peer that has ended.
func (h *Host) peerGone(address string) {
	table := h.tables.Table()
	if table == nil {
		return
	}
	for _, pool := range poolNames(table) {
		record, fence, ok := h.members.Owner(pool)
		if ok && record.GetPeerAddress() == address {
			h.members.OwnerGone(pool, fence)
		}
	}
}

// Run serves until ctx ends, then stops as planned: it hands over its pools and finishes the requests that it has.
func (h *Host) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	h.pools.ctx = work
	group, work := errgroup.WithContext(work)
	if err := h.listen(work, group); err != nil {
		return err
	}
	h.tellStarted(ctx)
	group.Go(func() error { h.tables.Run(work); return nil })
	group.Go(func() error { h.followTable(work); return nil })
	group.Go(func() error { return ended(work, h.jobs.Run(work)) })
	group.Go(func() error { return ended(work, h.members.Run(work)) })
	group.Go(func() error { h.front.Run(work); return nil })
	group.Go(func() error { h.followWorkers(work); return nil })
	group.Go(func() error { h.tables.Gossip(work, neighbours{h}); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.stop(work)
			stopWork()
		case <-work.Done():
		}
		return nil
	})
	err := group.Wait()
	h.pools.group.Wait()
	return err
}

// ended hides the error of a duty that ended because it was told to.
func ended(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

func (h *Host) listen(ctx context.Context, group *errgroup.Group) error {
	var config net.ListenConfig
	host := h.settings.Load().GetJobHost()
	callers, err := config.Listen(ctx, "tcp", host.GetCallerAddress())
	if err != nil {
		return err
	}
	ready, err := config.Listen(ctx, "tcp", host.GetReadyAddress())
	if err != nil {
		return err
	}
	peers, err := config.Listen(ctx, "tcp", host.GetPeerAddress())
	if err != nil {
		return err
	}
	group.Go(func() error { return ended(ctx, h.front.Serve(callers.(*net.TCPListener))) })
	h.serve(ctx, group, ready, h.front.ReadyHandler())
	mux := http.NewServeMux()
	mux.Handle(jobpeer.NewHandler(h.pools, h.tables, h.front))
	h.serve(ctx, group, measures.TrafficMeter(h.stats, measures.TrafficPeers).Listener(peers), mux)
	if err := h.listenMetrics(ctx, group); err != nil {
		return err
	}
	return h.listenOperators(ctx, group)
}

// serve serves a listener until ctx ends.
func (h *Host) serve(ctx context.Context, group *errgroup.Group, l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return ended(ctx, server.Serve(l)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

// stop ends the work of this host as planned.
func (h *Host) stop(ctx context.Context) {
	events.Emit(ctx, h.log, events.Stopping)
	end := time.Now().Add(h.settings.Load().GetJobBounds().GetGrace().AsDuration() - stopMargin)
	h.front.BeginStop()
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	if err := h.members.Leave(leave, h.pools.finish); err != nil {
		events.Emit(ctx, h.log, events.PoolsNotHandedOver, "err", err)
	}
	cancel()
	finish, cancel := context.WithTimeout(ctx, max(time.Until(end), stopMargin))
	defer cancel()
	if err := h.front.Shutdown(finish); err != nil {
		events.Emit(ctx, h.log, events.StopLimitReached, "err", err)
		return
	}
	events.Emit(ctx, h.log, events.Stopped)
}

// followTable puts each version of the queues in force.
func (h *Host) followTable(ctx context.Context) {
	for {
		changed := h.tables.Changed()
		if table := h.tables.Table(); table != nil {
			h.pools.setTable(ctx, table)
			h.members.SetPools(poolNames(table))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// followWorkers follows the registry of workers from the time this host first owns a pool.
func (h *Host) followWorkers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.listWanted:
		h.list.Run(ctx)
	}
}
