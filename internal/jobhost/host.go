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
	"github.com/agateturn/agateturn/httpcall"
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
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store"
)

const (
	// milliPerCore is the number of millicores, in which CPU is scheduled, per core.
	milliPerCore = 1000
	// contentType is the content type of responses with a body.
	contentType = "application/json"
	// stopMargin is the part of the grace period reserved for the exit after the last requests have ended. It is also
	// the minimum time for completing requests.
	stopMargin = 500 * time.Millisecond
	// handOverTimeout bounds the hand-over of pools at a planned stop.
	handOverTimeout = 1500 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	// settings may be replaced at run time, except for the JobHost part.
	settings atomic.Pointer[pb.JobSettings]
	log      *slog.Logger
	clock    *boottime.Clock
	stats    *stats.Stats

	kv      store.Transactor
	workers poolowner.Workers
	// workerCalls observes the calls to workers.
	workerCalls  httpcall.Observer
	carrierPeers *carry.HTTPPeers
	carrier      *carry.Server
	tables       *tablefollow.Follower
	members      *membership.Manager
	jobs         *jobstore.Store
	peers        *jobpeer.Client
	front        *jobfront.Front
	pools        *pools
	workerList   *workerlist.List
	// workspaceGauges holds the metrics of workspaces.
	workspaceGauges workspaceGauges
	// firstPoolGained is closed when this host gains its first pool.
	firstPoolGained chan struct{}
}

// New wires an entry host that does nothing until Run is called.
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

// Reload applies changed settings. The JobHost part changes only on a restart. Settings of the
// scheduler, the policy service and upkeep apply to the pools that this host gains after the reload.
func (h *Host) Reload(ctx context.Context, s *pb.JobSettings) {
	before := h.settings.Load()
	if !proto.Equal(before.GetJobHost(), s.GetJobHost()) {
		events.Emit(ctx, h.log, events.SettingsKept)
		s.JobHost = before.GetJobHost()
	}
	h.settings.Store(s)
	events.Emit(ctx, h.log, events.SettingsReloaded)
}

// resolve returns the peer address of a pool's owner, and whether the owner is this host.
func (h *Host) resolve(pool string) (address string, local, ok bool) {
	record, _, ok := h.members.Owner(pool)
	if !ok {
		return "", false, false
	}
	return record.GetPeerAddress(), record.GetMember() == h.settings.Load().GetJobHost().GetName(), true
}

// onPeerGone reports to members that the owners at a peer's address are gone, because the address refuses connections.
func (h *Host) onPeerGone(address string) {
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

// Run serves until ctx ends, then performs a planned stop: it hands over its pools and completes the requests in progress.
func (h *Host) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	h.pools.ctx = work
	group, work := errgroup.WithContext(work)
	if err := h.listen(work, group); err != nil {
		return err
	}
	h.logStarted(ctx)
	group.Go(func() error { h.tables.Run(work); return nil })
	group.Go(func() error { h.followTable(work); return nil })
	group.Go(func() error { return ignoreAfterCancel(work, h.jobs.Run(work)) })
	group.Go(func() error { return ignoreAfterCancel(work, h.members.Run(work)) })
	group.Go(func() error { h.front.Run(work); return nil })
	group.Go(func() error { h.carrier.Run(work); return nil })
	group.Go(func() error { h.followWorkers(work); return nil })
	group.Go(func() error { h.tables.Gossip(work, gossipPeers{h}); return nil })
	group.Go(func() error { h.tables.Confirm(work, confirmers{h}); return nil })
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

// ignoreAfterCancel returns err, or nil if ctx has ended.
func ignoreAfterCancel(ctx context.Context, err error) error {
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
	group.Go(func() error { return ignoreAfterCancel(ctx, h.front.Serve(callers.(*net.TCPListener))) })
	mux := http.NewServeMux()
	mux.Handle(jobpeer.NewHandler(h.pools, h.tables, h.front))
	mux.Handle(h.carrier.Handler())
	endpoints := []endpoint{
		{address: host.GetReadyAddress(), connections: probeConnections, idleTimeout: probeIdleTimeout, handler: h.front.ReadyHandler()},
		{
			address: host.GetPeerAddress(), connections: peerConnections, idleTimeout: idleTimeout, handler: peerMessages(mux),
			wrap: measures.TrafficMeter(h.stats, measures.TrafficPeers).Listener,
		},
	}
	if host.GetMetricsAddress() != "" {
		endpoints = append(endpoints, h.metricsEndpoint())
	}
	if host.GetOperatorAddress() != "" {
		endpoints = append(endpoints, h.operatorEndpoint()) //nolint:contextcheck // each request has its own context
	}
	for _, e := range endpoints {
		if err := h.serve(ctx, group, e); err != nil {
			return err
		}
	}
	return nil
}

// stop performs the planned stop of this host.
func (h *Host) stop(ctx context.Context) {
	events.Emit(ctx, h.log, events.Stopping)
	deadline := time.Now().Add(h.settings.Load().GetJobBounds().GetGrace().AsDuration() - stopMargin)
	h.front.BeginStop()
	leaveCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	if err := h.members.Leave(leaveCtx, h.pools.endTermAndWait); err != nil {
		events.Emit(ctx, h.log, events.PoolsNotHandedOver, "err", err)
	}
	cancel()
	shutdownCtx, cancel := context.WithTimeout(ctx, max(time.Until(deadline), stopMargin))
	defer cancel()
	if err := h.front.Shutdown(shutdownCtx); err != nil {
		events.Emit(ctx, h.log, events.StopLimitReached, "err", err)
		return
	}
	events.Emit(ctx, h.log, events.Stopped)
}

// followTable applies each new version of the queues and of the set of pools.
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

// followWorkers follows the registry of workers once this host has gained its first pool.
func (h *Host) followWorkers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.firstPoolGained:
		h.workerList.Run(ctx)
	}
}
