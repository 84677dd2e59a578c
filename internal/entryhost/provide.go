package entryhost

import (
	"log/slog"
	"net"
	"time"

	"github.com/samber/do/v2"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/idempotency"
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
	"github.com/agateturn/agateturn/store/kvhttp"
	"github.com/agateturn/agateturn/upstream"
)

// workerDialTimeout is the longest wait for a connection to a worker.
const workerDialTimeout = 2 * time.Second

// provide registers the constructor of each component. The injector creates each component once, on its first use.
func provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*pb.Member, error) {
		return newMember(do.MustInvoke[*pb.Settings](i).GetEntryHost()), nil
	})
	do.Provide(i, func(i do.Injector) (*view.View, error) {
		timing := do.MustInvoke[*pb.Settings](i).GetTiming()
		return view.New(do.MustInvoke[*pb.Member](i), timing.GetInForceBound().AsDuration(), timing.GetPauseLimit().AsDuration()), nil
	})
	do.Provide(i, func(i do.Injector) (*pause.Detector, error) {
		return pause.NewDetector(do.MustInvoke[*pb.Settings](i).GetTiming().GetPauseLimit().AsDuration()), nil
	})
	do.Provide(i, func(do.Injector) (*stats.Stats, error) { return stats.New(stats.Limits{}), nil })
	do.Provide(i, provideStore)
	do.Provide(i, providePlatform)
	do.Provide(i, provideDispatcher)
	do.Provide(i, provideKeys)
	do.Provide(i, providePeers)
	do.Provide(i, provideFollower)
	do.Provide(i, provideWriter)
	do.Provide(i, provideRegistrar)
	do.Provide(i, provideControl)
	do.Provide(i, provideList)
	do.Provide(i, provideProposer)
	do.Provide(i, provideDaemon)
}

func provideStore(i do.Injector) (*kvhttp.Store, error) {
	s := do.MustInvoke[*pb.Settings](i)
	st := s.GetStore()
	kv := kvhttp.New(st.GetAddress(), st.GetPrefix(), st.GetToken(), st.GetTimeout().AsDuration())
	kv.SetDial(measures.TrafficMeter(do.MustInvoke[*stats.Stats](i), measures.TrafficStore).Dialer((&net.Dialer{}).DialContext))
	return kv, nil
}

func providePlatform(i do.Injector) (*hostlist.Client, error) {
	s := do.MustInvoke[*pb.Settings](i)
	client := hostlist.New(s.GetPlatform().GetAddress(), s.GetStore().GetTimeout().AsDuration())
	client.SetDial(measures.TrafficMeter(do.MustInvoke[*stats.Stats](i), measures.TrafficPlatform).Dialer((&net.Dialer{}).DialContext))
	return client, nil
}

func provideDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	self := do.MustInvoke[*pb.Member](i)
	s := do.MustInvoke[*pb.Settings](i)
	owner := &pb.Owner{Name: self.GetName(), Incarnation: self.GetIncarnation()}
	maxRequests := int(s.GetLimits().GetMaxRequests())
	return dispatch.New(do.MustInvoke[*view.View](i), owner, self.GetDataCentre(), maxRequests), nil
}

func provideKeys(i do.Injector) (*claims.Keys, error) {
	limits := do.MustInvoke[*pb.Settings](i).GetLimits()
	return claims.New(do.MustInvoke[*view.View](i), do.MustInvoke[*pb.Member](i), do.MustInvoke[*pause.Detector](i), idempotency.Limits{
		MaxKeys:   int(limits.GetMaxKeys()),
		Window:    limits.GetKeyWindow().AsDuration(),
		ClockSkew: limits.GetClockSkew().AsDuration(),
	}), nil
}

func providePeers(i do.Injector) (*peers.Peers, error) {
	return peers.New(peers.Options{
		Self:      do.MustInvoke[*pb.Member](i),
		View:      do.MustInvoke[*view.View](i),
		Work:      do.MustInvoke[*dispatch.Dispatcher](i),
		Heartbeat: do.MustInvoke[*pb.Settings](i).GetTiming().GetHeartbeat().AsDuration(),
		Logger:    do.MustInvoke[*slog.Logger](i),
		Traffic:   measures.TrafficMeter(do.MustInvoke[*stats.Stats](i), measures.TrafficPeers),
	}), nil
}

func provideFollower(i do.Injector) (*fleetstore.Follower, error) {
	return fleetstore.NewFollower(fleetstore.FollowerOptions{
		KV:       do.MustInvoke[*kvhttp.Store](i),
		View:     do.MustInvoke[*view.View](i),
		Name:     do.MustInvoke[*pb.Member](i).GetName(),
		Identity: fleet.Identity(do.MustInvoke[*pb.Member](i)),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideWriter(i do.Injector) (*fleetstore.Writer, error) {
	return fleetstore.NewWriter(do.MustInvoke[*kvhttp.Store](i), do.MustInvoke[*view.View](i)), nil
}

func provideRegistrar(i do.Injector) (*registration.Registrar, error) {
	return registration.New(registration.Options{
		Self:     do.MustInvoke[*pb.Member](i),
		View:     do.MustInvoke[*view.View](i),
		Writer:   do.MustInvoke[*fleetstore.Writer](i),
		Peers:    do.MustInvoke[*peers.Peers](i),
		Detector: do.MustInvoke[*pause.Detector](i),
		Proposer: do.MustInvoke[*proposals.Proposer](i),
		Seeds:    do.MustInvoke[*pb.Settings](i).GetEntryHost().GetPeers(),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideList(i do.Injector) (*control.PlatformList, error) {
	return control.NewPlatformList(control.ListOptions{
		View:   do.MustInvoke[*view.View](i),
		Work:   do.MustInvoke[*dispatch.Dispatcher](i),
		Client: do.MustInvoke[*hostlist.Client](i),
		Period: do.MustInvoke[*pb.Settings](i).GetPlatform().GetPoll().AsDuration(),
		Logger: do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideControl(i do.Injector) (*control.Controller, error) {
	timing := do.MustInvoke[*pb.Settings](i).GetTiming()
	return control.New(control.Options{
		Self:     do.MustInvoke[*pb.Member](i),
		View:     do.MustInvoke[*view.View](i),
		Writer:   do.MustInvoke[*fleetstore.Writer](i),
		Peers:    do.MustInvoke[*peers.Peers](i),
		Leases:   do.MustInvoke[*kvhttp.Store](i),
		Platform: do.MustInvoke[*hostlist.Client](i),
		List:     do.MustInvoke[*control.PlatformList](i),
		Period:   timing.GetDecision().AsDuration(),
		Lease:    timing.GetControllerLease().AsDuration(),
		Pause:    timing.GetPauseLimit().AsDuration(),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideProposer(i do.Injector) (*proposals.Proposer, error) {
	return proposals.New(proposals.Options{
		Self:   do.MustInvoke[*pb.Member](i),
		KV:     do.MustInvoke[*kvhttp.Store](i),
		View:   do.MustInvoke[*view.View](i),
		Writer: do.MustInvoke[*fleetstore.Writer](i),
		Peers:  do.MustInvoke[*peers.Peers](i),
		Logger: do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideDaemon(i do.Injector) (*Daemon, error) {
	d := &Daemon{
		settings:  do.MustInvoke[*pb.Settings](i),
		logger:    do.MustInvoke[*slog.Logger](i),
		self:      do.MustInvoke[*pb.Member](i),
		view:      do.MustInvoke[*view.View](i),
		dispatch:  do.MustInvoke[*dispatch.Dispatcher](i),
		keys:      do.MustInvoke[*claims.Keys](i),
		peers:     do.MustInvoke[*peers.Peers](i),
		follower:  do.MustInvoke[*fleetstore.Follower](i),
		registrar: do.MustInvoke[*registration.Registrar](i),
		control:   do.MustInvoke[*control.Controller](i),
		list:      do.MustInvoke[*control.PlatformList](i),
		proposer:  do.MustInvoke[*proposals.Proposer](i),
		detector:  do.MustInvoke[*pause.Detector](i),
		stats:     do.MustInvoke[*stats.Stats](i),
		writer:    do.MustInvoke[*fleetstore.Writer](i),
	}
	d.callers = callers.New(callers.Options{
		View:     d.view,
		Dispatch: d.dispatch,
		Keys:     d.keys,
		Upstream: upstream.New(upstream.Options{DialTimeout: workerDialTimeout}),
		Detector: d.detector,
		Stats:    d.stats,
		Limits:   d.settings.GetLimits(),
		Logger:   d.logger,
		Ready:    d.ready,
	})
	d.keys.SetPeers(d.peers)
	d.meter = measures.NewMeter(d.view, d.peers)
	d.gauges = measures.NewGauges(measures.GaugeOptions{
		View: d.view, Dispatch: d.dispatch, Keys: d.keys, Held: d.callers.HeldNow, Stats: d.stats, Ready: d.ready,
	})
	d.operations = operations.New(operations.Options{
		Self: d.self, View: d.view, Writer: d.writer, Proposer: d.proposer, Meter: d.meter, Peers: d.peers,
		Dispatch: d.dispatch, Stats: d.stats, PauseLimit: d.settings.GetTiming().GetPauseLimit().AsDuration(),
		Ready: d.ready, Logger: d.logger,
	})
	d.announcer = &announcer{
		self:     d.self,
		view:     d.view,
		peers:    d.peers,
		dispatch: d.dispatch,
		list:     d.list,
		ready:    d.ready,
		changed:  d.view.Subscribe("announcer"),
		logger:   d.logger,
	}
	d.peers.SetReady(func() bool { return d.ready() == nil })
	return d, nil
}
