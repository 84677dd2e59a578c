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

// stepFunc is waves.Step, or a naive version of it.
type stepFunc func(time.Time, waves.Input) []waves.Action

// agency is the fleet of three data centres with racks of four, and five pools.
func agency() *pb.Configuration {
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

// failures says what fails.
type failures struct {
	// single hosts fail one at a time.
	single bool
	// rack and site fail as a whole, once.
	rack, site bool
	// badUpdate breaks most hosts that are maintained.
	badUpdate bool
}

type sim struct {
	cfg     *pb.Configuration
	step    stepFunc
	what    failures
	random  *rand.Rand
	now     time.Time
	fleet   *pb.Fleet
	broken  map[string]time.Time
	drained map[string]time.Time
	// blamed counts moments in which a pool was short and its drains alone made it so.
	blamed int
	// short counts moments in which a pool was short although the failures alone left enough.
	short int
	// rash counts drains that were started with no room for them.
	rash int
	// crowded counts drains that broke a limit of a rack or a data centre.
	crowded int
}

func newSim(step stepFunc, what failures, seed uint64) *sim {
	s := &sim{
		cfg: agency(), step: step, what: what, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1e6, 0),
		broken: map[string]time.Time{}, drained: map[string]time.Time{},
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

// run goes on every two seconds until the wave does not run any more, for some hours at most.
func (s *sim) run() {
	for second := 0; second < 8*3600 && s.wave().Phase == pb.WavePhase_WAVE_PHASE_RUNNING; second += 2 {
		s.now = s.now.Add(2 * time.Second)
		s.fail(second)
		s.judge()
		s.decide()
	}
}

// fail breaks hosts for ten minutes.
func (s *sim) fail(second int) {
	for host, until := range s.broken {
		if s.now.After(until) {
			delete(s.broken, host)
		}
	}
	until := s.now.Add(10 * time.Minute)
	if s.what.single && second%700 == 300 {
		s.broken[s.cfg.Hosts[s.random.IntN(len(s.cfg.Hosts))].Name] = until
	}
	if second != 900 {
		return
	}
	victim := s.cfg.Hosts[s.random.IntN(len(s.cfg.Hosts))]
	for _, h := range s.cfg.Hosts {
		if (s.what.rack && h.Rack == victim.Rack) || (s.what.site && h.DataCentre == victim.DataCentre) {
			s.broken[h.Name] = until
		}
	}
}

func (s *sim) failed() map[string]bool {
	out := map[string]bool{}
	for host := range s.broken {
		out[host] = true
	}
	return out
}

// judge counts what is short before the decision sees the newest failures: that is when callers would notice.
func (s *sim) judge() {
	for _, p := range s.cfg.Pools {
		total, working, draining, rebooting := 0, 0, 0, 0
		for _, h := range s.fleet.Hosts {
			if h.Pool != p.Name {
				continue
			}
			total++
			_, broken := s.broken[h.Host]
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
		needed := fleet.Needed(0.7, total)
		if working < needed && working+draining >= needed {
			s.blamed++
		}
		if working < needed && working+draining+rebooting >= needed {
			s.short++
		}
	}
}

func (s *sim) decide() {
	in := waves.Input{Fleet: s.fleet, Config: s.cfg, Failed: s.failed(), Load: map[string]waves.Load{}}
	for i, h := range s.cfg.Hosts {
		in.Load[h.Name] = waves.Load{Requests: int64((i*7 + s.now.Minute()) % 5)}
	}
	actions := s.step(s.now, in)
	s.judgeStarts(in, actions)
	d := fleet.NewDraft(s.fleet)
	waves.Apply(d, actions, s.now)
	s.progress(d)
	next := d.Fleet()
	if d.Changed() {
		next, _ = fleet.NextWrite(next, 0, "", "write")
	}
	s.fleet = next
}

func (s *sim) judgeStarts(in waves.Input, actions []waves.Action) {
	budgets := fleet.NewBudgets(s.fleet, s.cfg, in.Failed)
	racks := map[string]int{}
	sites := map[string]int{}
	places := map[string]*pb.Host{}
	for _, h := range s.cfg.Hosts {
		places[h.Name] = h
	}
	for _, h := range s.fleet.Hosts {
		if h.Phase != pb.HostPhase_HOST_PHASE_ACTIVE || in.Failed[h.Host] {
			racks[places[h.Host].Rack]++
			sites[places[h.Host].DataCentre]++
		}
	}
	for _, a := range actions {
		out := in.Failed[a.Host]
		if a.Kind != waves.StartMaintenance || out {
			continue
		}
		if budgets.MayDrain(a.Host) != nil {
			s.rash++
		}
		budgets.Take(a.Host)
		at := places[a.Host]
		racks[at.Rack]++
		sites[at.DataCentre]++
		if racks[at.Rack] > 1 || sites[at.DataCentre] > 2 {
			s.crowded++
		}
	}
}

// progress ends drains after up to two minutes and reboots after up to five.
func (s *sim) progress(d *fleet.Draft) {
	for _, h := range s.fleet.Hosts {
		if h.Phase != d.Host(h.Host).Phase {
			delete(s.drained, h.Host)
			continue
		}
		end, set := s.drained[h.Host]
		switch {
		case h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE || h.Phase == pb.HostPhase_HOST_PHASE_DOWN:
		case !set && h.Phase == pb.HostPhase_HOST_PHASE_DRAINING:
			s.drained[h.Host] = s.now.Add(time.Duration(s.random.IntN(120)) * time.Second)
		case !set:
			s.drained[h.Host] = s.now.Add(time.Duration(60+s.random.IntN(240)) * time.Second)
		case s.now.Before(end):
		default:
			s.end(d, h)
		}
	}
}

func (s *sim) end(d *fleet.Draft, h *pb.HostState) {
	delete(s.drained, h.Host)
	if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
		_ = d.Complete(h.Host, fleet.Reports{Now: s.now})
		return
	}
	_ = d.Returned(h.Host, s.now)
	if s.what.badUpdate && s.random.IntN(10) < 8 {
		s.broken[h.Host] = s.now.Add(100 * time.Hour)
	}
}

// fixedBatches is the naive version: the next four hosts by name once the last four are through.
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
