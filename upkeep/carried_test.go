package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestPoolThatItsOwnerCannotFeedDoesNotGrow: a pool with a backlog that its owner, not its room, holds up took the hosts of
// all others.
func TestPoolThatItsOwnerCannotFeedDoesNotGrow(t *testing.T) {
	assert.Assert(t, movedTo(0) >= 10, "%d moves", movedTo(0))
	// 8 cores beside 2 hosts of 4: a half more is left as a margin.
	assert.Assert(t, movedTo(8000) <= 2, "%d moves", movedTo(8000))
}

// movedTo is how many hosts a pool gets whose demand is ten times its room.
func movedTo(carried int64) int {
	const pause = 100 * time.Millisecond
	now := time.UnixMilli(1_700_000_000_000)
	planner := New(DefaultConfig(2*time.Second, time.Second), now)
	moved := map[string]bool{}
	for n := range int64(30) {
		now = now.Add(pause)
		status := &pb.PoolStatusResponse{
			Owner: true, Fence: 1, ArrivedMilliMs: n * 80_000 * pause.Milliseconds(), WaitingTasks: 400 * n,
			BacklogMilliMs: n * 72_000 * pause.Milliseconds(), CarriedCpuMilli: carried,
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
