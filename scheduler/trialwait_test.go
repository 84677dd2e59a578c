package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// maxTrialWait is the longest time in ms for which a task may wait for its trial beside free capacity.
const maxTrialWait = 3000

// addSuspectedJob adds a job that an earlier owner accepted, all tasks of which are suspected of having crashed two workers, the
// later one the given time after their start.
func (s *sim) addSuspectedJob(step *pb.JobStep, after time.Duration) *simJob {
	j := s.addJob(0, &pb.JobSpec{Steps: []*pb.JobStep{step}})
	j.accepted = true
	crashes := map[int64]*pb.CrashHistory{}
	for i := range step.GetCount() {
		crashes[i] = &pb.CrashHistory{Workers: 2, Suspected: true, AfterMs: after.Milliseconds()}
	}
	s.durableProgress[j.id] = &pb.JobProgress{
		Id: j.id, Occurrences: []*pb.OccurrenceProgress{{Steps: []*pb.StepProgress{{Crashes: crashes}}}},
	}
	return j
}

// firstStart returns when the job began, in ms; -1 if it did not.
func (s *sim) firstStart(j *simJob) int64 {
	first := int64(-1)
	j.eachTask(func(id scheduler.TaskID, _ *pb.JobStep) {
		if starts := s.checker.starts[id]; len(starts) > 0 && (first < 0 || starts[0] < first) {
			first = starts[0]
		}
	})
	return first
}

// latestFirstStart returns when the last of the jobs began, in ms.
func (s *sim) latestFirstStart(t *testing.T, jobs []*simJob) int64 {
	latest := int64(0)
	for _, j := range jobs {
		first := s.firstStart(j)
		assert.Assert(t, first >= 0, "%s never began", j.id)
		latest = max(latest, first)
	}
	return latest
}

// checkManySuspectedTasks simulates many jobs of one suspected task each in a pool that is mostly unused.
func checkManySuspectedTasks(t *testing.T, after time.Duration) {
	t.Helper()
	pools := map[string]func(*sim){
		"idle": func(*sim) {},
		"persistent tasks that were just started": func(s *sim) {
			for range 10 {
				s.addJob(0, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 3, CpuMilli: 400, Persistent: true, MayMiss: 1}}})
			}
		},
	}
	for name, load := range pools {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				s := newSim(seed, 9, faults{refuses: true})
				load(s)
				jobs := make([]*simJob, 0, 40)
				for range cap(jobs) {
					jobs = append(jobs, s.addSuspectedJob(&pb.JobStep{Count: 1, CpuMilli: 600, EstimateMs: 1000}, after))
				}
				assert.DeepEqual(t, s.run(1_000, 30_000), []string(nil))
				latest := s.latestFirstStart(t, jobs)
				assert.Assert(t, latest <= maxTrialWait, "seed %d: a job began after %d ms", seed, latest)
			}
		})
	}
}

// Guards against trials that take place one after the other while most of the pool is unused: many tasks of many jobs are
// suspected, as after a series of crashes, and nothing else waits.
func TestManySuspectedTasksBeginBesideFreeCapacity(t *testing.T) {
	checkManySuspectedTasks(t, 20*time.Millisecond)
}

// Guards against the same where each trial lasts as long as its task, since the workers crashed late in the earlier runs.
func TestLongTrialsBeginBesideFreeCapacity(t *testing.T) {
	checkManySuspectedTasks(t, 900*time.Millisecond)
}
