package scheduler_test

import (
	"flag"
	"os"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that the result is the same in every run; -rapid.seed sets another.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// addMixedJobs adds jobs of all kinds.
func addMixedJobs(s *sim, jobs int) {
	for range jobs {
		at := s.rng.Int64N(s.faultPeriod())
		switch s.rng.IntN(10) {
		case 0:
			s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 2, CpuMilli: 300, MemoryMb: 500, Persistent: true, MayMiss: 1, EstimateMs: 3000}}})
		case 1:
			s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 3, CpuMilli: 2000, MemoryMb: 100, Gang: true, EstimateMs: 1500, SavesProgress: true}}})
		case 2:
			s.addJob(at, &pb.JobSpec{
				RepeatCount: 3, StartAtMs: simEpoch + at + 1000, IntervalMs: 1500,
				Steps: []*pb.JobStep{{Count: 2, CpuMilli: 500, MemoryMb: 10, EstimateMs: 400}, {Count: 1, CpuMilli: 500, EstimateMs: 200, After: []int64{0}}},
			})
		case 3:
			j := s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 4, CpuMilli: 1500, MemoryMb: 500, EstimateMs: 4000, SavesProgress: true, MaxPerHost: 2}}})
			j.rec.Queue = "later"
		case 4:
			j := s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 3, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 3000, SameRack: true}}})
			s.cancelJob(at+s.rng.Int64N(3000), j)
		case 5:
			j := s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 500, RequiredLabel: "r1"}}})
			j.alwaysFails = s.chance(0.5)
		case 6:
			j := s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 2, CpuMilli: 500, MemoryMb: 100, EstimateMs: 500}, {Count: 2, CpuMilli: 500, EstimateMs: 900, After: []int64{0}}}})
			j.rec.Queue = "advised"
		case 7:
			s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 3, CpuMilli: 800, MemoryMb: 100, EstimateMs: 700, Speculative: true}, {Count: 2, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 700, Fills: true, After: []int64{0}}}})
		default:
			s.addJob(at, &pb.JobSpec{Steps: []*pb.JobStep{
				{Count: 4, CpuMilli: 1500, MemoryMb: 300, EstimateMs: 600, Affinity: "r0"},
				{Count: 6, CpuMilli: 1000, MemoryMb: 300, EstimateMs: 800, After: []int64{0}},
			}})
		}
	}
}

func (s *sim) faultPeriod() int64 { return 15_000 }

func drawFaults(t *rapid.T) faults {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 10).Draw(t, name)) / 100 }
	count := func(name string) int { return rapid.IntRange(0, 3).Draw(t, name) }
	return faults{
		lostCalls: share("lost calls"), lostAnswers: share("lost answers"), lateCalls: share("late calls"),
		failing: share("failing") / 4, lostRecords: share("lost records"),
		crashes: count("crashes"), takeovers: count("takeovers"), partitions: count("cuts"), drains: count("drains"),
		evacuations:   count("evacuations"),
		failingWorker: rapid.Bool().Draw(t, "grey"), hangingWorker: rapid.Bool().Draw(t, "hang"), slowWorker: rapid.Bool().Draw(t, "slow"),
	}
}

// Under faults of calls, workers and owners no task runs twice, no worker exceeds its capacity, and all jobs end.
func TestPoolUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "workers"), drawFaults(t))
		addMixedJobs(s, rapid.IntRange(5, 40).Draw(t, "jobs"))
		for _, f := range s.run(s.faultPeriod(), 75_000) {
			t.Error(f)
		}
	})
}

// Cases drawn by TestPoolUnderFaults that once violated a rule.
func TestPoolOnEarlierFailures(t *testing.T) {
	cases := []struct {
		seed          uint64
		workers, jobs int
		f             faults
	}{
		// While an unanswered stop may still be carried out late, its task must not count as available.
		{0x34e1, 6, 10, faults{
			lostCalls: 0.01, lostAnswers: 0.03, lateCalls: 0.09, failing: 0.03 / 4, lostRecords: 0.03,
			crashes: 2, takeovers: 1, partitions: 3, drains: 1, evacuations: 1, slowWorker: true,
		}},
	}
	for _, d := range cases {
		s := newSim(d.seed, d.workers, d.f)
		addMixedJobs(s, d.jobs)
		assert.DeepEqual(t, s.run(s.faultPeriod(), 75_000), []string(nil))
	}
}

// An owner that treats silence as failure runs tasks twice. The checker must detect it.
func TestCheckerCatchesNaiveOwner(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		s := newSim(seed, 4, faults{lostCalls: 0.05, lostAnswers: 0.05, lateCalls: 0.05, partitions: 2})
		s.naive = true
		addMixedJobs(s, 30)
		if len(s.run(s.faultPeriod(), 100_000)) > 0 {
			caught++
		}
	}
	assert.Assert(t, caught > 10, "caught %d of 20", caught)
}

var simQueues = []queue.Queue{
	{Name: "second", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{Name: "third", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{Name: "lasting", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{Name: "q", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{Name: "other", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{Name: "later", Pool: "p", Priority: 1, MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond},
	{
		Name: "advised", Pool: "p", MaxAttempts: simAttempts, Stretch: 2, TargetDuration: 600 * time.Millisecond,
		Advice: &queue.Advice{CallTime: 20 * time.Millisecond, TimePerWorker: 5 * time.Millisecond, TicketLifetime: 3 * time.Second},
	},
}
