package waves_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/waves"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"
)

const seeds = 3

var cases = map[string]failures{
	"nothing fails":       {},
	"single hosts fail":   {single: true},
	"a rack fails":        {rack: true},
	"a data centre fails": {site: true},
	"all at once":         {single: true, rack: true, site: true},
}

// A host may fail while another host of its pool drains; the next decision, two seconds later, cancels that drain. No
// drain causes a shortage beyond these two seconds, none starts against a budget or limit, and every host is
// maintained.
func TestBudgetsHoldThroughAWave(t *testing.T) {
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(waves.Step, inject, seed)
				s.run()
				assert.Equal(t, s.overBudget, 0, "seed %d", seed)
				assert.Equal(t, s.overLimit, 0, "seed %d", seed)
				assert.Assert(t, s.drainShortages <= 10, "seed %d: %d steps", seed, s.drainShortages)
				if inject.single && !inject.rack {
					assert.Equal(t, s.maintenanceShortages, 0, "seed %d", seed)
				}
				if inject != (failures{}) && s.wave().Phase == pb.WavePhase_WAVE_PHASE_STOPPED {
					continue
				}
				assert.Equal(t, s.wave().Phase, pb.WavePhase_WAVE_PHASE_DONE, "seed %d: %v", seed, s.wave())
				for _, h := range s.fleet.Hosts {
					assert.Assert(t, h.MaintainedUnixMs >= s.wave().StartedUnixMs, "seed %d: %s", seed, h.Host)
				}
			}
		})
	}
}

// The baseline violates budgets or limits in the same runs, which shows that the simulation detects violations.
func TestFixedBatchesBreakBudgets(t *testing.T) {
	for name, inject := range cases {
		overBudget, overLimit, drainShortages := 0, 0, 0
		for seed := range uint64(seeds) {
			s := newSim(fixedBatches, inject, seed)
			s.run()
			overBudget += s.overBudget
			overLimit += s.overLimit
			drainShortages += s.drainShortages
		}
		t.Logf("%s: %d drains over budget, %d over a limit, %d steps with a shortage caused by drains", name, overBudget, overLimit, drainShortages)
		assert.Assert(t, overBudget+overLimit+drainShortages > 0, name)
	}
}

func TestWaveStopsItselfAndResumes(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(waves.Step, failures{badUpdate: true}, seed)
		s.run()
		w := s.wave()
		assert.Equal(t, w.Phase, pb.WavePhase_WAVE_PHASE_STOPPED, "seed %d", seed)
		assert.Assert(t, strings.Contains(w.Reason, "resume the wave"), w.Reason)
		// Two failures stop the wave; the hosts then in progress may fail as well.
		assert.Assert(t, len(s.failedUntil) <= 2+int(s.cfg.Maintenance.MaxParallel), "seed %d: %d", seed, len(s.failedUntil))

		s.failures.badUpdate = false
		s.failedUntil = map[string]time.Time{}
		var err error
		s.fleet, err = waves.Resume(s.fleet, "spring")
		assert.NilError(t, err)
		s.run()
		assert.Equal(t, s.wave().Phase, pb.WavePhase_WAVE_PHASE_DONE, "seed %d: %v", seed, s.wave())
		assert.Equal(t, len(s.wave().Done), len(s.cfg.Hosts))
	}
}

func TestWaveOrdersAreIdempotent(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleet.Reconcile(&pb.Fleet{}, testConfig(), now)
	created, err := waves.Create(f, "spring", []string{"w00", "w01"}, "order-1", now)
	assert.NilError(t, err)
	again, err := waves.Create(created, "spring", []string{"w00", "w01"}, "order-1", now)
	assert.NilError(t, err)
	assert.Assert(t, again == created)
	_, err = waves.Create(created, "spring", []string{"w02"}, "order-2", now)
	assert.Assert(t, waves.WaveExists.Has(err), err)
	_, err = waves.Create(created, "summer", []string{"w01"}, "order-3", now)
	assert.Assert(t, fleet.AlreadyBusy.Has(err), err)

	stopped, err := waves.Stop(created, "spring", "lunch")
	assert.NilError(t, err)
	assert.Equal(t, len(waves.Step(now, waves.Input{Fleet: stopped, Config: testConfig()})), 0)

	d := fleet.NewDraft(created)
	waves.Apply(d, waves.Step(now, waves.Input{Fleet: created, Config: testConfig()}), now)
	ended, err := waves.Cancel(d.Fleet(), "spring", "no need", now)
	assert.NilError(t, err)
	for _, h := range ended.Hosts {
		assert.Equal(t, h.Phase, pb.HostPhase_HOST_PHASE_ACTIVE)
	}
	_, err = waves.Resume(ended, "spring")
	assert.Assert(t, waves.WaveDone.Has(err), err)
}

// A wave ends even if a pending host leaves the fleet.
func TestWaveDropsHostsThatLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleet.Reconcile(&pb.Fleet{}, testConfig(), now)
	f, err := waves.Create(f, "spring", []string{"w00", "w01"}, "order-1", now)
	assert.NilError(t, err)
	f, err = fleet.BeginLeave(f, "w00", "platform", now)
	assert.NilError(t, err)
	f.Hosts = slices.Delete(f.Hosts, 1, 2)
	d := fleet.NewDraft(f)
	waves.Apply(d, waves.Step(now, waves.Input{Fleet: f, Config: testConfig()}), now)
	assert.Equal(t, d.Fleet().Waves[0].Phase, pb.WavePhase_WAVE_PHASE_DONE)
	assert.Equal(t, len(d.Fleet().Waves[0].Pending), 0)
}

// The hosts that a wave starts next are among those that Upcoming returns.
func TestUpcomingIncludesNextHosts(t *testing.T) {
	s := newSim(waves.Step, failures{}, 1)
	s.cfg.Maintenance.SessionNotice = durationpb.New(time.Minute)
	in := waves.Input{Fleet: s.fleet, Config: s.cfg}
	upcoming := waves.Upcoming(s.now, in)
	assert.Equal(t, len(upcoming), int(s.cfg.Maintenance.MaxParallel))
	for _, a := range waves.Step(s.now, in) {
		assert.Assert(t, slices.Contains(upcoming, a.Host), a.Host)
	}
}

func TestFeasible(t *testing.T) {
	cfg := testConfig()
	assert.NilError(t, waves.Feasible(cfg))
	cfg.Services[0].Availability = 0.95
	err := waves.Feasible(cfg)
	assert.Assert(t, waves.Infeasible.Has(err), err)
	assert.ErrorContains(t, err, "service tastings: availability 0.95 of the 9 hosts of pool tastings needs 9")
	assert.ErrorContains(t, err, "lower its availability to 0.888 or give pool tastings 20 hosts")
	cfg.Services[0].Availability = 0.888
	assert.NilError(t, waves.Feasible(cfg))
	cfg.Maintenance.Period = durationpb.New(time.Hour)
	assert.ErrorContains(t, waves.Feasible(cfg), "raise max_parallel or the period")
}

// Every host is maintained again within one period, and no wave is larger than twice the usual size.
func TestScheduleMaintainsHostsWithinPeriod(t *testing.T) {
	const period = 840 * time.Hour
	for _, size := range []int{5, 49, 300} {
		for seed := range uint64(4) {
			testSchedule(t, size, seed, period)
		}
	}
}

func testSchedule(t *testing.T, size int, seed uint64, period time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	cfg := &pb.Configuration{Maintenance: &pb.Maintenance{Period: durationpb.New(period)}}
	start := time.Unix(1e9, 0)
	f := &pb.Fleet{}
	for i := range size {
		h := &pb.HostState{Host: fmt.Sprintf("w%04d", i), Phase: pb.HostPhase_HOST_PHASE_ACTIVE}
		switch seed {
		case 0: // never maintained
		case 1: // all maintained at the start
			h.MaintainedUnixMs = start.UnixMilli()
		case 2: // maintained at random times in the last half period
			h.MaintainedUnixMs = start.Add(-time.Duration(random.Int64N(int64(period / 2)))).UnixMilli()
		default: // half of them never maintained
			h.MaintainedUnixMs = int64(i%2) * start.Add(-time.Duration(random.Int64N(int64(period/8)))).UnixMilli()
		}
		f.Hosts = append(f.Hosts, h)
	}
	maxDue := 2 * (size/28 + 1)
	for now := start; now.Before(start.Add(3 * period)); now = now.Add(6 * time.Hour) {
		due := map[string]bool{}
		for _, host := range waves.Due(now, f, cfg) {
			due[host] = true
		}
		assert.Assert(t, len(due) <= maxDue, "size %d seed %d: %d hosts in one wave", size, seed, len(due))
		if len(due) > 0 {
			f.Waves = []*pb.Wave{{OperationId: waves.SchedulePrefix, StartedUnixMs: now.UnixMilli(), Phase: pb.WavePhase_WAVE_PHASE_DONE}}
		}
		for _, h := range f.Hosts {
			since := max(h.MaintainedUnixMs, start.Add(-period).UnixMilli())
			if h.MaintainedUnixMs == 0 {
				since = start.UnixMilli()
			}
			assert.Assert(t, now.UnixMilli()-since <= period.Milliseconds(), "size %d seed %d: %s missed its period", size, seed, h.Host)
			if due[h.Host] {
				h.MaintainedUnixMs = now.UnixMilli()
			}
		}
	}
}
