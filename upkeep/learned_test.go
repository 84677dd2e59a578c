package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestLearnedOutlivesOwner hands what one owner learned to the next, which foresees the same turn.
func TestLearnedOutlivesOwner(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	now := start.Add(20 * time.Second)
	before := New(DefaultConfig(2*time.Second, time.Second), start)
	before.demands["a"] = &demand{peak: 400_000, trough: 1000, turns: turns{
		rises: []time.Time{start, start.Add(16 * time.Second)}, length: 4 * time.Second,
	}}
	before.demands["never"] = &demand{}
	after := New(DefaultConfig(2*time.Second, time.Second), now)
	after.RestoreLearned(now, before.Learned())
	after.Step(now, Input{MachinesAt: now})
	assert.Equal(t, len(after.demands), 1)
	assert.Equal(t, after.demands["a"].peak, before.demands["a"].peak)
	period, even := after.demands["a"].turns.period()
	assert.Check(t, even)
	assert.Equal(t, period, 16*time.Second)
}

// TestOddLearningIsLeftOut: times that lie ahead or run backwards, as another clock may have written them.
func TestOddLearningIsLeftOut(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	p := New(DefaultConfig(2*time.Second, time.Second), now)
	p.RestoreLearned(now, []*pb.LearnedDemand{
		{Pool: "ahead", RisesMs: []int64{now.Add(time.Second).UnixMilli()}},
		{Pool: "back", RisesMs: []int64{now.UnixMilli() - 10, now.UnixMilli() - 20}, Peak: -1, LengthMs: -5},
	})
	assert.Check(t, cmp.Nil(p.demands["ahead"]))
	assert.Equal(t, len(p.demands["back"].turns.rises), 1)
	assert.Equal(t, p.demands["back"].peak, 0.0)
	assert.Equal(t, p.demands["back"].turns.length, time.Duration(0))
}
