package entryhost

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/idempotency"
	"github.com/agateturn/agateturn/internal/meterconn"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/mover"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/store/kvhttp"
	"github.com/agateturn/agateturn/upstream"
)

const (
	// peerDialTimeout bounds the wait for a connection to a peer.
	peerDialTimeout = 2 * time.Second
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
	v := do.MustInvoke[*view](i)
	return &peers{
		self:      do.MustInvoke[*pb.Member](i),
		view:      v,
		dispatch:  do.MustInvoke[*dispatcher](i),
		heartbeat: do.MustInvoke[*pb.Settings](i).GetTiming().GetHeartbeat().AsDuration(),
		logger:    do.MustInvoke[*slog.Logger](i),
		client:    peerClient(trafficMeter(do.MustInvoke[*stats.Stats](i), trafficPeers)),
		changed:   v.subscribe("peers"),
		heard:     ring.New[struct{}]("heard", 1),
		latest:    map[string]fleet.Received{},
		started:   time.Now(),
		links:     map[string]*link{},
		vouched:   guestBook{},
		hosts:     map[string]agateturnv1connect.PeerServiceClient{},
	}, nil
}

func peerClient(traffic meterconn.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         traffic.Dialer(dialer.DialContext),
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}
}

func provideFollower(i do.Injector) (*follower, error) {
	return &follower{
		kv:       do.MustInvoke[*kvhttp.Store](i),
		view:     do.MustInvoke[*view](i),
		name:     do.MustInvoke[*pb.Member](i).GetName(),
		identity: fleet.Identity(do.MustInvoke[*pb.Member](i)),
		logger:   do.MustInvoke[*slog.Logger](i),
	}, nil
}

func provideWriter(i do.Injector) (*writer, error) {
	return &writer{
		kv:   do.MustInvoke[*kvhttp.Store](i),
		view: do.MustInvoke[*view](i),
	}, nil
}

func provideRegistrar(i do.Injector) (*registrar, error) {
	return &registrar{
		self:     do.MustInvoke[*pb.Member](i),
		view:     do.MustInvoke[*view](i),
		writer:   do.MustInvoke[*writer](i),
		peers:    do.MustInvoke[*peers](i),
		detector: do.MustInvoke[*pause.Detector](i),
		proposer: do.MustInvoke[*proposer](i),
		seeds:    do.MustInvoke[*pb.Settings](i).GetEntryHost().GetPeers(),
		logger:   do.MustInvoke[*slog.Logger](i),
	}, nil
}

func provideList(i do.Injector) (*platformList, error) {
	return &platformList{
		view:     do.MustInvoke[*view](i),
		dispatch: do.MustInvoke[*dispatcher](i),
		client:   do.MustInvoke[*hostlist.Client](i),
		period:   do.MustInvoke[*pb.Settings](i).GetPlatform().GetPoll().AsDuration(),
		logger:   do.MustInvoke[*slog.Logger](i),
	}, nil
}

func provideControl(i do.Injector) (*control, error) {
	timing := do.MustInvoke[*pb.Settings](i).GetTiming()
	v := do.MustInvoke[*view](i)
	return &control{
		self:     do.MustInvoke[*pb.Member](i),
		view:     v,
		writer:   do.MustInvoke[*writer](i),
		peers:    do.MustInvoke[*peers](i),
		leases:   do.MustInvoke[*kvhttp.Store](i),
		platform: do.MustInvoke[*hostlist.Client](i),
		list:     do.MustInvoke[*platformList](i),
		period:   timing.GetDecision().AsDuration(),
		lease:    timing.GetControllerLease().AsDuration(),
		pause:    timing.GetPauseLimit().AsDuration(),
		changed:  v.subscribe("controller"),
		logger:   do.MustInvoke[*slog.Logger](i),
		acted:    map[string]time.Time{},
		tracker:  mover.NewTracker(),
	}, nil
}

func provideProposer(i do.Injector) (*proposer, error) {
	return &proposer{
		self:   do.MustInvoke[*pb.Member](i),
		kv:     do.MustInvoke[*kvhttp.Store](i),
		view:   do.MustInvoke[*view](i),
		writer: do.MustInvoke[*writer](i),
		peers:  do.MustInvoke[*peers](i),
		logger: do.MustInvoke[*slog.Logger](i),
	}, nil
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
	d.callers = &callerServer{
		view:     d.view,
		dispatch: d.dispatch,
		keys:     d.keys,
		upstream: upstream.New(upstream.Options{DialTimeout: workerDialTimeout}),
		detector: d.detector,
		stats:    d.stats,
		limits:   d.settings.GetLimits(),
		logger:   d.logger,
		ready:    d.ready,
		bodies:   &bodyBudget{limit: d.settings.GetLimits().GetMaxHeldBytes()},
	}
	d.keys.peers = d.peers
	d.meter = &meter{view: d.view, peers: d.peers, pools: map[string]string{}, rollOuts: map[uint64]time.Time{}}
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
	d.peers.ready = func() bool { return d.ready() == nil }
	return d, nil
}
