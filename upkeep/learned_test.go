package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestLearnedDemandSurvivesTakeover: a new owner that restores the learned demand predicts the same burst.
func TestLearnedDemandSurvivesTakeover(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	now := start.Add(20 * time.Second)
	before := New(DefaultConfig(2*time.Second, time.Second), start)
	before.demands["a"] = &demand{peak: 400_000, trough: 1000, bursts: burstHistory{
		starts: []time.Time{start, start.Add(16 * time.Second)}, length: 4 * time.Second,
	}}
	before.demands["never"] = &demand{}
	after := New(DefaultConfig(2*time.Second, time.Second), now)
	after.RestoreLearned(now, before.Learned())
	after.Step(now, Input{HostsAt: now})
	assert.Equal(t, len(after.demands), 1)
	assert.Equal(t, after.demands["a"].peak, before.demands["a"].peak)
	period, even := after.demands["a"].bursts.period()
	assert.Check(t, even)
	assert.Equal(t, period, 16*time.Second)
}

// TestInvalidLearnedDemandIsDropped: another clock may have written times in the future or out of order.
func TestInvalidLearnedDemandIsDropped(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	p := New(DefaultConfig(2*time.Second, time.Second), now)
	p.RestoreLearned(now, []*pb.LearnedDemand{
		{Pool: "ahead", RisesMs: []int64{now.Add(time.Second).UnixMilli()}},
		{Pool: "back", RisesMs: []int64{now.UnixMilli() - 10, now.UnixMilli() - 20}, Peak: -1, LengthMs: -5},
	})
	assert.Check(t, cmp.Nil(p.demands["ahead"]))
	assert.Equal(t, len(p.demands["back"].bursts.starts), 1)
	assert.Equal(t, p.demands["back"].peak, 0.0)
	assert.Equal(t, p.demands["back"].bursts.length, time.Duration(0))
}

// TestPoolWithoutStatusStaysInRotation: a new owner of the fleet that has no status of one pool yet still predicts its
// burst, and neither expects another pool's burst instead nor takes hosts from it.
func TestPoolWithoutStatusStaysInRotation(t *testing.T) {
	const burst = 4 * time.Second
	start := time.UnixMilli(1_700_000_000_000)
	now := start.Add(4*burst + time.Second)
	in := Input{HostsAt: now, Pools: map[string]PoolLoad{"spare": {Spare: true}}}
	var learned []*pb.LearnedDemand
	for i, pool := range []string{"a", "b", "c", "d"} {
		learned = append(learned, &pb.LearnedDemand{
			Pool: pool, Peak: 200_000, LengthMs: burst.Milliseconds(), RisesMs: []int64{start.Add(time.Duration(i) * burst).UnixMilli()},
		})
		for n := range 3 {
			name := pool + string(rune('0'+n))
			in.Hosts = append(in.Hosts, Host{ID: name, Pool: pool, State: Up, Worker: name, CPUMilli: 32_000, MemoryMB: 1})
		}
		in.Pools[pool] = PoolLoad{Status: &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: 1}}
	}
	in.Pools["a"] = PoolLoad{}
	p := New(DefaultConfig(2*time.Second, time.Second), now)
	p.RestoreLearned(now, learned)
	out := p.Step(now, in)
	assert.Equal(t, len(out.Evacuate["a"]), 0)
	assert.Check(t, len(out.Evacuate["c"])+len(out.Evacuate["d"]) > 0)
	for id, i := range p.intents {
		assert.Equal(t, i.targetPool, "a", id)
	}
}
