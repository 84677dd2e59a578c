// Package jobcallers simulates callers that submit jobs to entry hosts, poll their states and cancel some of them. The
// same seed gives the same plan of a load.
package jobcallers

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateturn/agateturn/standin/jobplatform"
)

// Options configure a load.
type Options struct {
	// Entries are the addresses (ip:port) of the entry hosts' listeners for callers.
	Entries []string
	Queues  []jobplatform.Queue
	// Workspaces are the workspaces of the callers in turn. If it is empty, callers send no keys.
	Workspaces []jobplatform.Workspace
	Seed       uint64
	// Duration is the time in which jobs are submitted, Rate their number per second.
	Duration time.Duration
	Rate     float64
	// Drain is the time limit for the jobs to end after that.
	Drain time.Duration
}

// planned is a job with the times of its submission and cancellation.
type planned struct {
	job   jobplatform.Job
	queue jobplatform.Queue
	// key is the caller's API key; empty if it has none.
	key string
	// at is relative to the start of the load, cancelAfter to the acceptance of the job; a cancelAfter of 0 means never.
	at, cancelAfter time.Duration
}

// Shares of the jobs that are cancelled, and of the steps with the other properties, in units of 1/shares.
const (
	shares       = 100
	cancelShare  = 12
	failingShare = 8
	savingShare  = 25
	gangShare    = 10
)

// plan draws all jobs: first one persistent job for each queue, then the batch jobs.
func plan(o Options) []planned {
	random := rand.New(rand.NewPCG(o.Seed, 1)) //nolint:gosec // a repeatable load
	var jobs []planned
	for _, q := range o.Queues {
		p := planned{queue: q, job: newJob(random, q)}
		p.job.Steps = []jobplatform.Step{{Count: 3, CPUMilli: 500, MemoryMB: 256, Work: time.Second, Persistent: true, MayMiss: 1}}
		jobs = append(jobs, p)
	}
	batches := int(o.Rate * o.Duration.Seconds())
	for i := range batches {
		p := planned{
			queue: o.Queues[random.IntN(len(o.Queues))],
			at:    time.Duration(float64(o.Duration) * float64(i) / float64(batches)),
		}
		p.job = newJob(random, p.queue)
		p.job.Steps = batchSteps(random)
		if random.IntN(shares) < cancelShare {
			p.cancelAfter = time.Duration(100+random.IntN(1200)) * time.Millisecond
		}
		jobs = append(jobs, p)
	}
	for i := range jobs {
		if n := len(o.Workspaces); n > 0 {
			jobs[i].key = o.Workspaces[i%n].Key
		}
	}
	return jobs
}

func newJob(random *rand.Rand, q jobplatform.Queue) jobplatform.Job {
	id := random.Uint64()
	return jobplatform.Job{ID: fmt.Sprintf("%016x", id), Queue: q.Name, Pool: q.Pool, Payload: fmt.Sprintf("%s %x", q.Name, id)}
}

func batchSteps(random *rand.Rand) []jobplatform.Step {
	steps := make([]jobplatform.Step, 1+random.IntN(2))
	for i := range steps {
		steps[i] = jobplatform.Step{
			Count: 1 + random.IntN(5), CPUMilli: int64(500 * (1 + random.IntN(3))), MemoryMB: 512,
			Work:          time.Duration(150+random.IntN(900)) * time.Millisecond,
			FirstRunFails: random.IntN(shares) < failingShare,
			SavesProgress: random.IntN(shares) < savingShare,
			Gang:          random.IntN(shares) < gangShare,
		}
		if steps[i].SavesProgress {
			steps[i].Work *= 6
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}
