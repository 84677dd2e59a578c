package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestOwnerLimitedPoolDoesNotGrow: a pool whose backlog is limited by the throughput of its owner, not by its capacity,
// used to take the hosts of all other pools.
func TestOwnerLimitedPoolDoesNotGrow(t *testing.T) {
	assert.Assert(t, countMoves(0) >= 10, "%d moves", countMoves(0))
	// The owner can keep 8 cores busy, and the pool has 2 hosts of 4 cores: the margin allows half as many hosts again.
	assert.Assert(t, countMoves(8000) <= 2, "%d moves", countMoves(8000))
}

// countMoves returns how many hosts a pool gets whose demand is ten times its capacity. Its owner can keep busyCPULimit
// busy, in thousandths of a core; 0 if this is not the bottleneck.
func countMoves(busyCPULimit int64) int {
	const interval = 100 * time.Millisecond
	now := time.UnixMilli(1_700_000_000_000)
	planner := New(DefaultConfig(2*time.Second, time.Second), now)
	moved := map[string]bool{}
	for n := range int64(30) {
		now = now.Add(interval)
		status := &pb.PoolStatusResponse{
			Owner: true, Fence: 1, ArrivedMilliMs: n * 80_000 * interval.Milliseconds(), WaitingTasks: 400 * n,
			BacklogMilliMs: n * 72_000 * interval.Milliseconds(), CarriedCpuMilli: busyCPULimit,
		}
		in := Input{HostsAt: now, Pools: map[string]PoolLoad{"spare": {Spare: true}, "p": {Status: status}}}
		for i := range 2 {
			id := fmt.Sprint("m", i)
			in.Hosts = append(in.Hosts, Host{ID: id, Pool: "p", State: Up, Worker: id, CPUMilli: 4000, MemoryMB: 1})
			status.Workers = append(status.Workers, &pb.WorkerLoad{Id: id, Tasks: 4, UsedCpuMilli: 4000})
		}
		for i := range 20 {
			in.Hosts = append(in.Hosts, Host{ID: fmt.Sprint("s", i), Pool: "spare", State: Up, CPUMilli: 4000, MemoryMB: 1})
		}
		for _, m := range planner.Step(now, in).Moves {
			moved[m.Host] = true
		}
	}
	return len(moved)
}
