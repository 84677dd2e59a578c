package jobplatform_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	job                = "00000000000000af"
	storeAddressSuffix = ".8.100:18500"
	viewNetworkSuffix  = ".9"
	// farDeadline is a lease deadline on a worker's clock that the worker shortens.
	farDeadline = 1 << 40
)

// unsafeOwner sends orders without any safeguards.
type unsafeOwner struct {
	t        *testing.T
	p        *jobplatform.Platform
	kv       *platform.Store
	workers  *platform.Workers
	machines *platform.Machines
	ids      []scheduler.Worker
}

// network returns the first two bytes of all addresses of this process.
func network() string { return fmt.Sprintf("127.%d", 100+os.Getpid()%100) }

func newUnsafeOwner(t *testing.T) *unsafeOwner {
	t.Helper()
	network := network()
	p, err := jobplatform.New(t.Context(), jobplatform.Options{
		Address: network + storeAddressSuffix, Network: network + ".8", WorkerPort: 9100, Views: []string{network + viewNetworkSuffix},
		Pools: []jobplatform.PoolOptions{{Name: "open", Machines: 2}, {Name: "guarded", Machines: 1, EnforcesCapacity: true}, {Name: "spare", Spare: true}},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- p.Run(ctx) }()
	n := &unsafeOwner{
		t: t, p: p, kv: platform.NewStore(network+storeAddressSuffix, platform.StoreOptions{}),
		workers: platform.NewWorkers(platform.WorkersOptions{}), machines: platform.NewMachines(network + storeAddressSuffix),
	}
	t.Cleanup(func() {
		n.kv.Close()
		n.workers.Close()
		n.machines.Close()
		cancel()
		assert.Check(t, <-served)
	})
	p.History().Add(jobplatform.Job{ID: job, Queue: "q", Pool: "open", Payload: "p", Steps: []jobplatform.Step{
		{Count: 2, CPUMilli: 3000, MemoryMB: 10, Work: 30 * time.Millisecond},
		{Count: 1, CPUMilli: 1, MemoryMB: 1, After: []int{0}},
		{Count: 2, CPUMilli: 1, MemoryMB: 1, Persistent: true, MayMiss: 1},
	}})
	n.awaitWorkers(3)
	return n
}

// awaitWorkers polls the registry until it has the wanted number of entries.
func (n *unsafeOwner) awaitWorkers(want int) {
	n.t.Helper()
	for startedAt := time.Now(); len(n.ids) != want; time.Sleep(20 * time.Millisecond) {
		assert.Assert(n.t, time.Since(startedAt) < 10*time.Second, "%d entries", len(n.ids))
		items, _, err := n.kv.Range(n.t.Context(), platform.WorkersPrefix, false)
		assert.NilError(n.t, err)
		n.ids = nil
		for _, item := range items {
			w, _, err := platform.ParseWorker(item.Key, item.Data)
			assert.NilError(n.t, err)
			n.ids = append(n.ids, w)
		}
	}
}

func (n *unsafeOwner) start(worker, step, index int, run int64) {
	n.startAs(worker, step, index, run, "p", 1)
}

func (n *unsafeOwner) startAs(worker, step, index int, run int64, payload string, fence uint64) scheduler.Outcome {
	w := n.ids[worker]
	return n.workers.Start(n.t.Context(), scheduler.Order{
		Worker: w.ID, Address: w.Address, Task: scheduler.TaskID{Job: job, Step: step, Index: index}, Run: run, Payload: payload, Until: farDeadline,
	}, fence).Outcome
}

// acknowledge waits for an end on a worker and acknowledges it.
func (n *unsafeOwner) acknowledge(worker int) {
	n.t.Helper()
	w := n.ids[worker]
	h := platform.HoldRequest{Address: w.Address, Worker: w.ID, Fence: 1, Wait: 2 * time.Second}
	report, err := n.workers.Hold(n.t.Context(), h)
	assert.NilError(n.t, err)
	assert.Equal(n.t, len(report.Ended), 1)
	assert.Equal(n.t, report.Ended[0].End, scheduler.EndSucceeded)
	h.LastSeen, h.Wait = report.Ended[0].Number, 0
	_, err = n.workers.Hold(n.t.Context(), h)
	assert.NilError(n.t, err)
}

// TestViolationsAreReported makes an owner without safeguards violate each guarantee once.
func TestViolationsAreReported(t *testing.T) {
	tests := map[string]struct {
		act  func(*unsafeOwner)
		want string
	}{
		"concurrent runs": {func(n *unsafeOwner) { n.start(0, 0, 0, 1); n.start(1, 0, 0, 2) }, "runs twice at once"},
		"after success":   {func(n *unsafeOwner) { n.start(0, 0, 0, 1); n.acknowledge(0); n.start(1, 0, 0, 2) }, "after its success was acknowledged"},
		"after success, acknowledged later": {func(n *unsafeOwner) {
			n.start(0, 0, 0, 1)
			time.Sleep(100 * time.Millisecond)
			n.start(1, 0, 0, 2)
			n.acknowledge(0)
		}, "started after its success, which was acknowledged later"},
		"succeeded twice": {func(n *unsafeOwner) {
			n.start(0, 0, 0, 1)
			time.Sleep(100 * time.Millisecond)
			n.start(1, 0, 0, 2)
			n.acknowledge(0)
			n.acknowledge(1)
		}, "succeeded twice"},
		"capacity":       {func(n *unsafeOwner) { n.start(0, 0, 0, 1); n.start(0, 0, 1, 1) }, "beyond its capacity"},
		"order":          {func(n *unsafeOwner) { n.start(0, 1, 0, 1) }, "with 2 tasks of step 0 open"},
		"pool":           {func(n *unsafeOwner) { n.start(2, 0, 0, 1) }, "of pool guarded"},
		"payload":        {func(n *unsafeOwner) { n.startAs(0, 0, 0, 1, "other", 1) }, "another payload"},
		"unknown task":   {func(n *unsafeOwner) { n.start(0, 0, 9, 1) }, "which was never submitted"},
		"rejected":       {func(n *unsafeOwner) { n.p.History().Refused(job); n.start(0, 0, 0, 1) }, "was rejected"},
		"rejected, late": {func(n *unsafeOwner) { n.start(0, 0, 0, 1); n.p.History().Refused(job) }, "was rejected"},
		"completed":      {func(n *unsafeOwner) { n.p.History().Completed(job) }, "with 5 tasks open"},
		"wave limit": {func(n *unsafeOwner) {
			assert.NilError(n.t, n.p.OrderWave(n.t.Context(), 1, n.p.Machines(), 10, 1))
			n.machines.Upkeep(n.t.Context(), "m01", 1, "h", 1)
			n.machines.Upkeep(n.t.Context(), "m02", 1, "h", 1)
		}, "as many as wave 1 allows"},
		"wave skips a machine": {func(n *unsafeOwner) {
			assert.NilError(n.t, n.p.OrderWave(n.t.Context(), 1, n.p.Machines(), 10, 1))
			_, err := n.kv.Commit(n.t.Context(), store.Transaction{
				Puts: []store.Put{{Key: platform.WaveStatusKey(1), Data: platform.FormatWaveStatus(1, true)}},
			})
			assert.NilError(n.t, err)
			assert.Assert(n.t, n.p.WaveCompleted(1))
		}, "without machine m01"},
		"checkpoint": {func(n *unsafeOwner) {
			w := n.ids[0]
			n.workers.Start(n.t.Context(), scheduler.Order{
				Worker: w.ID, Address: w.Address, Task: scheduler.TaskID{Job: job}, Run: 1, Payload: "p", Until: farDeadline, Checkpoint: job + ".0.0.1@20",
			}, 1)
		}, "of another task"},
		"availability": {func(n *unsafeOwner) {
			n.start(0, 2, 0, 1)
			n.start(1, 2, 1, 1)
			time.Sleep(400 * time.Millisecond)
			n.machines.Move(n.t.Context(), "m01", "spare", "h", 1)
			n.machines.Move(n.t.Context(), "m02", "spare", "h", 1)
		}, "while 1 other tasks of its step were unavailable"},
		"two holders": {func(n *unsafeOwner) {
			n.machines.Move(n.t.Context(), "m01", "guarded", "h", 1)
			n.machines.Move(n.t.Context(), "m01", "guarded", "i", 1)
		}, "ordered by h and i"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newUnsafeOwner(t)
			test.act(n)
			_, violations := n.p.History().Verdict()
			assert.Assert(t, strings.Contains(strings.Join(violations, "\n"), test.want), "%q", violations)
		})
	}
}

// TestLapsedSuccessDoesNotCount starts a task again after its success, which is acknowledged once the worker's lease has lapsed.
func TestLapsedSuccessDoesNotCount(t *testing.T) {
	n := newUnsafeOwner(t)
	w := n.ids[0]
	report, err := n.workers.Hold(t.Context(), platform.HoldRequest{Address: w.Address, Worker: w.ID, Fence: 1})
	assert.NilError(t, err)
	assert.Equal(t, n.workers.Start(t.Context(), scheduler.Order{
		Worker: w.ID, Address: w.Address, Task: scheduler.TaskID{Job: job}, Run: 1, Payload: "p", Until: report.Clock + 1000,
	}, 1).Outcome, scheduler.OutcomeDone)
	time.Sleep(1200 * time.Millisecond)
	n.start(1, 0, 0, 2)
	n.acknowledge(0)
	n.acknowledge(1)
	totals, violations := n.p.History().Verdict()
	assert.Equal(t, totals.Done, 2)
	assert.Equal(t, len(violations), 0, "%q", violations)
}

// TestGangsAndCheckpoints runs an incomplete gang, then a complete one, which is stopped and resumed from its checkpoint.
func TestGangsAndCheckpoints(t *testing.T) {
	n := newUnsafeOwner(t)
	n.p.History().Add(jobplatform.Job{ID: job, Pool: "open", Payload: "p", Steps: []jobplatform.Step{
		{Count: 2, CPUMilli: 1, Work: 1500 * time.Millisecond, SavesProgress: true, Gang: true},
	}})
	hold := func(worker int, lastSeen int64) scheduler.Report {
		w := n.ids[worker]
		h := platform.HoldRequest{Address: w.Address, Worker: w.ID, Fence: 1, LastSeen: lastSeen, Wait: 2 * time.Second}
		report, err := n.workers.Hold(t.Context(), h)
		assert.NilError(t, err)
		return report
	}
	n.start(0, 0, 0, 1)
	assert.Equal(t, len(hold(0, 0).Ended), 0)
	assert.Equal(t, hold(0, 0).Ended[0].End, scheduler.EndAlone)
	n.start(0, 0, 0, 2)
	n.start(1, 0, 1, 2)
	time.Sleep(1200 * time.Millisecond)
	w := n.ids[0]
	stop := scheduler.Order{Worker: w.ID, Address: w.Address, Task: scheduler.TaskID{Job: job}, Run: 2}
	assert.Equal(t, n.workers.Stop(t.Context(), stop, 1).Outcome, scheduler.OutcomeDone)
	ended := hold(0, 1).Ended[0]
	assert.Equal(t, ended.End, scheduler.EndStopped)
	assert.Equal(t, hold(1, 0).Ended[0].End, scheduler.EndBroken)
	for i := range 2 {
		w := n.ids[i]
		o := scheduler.Order{
			Worker: w.ID, Address: w.Address, Task: scheduler.TaskID{Job: job, Index: i}, Run: 3, Payload: "p", Until: farDeadline, Checkpoint: ended.Checkpoint,
		}
		assert.Equal(t, n.workers.Start(t.Context(), o, 1).Outcome, scheduler.OutcomeDone)
	}
	assert.Equal(t, hold(0, 2).Ended[0].End, scheduler.EndSucceeded)
	assert.Equal(t, hold(1, 1).Ended[0].End, scheduler.EndSucceeded)
	totals, violations := n.p.History().Verdict()
	assert.Equal(t, totals.Resumed, 2)
	assert.Equal(t, len(violations), 0, "%q", violations)
}

func TestGuards(t *testing.T) {
	n := newUnsafeOwner(t)
	assert.Equal(t, n.startAs(0, 0, 0, 1, "p", 5), scheduler.OutcomeDone)
	assert.Equal(t, n.startAs(0, 0, 0, 1, "p", 5), scheduler.OutcomeDone, "a repeated order changes nothing")
	assert.Equal(t, n.startAs(0, 0, 1, 1, "p", 4), scheduler.OutcomeFenced)
	gone := n.ids[1]
	assert.Equal(t, n.machines.Move(t.Context(), "m02", "spare", "h", 2), platform.MachineDone)
	assert.Equal(t, n.machines.Move(t.Context(), "m02", "open", "h", 1), platform.MachineFenced)
	assert.Equal(t, n.machines.Upkeep(t.Context(), "m02", 3, "h", 2), platform.MachineWrongWave)
	assert.Assert(t, n.workers.Start(t.Context(), scheduler.Order{Worker: gone.ID, Address: gone.Address, Until: farDeadline}, 1).Outcome != scheduler.OutcomeDone)
	n.awaitWorkers(2)
	_, err := n.kv.Commit(t.Context(), store.Transaction{Deletes: []string{platform.ConfigKey}})
	assert.Assert(t, platform.Rejected.Has(err), "only the operator writes its keys")
	n.p.SilenceStore(time.Second)
	_, err = n.kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: "a"}}})
	assert.Assert(t, store.Unknown.Has(err), "%v", err)
	time.Sleep(time.Second)
	n.p.LoseAnswers(1)
	_, err = n.kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: "a"}}})
	assert.Assert(t, store.Unknown.Has(err), "%v", err)
	n.p.LoseAnswers(0)
	item, err := n.kv.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Assert(t, item.Version > 0, "only the answer is lost, the write is applied")
	_, violations := n.p.History().Verdict()
	assert.Equal(t, len(violations), 0, "%q", violations)
}
