package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"
)

const (
	memberCount = 3
	pauseLimit  = 2 * time.Second
	listLag     = 5 * time.Second
	rebootTime  = 20 * time.Second
)

func testConfig(hosts, pools int) *pb.Configuration {
	cfg := &pb.Configuration{
		Deployment: &pb.Deployment{SparePool: "pool-00"},
		Maintenance: &pb.Maintenance{
			Period: durationpb.New(840 * time.Hour), MaxParallel: 4, MaxPerRack: 1, MaxPerDataCentre: 3, FailureShare: 0.2,
			RebootLimit: durationpb.New(15 * time.Minute),
		},
	}
	for i := range pools {
		name := fmt.Sprintf("pool-%02d", i)
		cfg.Pools = append(cfg.Pools, &pb.Pool{Name: name, MinHosts: 1})
		cfg.Services = append(cfg.Services, &pb.Service{Name: name, Pool: name, Availability: 0.6})
	}
	for i := range hosts {
		cfg.Hosts = append(cfg.Hosts, &pb.Host{
			Name: fmt.Sprintf("w%04d", i), Pool: cfg.Pools[i%pools].Name, Slots: 8,
			DataCentre: fmt.Sprintf("dc-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/4),
		})
	}
	return cfg
}

// world is a store, members that apply and report with a lag, and a platform.
type world struct {
	t       *testing.T
	cfg     *pb.Configuration
	random  *rand.Rand
	now     time.Time
	fleet   *pb.Fleet
	members []*fleet.Gate
	hosts   map[string]*host
	done    map[string]bool
	reboots int
	// unlisted is a host that the platform does not list.
	unlisted string
}

type host struct {
	boot     int
	up       time.Time
	oldBoot  int
	showsNew time.Time
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, cfg: testConfig(12, 3), random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1e6, 0),
		fleet: &pb.Fleet{}, hosts: map[string]*host{}, done: map[string]bool{},
	}
	for i := range memberCount {
		w.fleet, _ = fleet.Register(w.fleet, &pb.Member{Name: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i)})
		w.members = append(w.members, fleet.NewGate())
	}
	for _, h := range w.cfg.Hosts {
		w.hosts[h.Name] = &host{}
	}
	return w
}

func (w *world) platform() []controller.PlatformHost {
	var out []controller.PlatformHost
	for _, h := range w.cfg.Hosts {
		m := w.hosts[h.Name]
		boot := m.oldBoot
		if w.now.After(m.showsNew) {
			boot = m.boot
		}
		p := controller.PlatformHost{Name: h.Name, BootID: fmt.Sprint("boot-", boot), SeenAt: w.now}
		if w.now.Before(m.up) {
			p.State = controller.StateLeaving
		}
		if h.Name != w.unlisted {
			out = append(out, p)
		}
	}
	return out
}

// act is the platform: it does each operation once, and judges that nobody uses the host.
func (w *world) act(a controller.Action) {
	if a.Kind != controller.Reboot || w.done[a.OperationID] {
		return
	}
	w.done[a.OperationID] = true
	w.reboots++
	for _, h := range w.fleet.Hosts {
		if h.Host == a.Host {
			assert.Equal(w.t, h.Phase, pb.HostPhase_HOST_PHASE_MAINTENANCE, a.Host)
		}
	}
	m := w.hosts[a.Host]
	m.oldBoot = m.boot
	m.boot++
	m.up = w.now.Add(rebootTime)
	m.showsNew = m.up.Add(listLag)
}

// manager is one controller process.
type manager struct {
	self  string
	heard map[string]fleet.Received
	late  []controller.Action
}

func newManager(name int) *manager {
	return &manager{self: fmt.Sprint("c", name), heard: map[string]fleet.Received{}}
}

// step lets a manager decide on the stored fleet, which another manager may have replaced before the swap.
func (w *world) step(m *manager, orders []controller.Order) controller.Decision {
	for i, g := range w.members {
		if w.random.IntN(3) == 0 {
			g.Apply(w.fleet)
		}
		revision, held := g.Snapshot(w.now)
		fleet.Record(m.heard, &pb.Heartbeat{
			Name: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i), Sequence: uint64(w.now.Unix()),
			FleetRevision: revision, HeldHosts: held,
		}, w.now)
	}
	in := controller.Input{
		Fleet: w.fleet, Config: w.cfg, Heartbeats: m.heard, Platform: w.platform(), Orders: orders,
		Self: m.self, WriteID: fmt.Sprint(m.self, w.now), PauseLimit: pauseLimit,
	}
	before := proto.CloneOf(w.fleet)
	d := controller.Step(w.now, in)
	again := controller.Step(w.now, in)
	assert.Assert(w.t, proto.Equal(before, w.fleet), "Step changed its input")
	assert.Assert(w.t, proto.Equal(d.Fleet, again.Fleet), "Step is not a function of its input")
	assert.DeepEqual(w.t, d.Actions, again.Actions)
	return d
}

// A wave and moves go on over the same hosts while the controller is replaced every few seconds, swaps are lost, and
// actions of controllers before come late. No host reboots but in maintenance, and the wave gets through.
func TestReplacedControllersFinishAWave(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, seed)
		m := newManager(0)
		var old []*manager
		orders := []controller.Order{{OperationID: "wave", Kind: controller.StartWave, Wave: "spring"}}
		for second := 0; second < 3000; second++ {
			w.now = w.now.Add(time.Second)
			if w.random.IntN(10) == 0 {
				old = append(old, m)
				m = newManager(second + 1)
			}
			d := w.step(m, orders)
			if w.random.IntN(4) > 0 {
				for _, a := range d.Actions {
					w.act(a)
				}
			}
			m.late = d.Actions
			if d.Fleet != nil && w.random.IntN(4) > 0 {
				assert.Equal(t, d.Fleet.Revision, w.fleet.Revision+1)
				w.fleet = d.Fleet
			}
			if len(old) > 0 && w.random.IntN(20) == 0 {
				for _, a := range old[w.random.IntN(len(old))].late {
					w.act(a)
				}
			}
			if second%50 == 25 {
				host := w.cfg.Hosts[w.random.IntN(12)].Name
				pool := w.cfg.Pools[w.random.IntN(3)].Name
				orders = append(orders[:1:1], controller.Order{OperationID: fmt.Sprint("move-", second), Kind: controller.MoveHost, Host: host, Pool: pool})
			}
		}
		assert.Equal(t, w.fleet.Waves[0].Phase, pb.WavePhase_WAVE_PHASE_DONE, "seed %d: %v", seed, w.fleet.Waves)
		for _, h := range w.fleet.Hosts {
			assert.Assert(t, h.MaintainedUnixMs > 0, "seed %d: %s", seed, h.Host)
		}
		assert.Assert(t, len(w.fleet.Owners.GetOwners()) == memberCount)
	}
}

func TestOrderResults(t *testing.T) {
	w := newWorld(t, 1)
	m := newManager(0)
	w.fleet = w.step(m, nil).Fleet
	move := controller.Order{OperationID: "m1", Kind: controller.MoveHost, Host: "w0000", Pool: "pool-01"}
	for _, c := range []struct {
		order controller.Order
		is    func(error) bool
	}{
		{move, func(err error) bool { return err == nil }},
		{move, func(err error) bool { return err == nil }},
		{controller.Order{OperationID: "m2", Kind: controller.MoveHost, Host: "w0000", Pool: "pool-02"}, fleet.AlreadyBusy.Has},
		{controller.Order{OperationID: "m3", Kind: controller.MoveHost, Host: "w0003", Pool: "pool-02"}, fleet.BudgetExceeded.Has},
		{controller.Order{OperationID: "m4", Kind: controller.MoveHost, Host: "w0001", Pool: "none"}, controller.UnknownPool.Has},
		{controller.Order{OperationID: "m5", Kind: controller.MoveHost, Host: "none", Pool: "pool-02"}, fleet.UnknownHost.Has},
		{controller.Order{Kind: controller.HostDown, Host: "w0001"}, controller.InvalidOrder.Has},
		{controller.Order{OperationID: "d1", Kind: controller.HostDown, Host: "w0001"}, func(err error) bool { return err == nil }},
	} {
		d := w.step(m, []controller.Order{c.order})
		assert.Assert(t, c.is(d.Results[0].Err), "%s: %v", c.order.OperationID, d.Results[0].Err)
		if d.Fleet != nil {
			w.fleet = d.Fleet
		}
	}
}

func TestLeavingHostDrainsAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	m := newManager(0)
	w.fleet = w.step(m, nil).Fleet
	w.hosts["w0002"].up = w.now.Add(time.Hour)
	w.fleet = w.step(m, nil).Fleet
	h := w.fleet.Hosts[2]
	assert.Equal(t, h.Phase, pb.HostPhase_HOST_PHASE_DRAINING)
	assert.Equal(t, h.Purpose, pb.HostPurpose_HOST_PURPOSE_LEAVE)
}

// settle lets a manager work until nothing changes any more.
func (w *world) settle(m *manager) {
	for range 100 {
		w.now = w.now.Add(time.Second)
		if d := w.step(m, nil); d.Fleet != nil {
			w.fleet = d.Fleet
		}
	}
}

// Nothing is written while nothing happens. New hosts count as just maintained, so the schedule waits, but begins early
// enough for one host a day to bring every host round within the period.
func TestQuietFleetWritesNothing(t *testing.T) {
	w := newWorld(t, 1)
	m := newManager(0)
	w.settle(m)
	revision := w.fleet.Revision
	w.settle(m)
	assert.Equal(t, w.fleet.Revision, revision)
	periodDays := int(w.cfg.GetMaintenance().GetPeriod().AsDuration() / (24 * time.Hour))
	day := 1
	w.now = w.now.Add(24 * time.Hour)
	d := w.step(m, nil)
	for ; d.Fleet == nil && day < periodDays; day++ {
		w.now = w.now.Add(24 * time.Hour)
		d = w.step(m, nil)
	}
	assert.Equal(t, len(d.Fleet.GetWaves()), 1)
	assert.Assert(t, day > 1, "a new deployment began with maintenance")
	perDay := len(d.Fleet.Waves[0].Pending)
	assert.Assert(t, day+(len(w.fleet.Hosts)+perDay-1)/perDay <= periodDays, "day %d, %d hosts a day", day, perDay)
}

// A host that does not come back goes down, whether its wave goes on or was cancelled meanwhile.
func TestHostThatDoesNotComeBackGoesDown(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		w := newWorld(t, 1)
		m := newManager(0)
		w.settle(m)
		w.fleet = w.step(m, []controller.Order{{OperationID: "o1", Kind: controller.StartWave, Wave: "spring", Hosts: []string{"w0005"}}}).Fleet
		w.settle(m)
		assert.Equal(t, w.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_MAINTENANCE)
		if cancel {
			w.fleet = w.step(m, []controller.Order{{OperationID: "o2", Kind: controller.CancelWave, Wave: "spring"}}).Fleet
		}
		w.now = w.now.Add(15 * time.Minute)
		w.settle(m)
		assert.Equal(t, w.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DOWN)
	}
}

// A host that the platform does not list can't be rebooted; it fails and its wave stops.
func TestUnlistedHostFailsItsWave(t *testing.T) {
	w := newWorld(t, 1)
	m := newManager(0)
	w.settle(m)
	w.unlisted = "w0005"
	w.fleet = w.step(m, []controller.Order{{OperationID: "o1", Kind: controller.StartWave, Wave: "spring", Hosts: []string{"w0005"}}}).Fleet
	w.settle(m)
	assert.Equal(t, w.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DRAINING)
	w.now = w.now.Add(15 * time.Minute)
	w.settle(m)
	assert.Equal(t, w.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DOWN)
	assert.Equal(t, w.fleet.Waves[0].Phase, pb.WavePhase_WAVE_PHASE_STOPPED)
}

// BenchmarkStep decides at growing sizes, with a wave, a drain and demand in every pool.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ hosts, pools int }{{350, 7}, {700, 14}, {1400, 28}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d", size.hosts, size.pools), func(b *testing.B) {
			in := benchInput(size.hosts, size.pools)
			b.ReportAllocs()
			for b.Loop() {
				controller.Step(time.Unix(1e6, 0), in)
			}
		})
	}
}

func benchInput(hosts, pools int) controller.Input {
	now := time.Unix(1e6, 0)
	in := controller.Input{Config: testConfig(hosts, pools), Self: "c", PauseLimit: pauseLimit, Heartbeats: map[string]fleet.Received{}}
	for i := range 30 {
		m := &pb.Member{Name: fmt.Sprintf("e%02d", i), Incarnation: fmt.Sprintf("i%02d", i)}
		in.Fleet, _ = fleet.Register(in.Fleet, m)
		h := &pb.Heartbeat{Name: m.Name, Incarnation: m.Incarnation, FleetRevision: 1}
		for _, p := range in.Config.Pools {
			h.Demand = append(h.Demand, &pb.PoolDemand{Pool: p.Name, Running: 10, Idle: 2, ArrivalsPerSecond: 20})
		}
		in.Heartbeats[m.Incarnation] = fleet.Received{Heartbeat: h, At: now, Since: now.Add(-time.Hour)}
	}
	for _, h := range in.Config.Hosts {
		in.Platform = append(in.Platform, controller.PlatformHost{Name: h.Name, BootID: "boot"})
	}
	in.Orders = []controller.Order{{OperationID: "wave", Kind: controller.StartWave, Wave: "spring"}}
	in.Fleet = controller.Step(now, in).Fleet
	in.Orders = nil
	in.Demand = mover.NewTracker().Observe(now, controller.Samples(now, in.Config, in.Heartbeats))
	return in
}
