package proofs

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/standin/jobcallers"
	"github.com/agateturn/agateturn/standin/jobplatform"
)

// Parameters of TestRecovery, which needs a dedicated machine and runs only on request; docs/PROOFS.md lists the runs.
var (
	recoveryEnabled  = flag.Bool("recovery", false, "measure recovery")
	recoveryHosts    = flag.Int("recovery.hosts", 3, "entry hosts")
	recoveryWorkers  = flag.Int("recovery.workers", 15, "workers, in five pools")
	recoveryRate     = flag.Float64("recovery.rate", 8, "jobs per second")
	recoveryDowntime = flag.Duration("recovery.dark", 2*time.Second, "how long all entry hosts are down")
	recoverySilence  = flag.Duration("recovery.silence", 2*time.Second, "how long the store does not answer")
)

const (
	recoveryPools = 5
	// recoveryLimit is the time within which every pool must start tasks again.
	recoveryLimit = 12 * time.Second
	// faultInterval is the time between two faults.
	faultInterval = 4 * time.Second
	// Rate limits of the store, in calls per second of all entry hosts.
	storeWrites, storeReads = 400, 2000
)

// recovery is a set of entry hosts with their platform and the rows of measurements.
type recovery struct {
	*jobCluster
	p      *jobplatform.Platform
	queues []jobplatform.Queue
	rows   bytes.Buffer
}

func recoveryQueue(i int) jobplatform.Queue {
	name := fmt.Sprintf("q%d", i+1)
	return jobplatform.Queue{Name: name, Host: "jobs.example", Prefix: "/" + name + "/", Pool: "p" + strconv.Itoa(i+1), Priority: 1}
}

func newRecovery(t *testing.T) *recovery {
	t.Helper()
	r := &recovery{jobCluster: &jobCluster{t: t, dir: t.TempDir(), entries: map[int]*entry{}}}
	pools := []jobplatform.PoolOptions{{Name: "spare", Spare: true}}
	for i := range recoveryPools {
		r.queues = append(r.queues, recoveryQueue(i))
		pools = append(pools, jobplatform.PoolOptions{Name: r.queues[i].Pool, Machines: *recoveryWorkers / recoveryPools})
	}
	var err error
	r.p, err = jobplatform.New(t.Context(), jobplatform.Options{
		Address: jobAddress(100, 18500), Network: network + ".7", WorkerPort: 9100, Pools: pools,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- r.p.Run(ctx) }()
	t.Cleanup(func() {
		r.shutDown()
		cancel()
		assert.Check(t, <-served)
	})
	assert.NilError(t, r.p.Configure(t.Context(), 1, r.queues, nil))
	r.startAll()
	return r
}

func (r *recovery) startAll() {
	for n := 1; n <= *recoveryHosts; n++ {
		r.start(n)
	}
}

func (r *recovery) killAll() {
	for _, e := range r.entries {
		assert.NilError(r.t, e.command.Process.Signal(syscall.SIGKILL))
	}
	for _, e := range r.entries {
		<-e.exited
	}
}

// owner returns the number of the entry host that owns a pool, 0 for none.
func (r *recovery) owner(pool string) int {
	var record pb.OwnerRecord
	items := r.p.Items(jobkeys.Owner(pool))
	if len(items) == 0 || proto.Unmarshal(items[0].Data, &record) != nil {
		return 0
	}
	n, _ := strconv.Atoi(strings.TrimPrefix(record.GetMember(), "entry-"))
	return n
}

// awaitStarts returns the time from since until every pool has had a start.
func (r *recovery) awaitStarts(what string, pools []string, since time.Time) time.Duration {
	r.t.Helper()
	var longest time.Duration
	for _, pool := range pools {
		first := r.p.History().FirstStart(pool, since)
		for first.IsZero() && time.Since(since) < recoveryLimit {
			time.Sleep(10 * time.Millisecond)
			first = r.p.History().FirstStart(pool, since)
		}
		assert.Assert(r.t, !first.IsZero(), "%s: no start in pool %s for %v", what, pool, recoveryLimit)
		longest = max(longest, first.Sub(since))
	}
	return longest
}

// measure waits for starts in the pools after the end of a fault and records the cost since the beginning of the fault.
func (r *recovery) measure(what string, pools []string, begin, end time.Time) {
	r.t.Helper()
	took := r.awaitStarts(what, pools, end)
	time.Sleep(faultInterval)
	peak := r.p.PeakTraffic(begin)
	assert.Assert(r.t, peak.Writes <= storeWrites && peak.Reads+peak.Renewals <= storeReads, "%s: %+v calls per second", what, peak)
	fmt.Fprintf(&r.rows, "%-28s %6.2f s  %4d writes/s %4d reads/s %4d renewals/s  %5.1f MB\n",
		what, took.Seconds(), peak.Writes, peak.Reads, peak.Renewals, r.memory())
}

// memory returns the highest peak resident memory of the running entry hosts, in MB.
func (r *recovery) memory() float64 {
	var highest float64
	for _, e := range r.entries {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
		assert.NilError(r.t, err)
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		assert.NilError(r.t, err)
		highest = max(highest, kb/1024)
	}
	return highest
}

// After an owner is killed, after all entry hosts are killed, after a time without any entry host, and after the store stops
// answering for a while, every pool starts tasks again within the limit. The rate limits of the store are respected and no
// guarantee of a job is violated.
func TestRecovery(t *testing.T) {
	if !*recoveryEnabled {
		t.Skip("measured with -args -recovery")
	}
	r := newRecovery(t)
	pools := lo.Map(r.queues, func(q jobplatform.Queue, _ int) string { return q.Pool })
	entries := lo.Times(*recoveryHosts, func(i int) string { return jobAddress(i+1, 7000) })
	length := *recoveryDowntime + *recoverySilence + 5*(faultInterval+recoveryLimit/4)
	report := make(chan jobcallers.Report, 1)
	var load sync.WaitGroup
	load.Go(func() {
		report <- jobcallers.Run(t.Context(), jobcallers.Options{
			Entries: entries, Queues: r.queues, Seed: *jobSeed, Duration: length, Rate: *recoveryRate, Drain: waitTimeout,
		}, r.p.History())
	})
	begin := time.Now()
	r.measure("start", pools, begin, begin)

	victim := r.owner(pools[0])
	assert.Assert(t, victim > 0)
	owned := lo.Filter(pools, func(pool string, _ int) bool { return r.owner(pool) == victim })
	begin = time.Now()
	assert.NilError(t, r.entries[victim].command.Process.Signal(syscall.SIGKILL))
	<-r.entries[victim].exited
	killed := r.entries[victim]
	delete(r.entries, victim)
	r.measure(fmt.Sprintf("owner of %d pools killed", len(owned)), owned, begin, begin)
	r.start(killed.number)

	begin = time.Now()
	r.killAll()
	r.startAll()
	r.measure("all hosts killed", pools, begin, begin)

	begin = time.Now()
	r.killAll()
	time.Sleep(*recoveryDowntime)
	restarted := time.Now()
	r.startAll()
	r.measure(fmt.Sprintf("all hosts down for %v", *recoveryDowntime), pools, begin, restarted)

	begin = time.Now()
	r.p.SilenceStore(*recoverySilence)
	time.Sleep(*recoverySilence)
	r.measure(fmt.Sprintf("store silent for %v", *recoverySilence), pools, begin, begin.Add(*recoverySilence))

	load.Wait()
	workers, violations := r.p.History().Verdict()
	t.Logf("%d entry hosts, %d workers, %v jobs per second, time until all pools have started tasks, highest peak memory:\n%s%s",
		*recoveryHosts, *recoveryWorkers, *recoveryRate, &r.rows, <-report)
	assert.Equal(t, workers.Broken, 0, "%s", violations)
}
