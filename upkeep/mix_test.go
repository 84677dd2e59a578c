package upkeep

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
)

// Pattern: at rest a pool runs persistent tasks only, which need much memory for their CPU. The hosts for the next burst
// are counted by the CPU of whole hosts, as its batch tasks need little memory, and those of the persistent tasks by memory.
func TestHostsForABurstAreNotCountedByTheMixOfPersistentTasks(t *testing.T) {
	host := Host{CPUMilli: 32_000, MemoryMB: 64_000}
	d := &demand{}
	status := &pb.PoolStatusResponse{Workers: []*pb.WorkerLoad{
		{Tasks: 2, PersistentTasks: 2, UsedCpuMilli: 9_600, UsedMemoryMb: 44_000, PersistentCpuMilli: 9_600, PersistentMemoryMb: 44_000},
		{Tasks: 2, PersistentTasks: 2, UsedCpuMilli: 9_600, UsedMemoryMb: 52_000, PersistentCpuMilli: 9_600, PersistentMemoryMb: 52_000},
	}}
	d.updateUsage(status)
	assert.Equal(t, d.usableCPU(host), 32_000.0)
	assert.Equal(t, d.persistentHosts(host), 1.5)

	status.WaitingPersistentCpuMilli, status.WaitingPersistentMemoryMb = 48_000, 160_000
	d.updateUsage(status)
	assert.Equal(t, d.persistentHosts(host), 4.0)

	status.Workers = append(status.Workers, &pb.WorkerLoad{Tasks: 4, UsedCpuMilli: 16_000, UsedMemoryMb: 64_000})
	for range 500 {
		d.updateUsage(status)
	}
	assert.Equal(t, math.Round(d.usableCPU(host)), 16_000.0)

	status.Workers[2] = &pb.WorkerLoad{Tasks: 1, UsedCpuMilli: 300, UsedMemoryMb: 9_000}
	for range 16 {
		d.updateUsage(status)
	}
	assert.Assert(t, d.usableCPU(host) > 15_000, "%v", d.usableCPU(host))
}

// Pattern: a turn ends, and two of the pools have had none yet. The free hosts are shared between these, so that whichever
// has the next turn begins it with half of them.
func TestTwoCandidatesForTheNextTurnShareTheHosts(t *testing.T) {
	const (
		perPool = 100
		turn    = 8 * time.Second
		tick    = 100 * time.Millisecond
	)
	start := time.Unix(1_000_000, 0)
	p := New(DefaultConfig(2*time.Second, 1500*time.Millisecond), start)
	hosts := map[string]*Host{}
	for i := range 4 * perPool {
		id := fmt.Sprintf("m%03d", i)
		hosts[id] = &Host{ID: id, Pool: fmt.Sprintf("p%d", i/perPool), State: Up, Worker: id + "/0", CPUMilli: 32_000, MemoryMB: 64_000}
	}
	hosts["spare"] = &Host{ID: "spare", Pool: "spare", State: Up, Worker: "spare/0", CPUMilli: 32_000, MemoryMB: 64_000}
	arrived := map[string]int64{}
	var evacuate map[string][]string
	for now := start; now.Before(start.Add(2 * turn)); now = now.Add(tick) {
		in := Input{HostsAt: now, Pools: map[string]PoolLoad{"spare": {Spare: true}}}
		for n := range 4 {
			name := fmt.Sprintf("p%d", n)
			// The turns of p0 and p1 fill 150 hosts each.
			arrived[name] += 100 * tick.Milliseconds()
			if int(now.Sub(start)/turn) == n {
				arrived[name] += 150 * 32_000 * tick.Milliseconds()
			}
			in.Pools[name] = PoolLoad{Status: &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: arrived[name]}}
		}
		for _, id := range sortedKeys(hosts) {
			h := hosts[id]
			in.Hosts = append(in.Hosts, *h)
			if h.Pool == "spare" {
				continue
			}
			status := in.Pools[h.Pool].Status
			status.Workers = append(status.Workers, &pb.WorkerLoad{Id: h.Worker, Evacuated: slices.Contains(evacuate[h.Pool], h.Worker)})
		}
		out := p.Step(now.Add(time.Millisecond), in)
		evacuate = out.Evacuate
		for _, o := range out.Moves {
			hosts[o.Host].Pool = o.Pool
			hosts[o.Host].Worker += "+"
			p.MoveResult(now, o, Done)
		}
	}
	count := map[string]int{}
	for _, h := range hosts {
		count[h.Pool]++
	}
	assert.Assert(t, count["p2"] >= 60 && count["p3"] >= 60, "%v", count)
	assert.Assert(t, count["p2"]-count["p3"] <= 20 && count["p3"]-count["p2"] <= 20, "%v", count)
}
