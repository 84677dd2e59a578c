package jobplatform_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/scheduler"
)

// firstClock is the start of the first machine's clock.
const firstClock = 100_000

// hold returns the answer of the first worker, or an error.
func (n *unsafeOwner) hold(fence uint64, lastSeen int64) (scheduler.Report, error) {
	w := n.ids[0]
	return n.workers.Hold(n.t.Context(), platform.HoldRequest{Address: w.Address, Worker: w.ID, Fence: fence, LastSeen: lastSeen})
}

// holdUntil holds the first worker until its answer has the wanted number of running tasks.
func (n *unsafeOwner) holdUntil(fence uint64, running int) scheduler.Report {
	n.t.Helper()
	for startedAt := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		report, err := n.hold(fence, 0)
		if err == nil && !report.Fenced && len(report.Running) == running {
			return report
		}
		assert.Assert(n.t, time.Since(startedAt) < 10*time.Second, "%v, %d running", err, len(report.Running))
	}
}

func TestReturnedWorkerBeginsAnew(t *testing.T) {
	n := newUnsafeOwner(t)
	assert.Equal(t, n.startAs(0, 2, 0, 1, "p", 5), scheduler.OutcomeDone)
	assert.Equal(t, n.startAs(0, 0, 0, 1, "p", 5), scheduler.OutcomeDone)
	before := n.holdUntil(5, 1)
	assert.Equal(t, len(before.Ended), 1)
	fenced, err := n.hold(1, 0)
	assert.NilError(t, err)
	assert.Assert(t, fenced.Fenced)

	n.p.ReturnBusiest(1)
	after := n.holdUntil(1, 0)
	assert.Assert(t, after.Born > before.Born)
	assert.Assert(t, after.Clock <= firstClock+time.Now().UnixMilli()-after.Born, "the clock began when the worker returned")
	assert.Equal(t, len(after.Ended), 0)
	assert.Equal(t, n.startAs(0, 0, 1, 1, "p", 1), scheduler.OutcomeDone)
	after = n.holdUntil(1, 0)
	assert.Equal(t, len(after.Ended), 1)
	assert.Equal(t, after.Ended[0].Number, before.Ended[0].Number)
	totals, violations := n.p.History().Verdict()
	assert.Equal(t, totals.Gone, 1)
	assert.Equal(t, len(violations), 0, "%q", violations)
}

// TestLateHoldReachesReturnedWorker acknowledges the first end of a worker by a hold that is executed once the worker has returned,
// before it has an end.
func TestLateHoldReachesReturnedWorker(t *testing.T) {
	n := newUnsafeOwner(t)
	n.start(0, 2, 0, 1)
	n.holdUntil(1, 1)
	n.p.DelayHolds(1)
	_, err := n.hold(3, 1)
	assert.Assert(t, err != nil)
	n.p.DelayHolds(0)
	n.p.ReturnBusiest(1)
	n.holdUntil(1, 0)
	for startedAt, executed := time.Now(), false; !executed; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(startedAt) < 10*time.Second, "the late hold was not executed")
		report, err := n.hold(1, 0)
		assert.NilError(t, err)
		executed = report.Fenced
	}
	assert.Equal(t, n.startAs(0, 0, 0, 1, "p", 3), scheduler.OutcomeDone)
	assert.Equal(t, len(n.holdUntil(3, 0).Ended), 0, "the end was acknowledged in advance")
	n.start(1, 0, 0, 2)
	_, violations := n.p.History().Verdict()
	assert.Assert(t, strings.Contains(strings.Join(violations, "\n"), "after its success was acknowledged"), "%q", violations)
}

func TestLapsedEntriesAreBack(t *testing.T) {
	n := newUnsafeOwner(t)
	before := n.ids
	n.p.LapseEntries()
	for startedAt := time.Now(); len(n.p.Items(platform.WorkersPrefix)) == len(before); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(startedAt) < 10*time.Second)
	}
	n.ids = nil
	n.awaitWorkers(len(before))
	for i, w := range n.ids {
		assert.Equal(t, w.ID, before[i].ID)
		assert.Equal(t, w.Born, before[i].Born)
	}
}
