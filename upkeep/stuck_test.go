package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestPoolWithStuckTasksGrows: tasks that need more capacity than the pool will have when others end get hosts until
// they fit, and no more, although demand is low and the price of hosts high.
func TestPoolWithStuckTasksGrows(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	cfg := DefaultConfig(2*time.Second, time.Second)
	cfg.Moves.SecondPrice = 1000
	status := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: 1, WaitingTasks: 4, StuckCpuMilli: 6000}
	in := Input{HostsAt: now, Pools: map[string]PoolLoad{"spare": {Spare: true}, "p": {Status: status}}}
	for _, id := range []string{"m1", "m2"} {
		in.Hosts = append(in.Hosts, Host{ID: id, Pool: "p", State: Up, Worker: id, CPUMilli: 4000, MemoryMB: 1})
		status.Workers = append(status.Workers, &pb.WorkerLoad{Id: id, Tasks: 1, PersistentTasks: 1, UsedCpuMilli: 2000})
	}
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
		in.Hosts = append(in.Hosts, Host{ID: id, Pool: "spare", State: Up, CPUMilli: 4000, MemoryMB: 1})
	}
	out := New(cfg, now).Step(now, in)
	assert.Equal(t, len(out.Moves), 2)
	for _, m := range out.Moves {
		assert.Equal(t, m.Pool, "p")
	}
}
