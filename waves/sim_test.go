package waves_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/waves"
	"google.golang.org/protobuf/types/known/durationpb"
)

// stepFunc is waves.Step or the baseline fixedBatches.
type stepFunc func(time.Time, waves.Input) []waves.Action

// testConfig has 49 hosts in five pools, three data centres and racks of four hosts.
func testConfig() *pb.Configuration {
	cfg := &pb.Configuration{Maintenance: &pb.Maintenance{
		Period: durationpb.New(840 * time.Hour), MaxParallel: 4, MaxPerRack: 1, MaxPerDataCentre: 2, FailureShare: 0.2,
		RebootLimit: durationpb.New(15 * time.Minute),
	}}
	sites := []string{"palermo", "catania", "modica"}
	n := 0
	for _, p := range []struct {
		name  string
		hosts int
	}{{"tastings", 9}, {"allergens", 9}, {"labelling", 11}, {"exports", 12}, {"registry", 8}} {
		cfg.Pools = append(cfg.Pools, &pb.Pool{Name: p.name, MinHosts: 1})
		cfg.Services = append(cfg.Services, &pb.Service{Name: p.name, Pool: p.name, Availability: 0.7})
		for range p.hosts {
			site := sites[n%3]
			host := &pb.Host{Name: fmt.Sprintf("w%02d", n), Pool: p.name, DataCentre: site, Rack: fmt.Sprint(site, "-", n/12)}
			cfg.Hosts = append(cfg.Hosts, host)
			n++
		}
	}
	return cfg
}

// failures selects the failures that a simulation injects.
type failures struct {
	// single makes hosts fail one at a time.
	single bool
	// rack and site make a whole rack or data centre fail once.
	rack, site bool
	// badUpdate makes most hosts fail after their maintenance.
	badUpdate bool
}

type sim struct {
	cfg         *pb.Configuration
	step        stepFunc
	failures    failures
	random      *rand.Rand
	now         time.Time
	fleet       *pb.Fleet
	failedUntil map[string]time.Time
	phaseEnds   map[string]time.Time
	// drainShortages counts the steps in which a pool lacked hosts and would not have without its drains.
	drainShortages int
	// maintenanceShortages counts the steps in which a pool lacked hosts and would not have without its drains and
	// reboots.
	maintenanceShortages int
	// overBudget counts the drains that were started against the budget of their pool.
	overBudget int
	// overLimit counts the drains that exceeded a limit of a rack or a data centre.
	overLimit int
}

func newSim(step stepFunc, inject failures, seed uint64) *sim {
	s := &sim{
		cfg: testConfig(), step: step, failures: inject, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1e6, 0),
		failedUntil: map[string]time.Time{}, phaseEnds: map[string]time.Time{},
	}
	s.fleet = fleet.Reconcile(&pb.Fleet{}, s.cfg, s.now)
	var hosts []string
	for _, h := range s.cfg.Hosts {
		hosts = append(hosts, h.Name)
	}
	s.fleet, _ = waves.Create(s.fleet, "spring", hosts, "order-1", s.now)
	return s
}

func (s *sim) wave() *pb.Wave { return s.fleet.Waves[0] }

// run advances the simulation in steps of two seconds until the wave no longer runs, for at most eight hours.
func (s *sim) run() {
	for second := 0; second < 8*3600 && s.wave().Phase == pb.WavePhase_WAVE_PHASE_RUNNING; second += 2 {
		s.now = s.now.Add(2 * time.Second)
		s.injectFailures(second)
		s.countShortages()
		s.decide()
	}
}

// injectFailures makes hosts fail for ten minutes.
func (s *sim) injectFailures(second int) {
	for host, until := range s.failedUntil {
		if s.now.After(until) {
			delete(s.failedUntil, host)
		}
	}
	until := s.now.Add(10 * time.Minute)
	if s.failures.single && second%700 == 300 {
		s.failedUntil[s.cfg.Hosts[s.random.IntN(len(s.cfg.Hosts))].Name] = until
	}
	if second != 900 {
		return
	}
	victim := s.cfg.Hosts[s.random.IntN(len(s.cfg.Hosts))]
	for _, h := range s.cfg.Hosts {
		if (s.failures.rack && h.Rack == victim.Rack) || (s.failures.site && h.DataCentre == victim.DataCentre) {
			s.failedUntil[h.Name] = until
		}
	}
}

func (s *sim) failed() map[string]bool {
	out := map[string]bool{}
	for host := range s.failedUntil {
		out[host] = true
	}
	return out
}

// countShortages runs before the decision sees the newest failures, because that is when callers are affected.
func (s *sim) countShortages() {
	for _, p := range s.cfg.Pools {
		total, working, draining, rebooting := 0, 0, 0, 0
		for _, h := range s.fleet.Hosts {
			if h.Pool != p.Name {
				continue
			}
			total++
			_, broken := s.failedUntil[h.Host]
			switch {
			case broken:
			case h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE:
				working++
			case h.Phase == pb.HostPhase_HOST_PHASE_DRAINING:
				draining++
			case h.Phase == pb.HostPhase_HOST_PHASE_MAINTENANCE:
				rebooting++
			}
		}
		needed := fleet.MinInService(0.7, total)
		if working < needed && working+draining >= needed {
			s.drainShortages++
		}
		if working < needed && working+draining+rebooting >= needed {
			s.maintenanceShortages++
		}
	}
}

func (s *sim) decide() {
	in := waves.Input{Fleet: s.fleet, Config: s.cfg, Failed: s.failed(), Load: map[string]waves.Load{}}
	for i, h := range s.cfg.Hosts {
		in.Load[h.Name] = waves.Load{Requests: int64((i*7 + s.now.Minute()) % 5)}
	}
	actions := s.step(s.now, in)
	s.checkStarts(in, actions)
	d := fleet.NewDraft(s.fleet)
	waves.Apply(d, actions, s.now)
	s.progress(d)
	next := d.Fleet()
	if d.Changed() {
		next, _ = fleet.NextWrite(next, 0, "", "write")
	}
	s.fleet = next
}

func (s *sim) checkStarts(in waves.Input, actions []waves.Action) {
	budgets := fleet.NewBudgets(s.fleet, s.cfg, in.Failed)
	racks := map[string]int{}
	sites := map[string]int{}
	hostsByName := map[string]*pb.Host{}
	for _, h := range s.cfg.Hosts {
		hostsByName[h.Name] = h
	}
	for _, h := range s.fleet.Hosts {
		if h.Phase != pb.HostPhase_HOST_PHASE_ACTIVE || in.Failed[h.Host] {
			racks[hostsByName[h.Host].Rack]++
			sites[hostsByName[h.Host].DataCentre]++
		}
	}
	for _, a := range actions {
		out := in.Failed[a.Host]
		if a.Kind != waves.StartMaintenance || out {
			continue
		}
		if budgets.MayDrain(a.Host) != nil {
			s.overBudget++
		}
		budgets.Take(a.Host)
		at := hostsByName[a.Host]
		racks[at.Rack]++
		sites[at.DataCentre]++
		if racks[at.Rack] > 1 || sites[at.DataCentre] > 2 {
			s.overLimit++
		}
	}
}

// progress ends drains after up to two minutes and reboots after one to five minutes.
func (s *sim) progress(d *fleet.Draft) {
	for _, h := range s.fleet.Hosts {
		if h.Phase != d.Host(h.Host).Phase {
			delete(s.phaseEnds, h.Host)
			continue
		}
		end, set := s.phaseEnds[h.Host]
		switch {
		case h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE || h.Phase == pb.HostPhase_HOST_PHASE_DOWN:
		case !set && h.Phase == pb.HostPhase_HOST_PHASE_DRAINING:
			s.phaseEnds[h.Host] = s.now.Add(time.Duration(s.random.IntN(120)) * time.Second)
		case !set:
			s.phaseEnds[h.Host] = s.now.Add(time.Duration(60+s.random.IntN(240)) * time.Second)
		case s.now.Before(end):
		default:
			s.endPhase(d, h)
		}
	}
}

func (s *sim) endPhase(d *fleet.Draft, h *pb.HostState) {
	delete(s.phaseEnds, h.Host)
	if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
		_ = d.Complete(h.Host, fleet.Reports{Now: s.now})
		return
	}
	_ = d.Returned(h.Host, s.now)
	if s.failures.badUpdate && s.random.IntN(10) < 8 {
		s.failedUntil[h.Host] = s.now.Add(100 * time.Hour)
	}
}

// fixedBatches is a naive baseline: it starts the next four hosts by name once the last four are done.
func fixedBatches(now time.Time, in waves.Input) []waves.Action {
	const batch = 4
	w := in.Fleet.Waves[0]
	var out []waves.Action
	for _, a := range waves.Step(now, in) {
		if a.Kind == waves.FinishHost || a.Kind == waves.FinishWave {
			out = append(out, a)
		}
	}
	if len(w.InProgress) > 0 {
		return out
	}
	for _, host := range w.Pending[:min(batch, len(w.Pending))] {
		out = append(out, waves.Action{Kind: waves.StartMaintenance, Wave: w.Name, Host: host})
	}
	return out
}
