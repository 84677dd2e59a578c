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

// simulation has a store, members that apply and report with a lag, and a platform.
type simulation struct {
	t       *testing.T
	cfg     *pb.Configuration
	random  *rand.Rand
	now     time.Time
	fleet   *pb.Fleet
	members []*fleet.Gate
	hosts   map[string]*host
	// done holds the operations that the platform has executed.
	done    map[string]bool
	reboots int
	// unlisted is a host that the platform does not list.
	unlisted string
}

// host is a worker on the platform. The platform lists listedBoot until listedAt, and boot afterwards.
type host struct {
	boot       int
	upAt       time.Time
	listedBoot int
	listedAt   time.Time
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, cfg: testConfig(12, 3), random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1e6, 0),
		fleet: &pb.Fleet{}, hosts: map[string]*host{}, done: map[string]bool{},
	}
	for i := range memberCount {
		s.fleet, _ = fleet.Register(s.fleet, &pb.Member{Name: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i)})
		s.members = append(s.members, fleet.NewGate())
	}
	for _, h := range s.cfg.Hosts {
		s.hosts[h.Name] = &host{}
	}
	return s
}

func (s *simulation) platform() []controller.PlatformHost {
	var out []controller.PlatformHost
	for _, h := range s.cfg.Hosts {
		m := s.hosts[h.Name]
		boot := m.listedBoot
		if s.now.After(m.listedAt) {
			boot = m.boot
		}
		p := controller.PlatformHost{Name: h.Name, BootID: fmt.Sprint("boot-", boot), SeenAt: s.now}
		if s.now.Before(m.upAt) {
			p.State = controller.StateLeaving
		}
		if h.Name != s.unlisted {
			out = append(out, p)
		}
	}
	return out
}

// act executes an action as the platform does: a reboot once for each operation. It checks that the host is in
// maintenance.
func (s *simulation) act(a controller.Action) {
	if a.Kind != controller.Reboot || s.done[a.OperationID] {
		return
	}
	s.done[a.OperationID] = true
	s.reboots++
	for _, h := range s.fleet.Hosts {
		if h.Host == a.Host {
			assert.Equal(s.t, h.Phase, pb.HostPhase_HOST_PHASE_MAINTENANCE, a.Host)
		}
	}
	m := s.hosts[a.Host]
	m.listedBoot = m.boot
	m.boot++
	m.upAt = s.now.Add(rebootTime)
	m.listedAt = m.upAt.Add(listLag)
}

// controllerProcess is one process that acts as the controller.
type controllerProcess struct {
	self        string
	heartbeats  map[string]fleet.Received
	lastActions []controller.Action
}

func newControllerProcess(name int) *controllerProcess {
	return &controllerProcess{self: fmt.Sprint("c", name), heartbeats: map[string]fleet.Received{}}
}

// step delivers heartbeats to a controller process and returns its decision on the stored fleet. The caller may discard
// it to simulate a lost compare-and-swap.
func (s *simulation) step(process *controllerProcess, orders []controller.Order) controller.Decision {
	for i, g := range s.members {
		if s.random.IntN(3) == 0 {
			g.Apply(s.fleet)
		}
		revision, held := g.Snapshot(s.now)
		fleet.Record(process.heartbeats, &pb.Heartbeat{
			Name: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i), Sequence: uint64(s.now.Unix()),
			FleetRevision: revision, HeldHosts: held,
		}, s.now)
	}
	in := controller.Input{
		Fleet: s.fleet, Config: s.cfg, Heartbeats: process.heartbeats, Platform: s.platform(), Orders: orders,
		Self: process.self, WriteID: fmt.Sprint(process.self, s.now), PauseLimit: pauseLimit,
	}
	before := proto.CloneOf(s.fleet)
	d := controller.Step(s.now, in)
	again := controller.Step(s.now, in)
	assert.Assert(s.t, proto.Equal(before, s.fleet), "Step changed its input")
	assert.Assert(s.t, proto.Equal(d.Fleet, again.Fleet), "Step is not deterministic")
	assert.DeepEqual(s.t, d.Actions, again.Actions)
	return d
}

// A wave and moves run over the same hosts while the controller is replaced every few seconds, writes are lost, and
// actions of earlier controllers arrive late. Hosts reboot only in maintenance, and the wave finishes.
func TestReplacedControllersFinishAWave(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(t, seed)
		process := newControllerProcess(0)
		var replaced []*controllerProcess
		orders := []controller.Order{{OperationID: "wave", Kind: controller.StartWave, Wave: "spring"}}
		for second := 0; second < 3000; second++ {
			s.now = s.now.Add(time.Second)
			if s.random.IntN(10) == 0 {
				replaced = append(replaced, process)
				process = newControllerProcess(second + 1)
			}
			d := s.step(process, orders)
			if s.random.IntN(4) > 0 {
				for _, a := range d.Actions {
					s.act(a)
				}
			}
			process.lastActions = d.Actions
			if d.Fleet != nil && s.random.IntN(4) > 0 {
				assert.Equal(t, d.Fleet.Revision, s.fleet.Revision+1)
				s.fleet = d.Fleet
			}
			if len(replaced) > 0 && s.random.IntN(20) == 0 {
				for _, a := range replaced[s.random.IntN(len(replaced))].lastActions {
					s.act(a)
				}
			}
			if second%50 == 25 {
				host := s.cfg.Hosts[s.random.IntN(12)].Name
				pool := s.cfg.Pools[s.random.IntN(3)].Name
				orders = append(orders[:1:1], controller.Order{OperationID: fmt.Sprint("move-", second), Kind: controller.MoveHost, Host: host, Pool: pool})
			}
		}
		assert.Equal(t, s.fleet.Waves[0].Phase, pb.WavePhase_WAVE_PHASE_DONE, "seed %d: %v", seed, s.fleet.Waves)
		for _, h := range s.fleet.Hosts {
			assert.Assert(t, h.MaintainedUnixMs > 0, "seed %d: %s", seed, h.Host)
		}
		assert.Assert(t, len(s.fleet.Owners.GetOwners()) == memberCount)
	}
}

func TestOrderResults(t *testing.T) {
	s := newSimulation(t, 1)
	process := newControllerProcess(0)
	s.fleet = s.step(process, nil).Fleet
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
		d := s.step(process, []controller.Order{c.order})
		assert.Assert(t, c.is(d.Results[0].Err), "%s: %v", c.order.OperationID, d.Results[0].Err)
		if d.Fleet != nil {
			s.fleet = d.Fleet
		}
	}
}

func TestLeavingHostDrainsAtOnce(t *testing.T) {
	s := newSimulation(t, 1)
	process := newControllerProcess(0)
	s.fleet = s.step(process, nil).Fleet
	s.hosts["w0002"].upAt = s.now.Add(time.Hour)
	s.fleet = s.step(process, nil).Fleet
	h := s.fleet.Hosts[2]
	assert.Equal(t, h.Phase, pb.HostPhase_HOST_PHASE_DRAINING)
	assert.Equal(t, h.Purpose, pb.HostPurpose_HOST_PURPOSE_LEAVE)
}

// settle runs a controller process for 100 s, long enough for all pending changes to finish.
func (s *simulation) settle(process *controllerProcess) {
	for range 100 {
		s.now = s.now.Add(time.Second)
		if d := s.step(process, nil); d.Fleet != nil {
			s.fleet = d.Fleet
		}
	}
}

// A fleet without changes is not written. New hosts count as just maintained, so the schedule does not begin at once,
// but early enough that waves of its usual size, one a day, maintain every host within the period.
func TestQuietFleetWritesNothing(t *testing.T) {
	s := newSimulation(t, 1)
	process := newControllerProcess(0)
	s.settle(process)
	revision := s.fleet.Revision
	s.settle(process)
	assert.Equal(t, s.fleet.Revision, revision)
	periodDays := int(s.cfg.GetMaintenance().GetPeriod().AsDuration() / (24 * time.Hour))
	day := 1
	s.now = s.now.Add(24 * time.Hour)
	d := s.step(process, nil)
	for ; d.Fleet == nil && day < periodDays; day++ {
		s.now = s.now.Add(24 * time.Hour)
		d = s.step(process, nil)
	}
	assert.Equal(t, len(d.Fleet.GetWaves()), 1)
	assert.Assert(t, day > 1, "maintenance began on the first day of a new deployment")
	perDay := len(d.Fleet.Waves[0].Pending)
	assert.Assert(t, day+(len(s.fleet.Hosts)+perDay-1)/perDay <= periodDays, "day %d, %d hosts a day", day, perDay)
}

// A host that does not return from maintenance goes down, whether its wave still runs or was cancelled.
func TestHostThatDoesNotReturnGoesDown(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		s := newSimulation(t, 1)
		process := newControllerProcess(0)
		s.settle(process)
		s.fleet = s.step(process, []controller.Order{{OperationID: "o1", Kind: controller.StartWave, Wave: "spring", Hosts: []string{"w0005"}}}).Fleet
		s.settle(process)
		assert.Equal(t, s.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_MAINTENANCE)
		if cancel {
			s.fleet = s.step(process, []controller.Order{{OperationID: "o2", Kind: controller.CancelWave, Wave: "spring"}}).Fleet
		}
		s.now = s.now.Add(15 * time.Minute)
		s.settle(process)
		assert.Equal(t, s.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DOWN)
	}
}

// A host that is not on the platform's list can't be rebooted. It goes down and its wave stops.
func TestUnlistedHostFailsItsWave(t *testing.T) {
	s := newSimulation(t, 1)
	process := newControllerProcess(0)
	s.settle(process)
	s.unlisted = "w0005"
	s.fleet = s.step(process, []controller.Order{{OperationID: "o1", Kind: controller.StartWave, Wave: "spring", Hosts: []string{"w0005"}}}).Fleet
	s.settle(process)
	assert.Equal(t, s.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DRAINING)
	s.now = s.now.Add(15 * time.Minute)
	s.settle(process)
	assert.Equal(t, s.fleet.Hosts[5].Phase, pb.HostPhase_HOST_PHASE_DOWN)
	assert.Equal(t, s.fleet.Waves[0].Phase, pb.WavePhase_WAVE_PHASE_STOPPED)
}

// BenchmarkStep measures Step at growing fleet sizes, with a wave, a drain and demand in every pool.
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
