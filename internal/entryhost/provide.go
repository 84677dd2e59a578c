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
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store/kvhttp"
	"github.com/agateturn/agateturn/upstream"
)

const (
	// workerDialTimeout bounds the wait for a connection to a worker.
	workerDialTimeout = 2 * time.Second
)

// provide declares how each part is made; do makes each once, when it is first needed.
func provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*pb.Member, error) {
		return newMember(do.MustInvoke[*pb.Settings](i).GetEntryHost()), nil
	})
	do.Provide(i, func(i do.Injector) (*view, error) {
		timing := do.MustInvoke[*pb.Settings](i).GetTiming()
		return newView(do.MustInvoke[*pb.Member](i), timing.GetInForceBound().AsDuration(), timing.GetPauseLimit().AsDuration()), nil
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
	kv.SetDial(trafficMeter(do.MustInvoke[*stats.Stats](i), trafficStore).Dialer((&net.Dialer{}).DialContext))
	return kv, nil
}

func providePlatform(i do.Injector) (*hostlist.Client, error) {
	s := do.MustInvoke[*pb.Settings](i)
	client := hostlist.New(s.GetPlatform().GetAddress(), s.GetStore().GetTimeout().AsDuration())
	client.SetDial(trafficMeter(do.MustInvoke[*stats.Stats](i), trafficPlatform).Dialer((&net.Dialer{}).DialContext))
	return client, nil
}

func provideDispatcher(i do.Injector) (*dispatcher, error) {
	self := do.MustInvoke[*pb.Member](i)
	s := do.MustInvoke[*pb.Settings](i)
	owner := &pb.Owner{Name: self.GetName(), Incarnation: self.GetIncarnation()}
	maxRequests := int(s.GetLimits().GetMaxRequests())
	return newDispatcher(do.MustInvoke[*view](i), owner, self.GetDataCentre(), maxRequests), nil
}

func provideKeys(i do.Injector) (*keys, error) {
	limits := do.MustInvoke[*pb.Settings](i).GetLimits()
	return newKeys(do.MustInvoke[*view](i), do.MustInvoke[*pb.Member](i), do.MustInvoke[*pause.Detector](i), idempotency.Limits{
		MaxKeys:   int(limits.GetMaxKeys()),
		Window:    limits.GetKeyWindow().AsDuration(),
		ClockSkew: limits.GetClockSkew().AsDuration(),
	}), nil
}

func providePeers(i do.Injector) (*peers, error) {
	return newPeers(peerOptions{
		Self:      do.MustInvoke[*pb.Member](i),
		View:      do.MustInvoke[*view](i),
		Work:      do.MustInvoke[*dispatcher](i),
		Heartbeat: do.MustInvoke[*pb.Settings](i).GetTiming().GetHeartbeat().AsDuration(),
		Logger:    do.MustInvoke[*slog.Logger](i),
		Traffic:   trafficMeter(do.MustInvoke[*stats.Stats](i), trafficPeers),
	}), nil
}

func provideFollower(i do.Injector) (*follower, error) {
	return newFollower(followerOptions{
		KV:       do.MustInvoke[*kvhttp.Store](i),
		View:     do.MustInvoke[*view](i),
		Name:     do.MustInvoke[*pb.Member](i).GetName(),
		Identity: fleet.Identity(do.MustInvoke[*pb.Member](i)),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideWriter(i do.Injector) (*writer, error) {
	return newWriter(do.MustInvoke[*kvhttp.Store](i), do.MustInvoke[*view](i)), nil
}

func provideRegistrar(i do.Injector) (*registrar, error) {
	return newRegistrar(registrarOptions{
		Self:     do.MustInvoke[*pb.Member](i),
		View:     do.MustInvoke[*view](i),
		Writer:   do.MustInvoke[*writer](i),
		Peers:    do.MustInvoke[*peers](i),
		Detector: do.MustInvoke[*pause.Detector](i),
		Proposer: do.MustInvoke[*proposer](i),
		Seeds:    do.MustInvoke[*pb.Settings](i).GetEntryHost().GetPeers(),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideList(i do.Injector) (*platformList, error) {
	return newPlatformList(listOptions{
		View:   do.MustInvoke[*view](i),
		Work:   do.MustInvoke[*dispatcher](i),
		Client: do.MustInvoke[*hostlist.Client](i),
		Period: do.MustInvoke[*pb.Settings](i).GetPlatform().GetPoll().AsDuration(),
		Logger: do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideControl(i do.Injector) (*control, error) {
	timing := do.MustInvoke[*pb.Settings](i).GetTiming()
	return newControl(controlOptions{
		Self:     do.MustInvoke[*pb.Member](i),
		View:     do.MustInvoke[*view](i),
		Writer:   do.MustInvoke[*writer](i),
		Peers:    do.MustInvoke[*peers](i),
		Leases:   do.MustInvoke[*kvhttp.Store](i),
		Platform: do.MustInvoke[*hostlist.Client](i),
		List:     do.MustInvoke[*platformList](i),
		Period:   timing.GetDecision().AsDuration(),
		Lease:    timing.GetControllerLease().AsDuration(),
		Pause:    timing.GetPauseLimit().AsDuration(),
		Logger:   do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideProposer(i do.Injector) (*proposer, error) {
	return newProposer(proposerOptions{
		Self:   do.MustInvoke[*pb.Member](i),
		KV:     do.MustInvoke[*kvhttp.Store](i),
		View:   do.MustInvoke[*view](i),
		Writer: do.MustInvoke[*writer](i),
		Peers:  do.MustInvoke[*peers](i),
		Logger: do.MustInvoke[*slog.Logger](i),
	}), nil
}

func provideDaemon(i do.Injector) (*Daemon, error) {
	d := &Daemon{
		settings:  do.MustInvoke[*pb.Settings](i),
		logger:    do.MustInvoke[*slog.Logger](i),
		self:      do.MustInvoke[*pb.Member](i),
		view:      do.MustInvoke[*view](i),
		dispatch:  do.MustInvoke[*dispatcher](i),
		keys:      do.MustInvoke[*keys](i),
		peers:     do.MustInvoke[*peers](i),
		follower:  do.MustInvoke[*follower](i),
		registrar: do.MustInvoke[*registrar](i),
		control:   do.MustInvoke[*control](i),
		list:      do.MustInvoke[*platformList](i),
		proposer:  do.MustInvoke[*proposer](i),
		detector:  do.MustInvoke[*pause.Detector](i),
		stats:     do.MustInvoke[*stats.Stats](i),
		writer:    do.MustInvoke[*writer](i),
	}
	d.callers = newCallerServer(callerOptions{
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
	d.meter = newMeter(d.view, d.peers)
	d.gauges = newGauges(gaugeOptions{
		View: d.view, Dispatch: d.dispatch, Keys: d.keys, Held: d.callers.heldNow, Stats: d.stats, Ready: d.ready,
	})
	d.operations = newOperations(operationOptions{
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
		changed:  d.view.subscribe("announcer"),
		logger:   d.logger,
	}
	d.peers.SetReady(func() bool { return d.ready() == nil })
	return d, nil
}
