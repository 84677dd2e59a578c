package contention

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a late job, or one beyond the weight of its workspace, before a job that can be on time.
func TestOrderOfClasses(t *testing.T) {
	second := func(projected float64) Candidate {
		return Candidate{Projected: time.Duration(projected * 1e9), Objective: time.Second, WaitingWork: 1000, Weight: 1}
	}
	beyond := second(0.5)
	beyond.BeyondWeight, beyond.WaitingWork = true, 1
	exceeding := second(0.9)
	exceeding.Excess = 0.5
	urgent := second(0.2)
	urgent.WaitingWork = 1e6
	lower := second(0.9)
	lower.Priority = 1
	want := []Candidate{
		{Persistent: true, Priority: 5}, {Starved: true, Priority: 5}, second(0.9), second(0.5), urgent, exceeding, lower, second(1.5), beyond, second(3.1),
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortStableFunc(got, func(a, b Candidate) int { return RankOf(a).Compare(RankOf(b)) })
	assert.DeepEqual(t, got, want)
}

// A workspace may use what others leave unused, and is delayed by how far it exceeds its share of weights, by the resource
// of which it uses most. Guards against shares that count workspaces without work.
func TestSharesOfActiveWorkspaces(t *testing.T) {
	weights := map[string]float64{"a": 3, "b": 1, "idle": 100}
	s := NewShares(weights, map[string]Use{"a": {CPU: 50}, "b": {CPU: 10, Memory: 50}, "": {CPU: 90}}, Use{CPU: 100, Memory: 100})
	assert.Equal(t, s.Excess("a"), 0.0)
	assert.Equal(t, s.Excess("b"), 1.25)
	assert.Equal(t, s.Excess(""), 0.0)
	alone := NewShares(weights, map[string]Use{"b": {CPU: 100}}, Use{CPU: 100, Memory: 100})
	assert.Equal(t, alone.Excess("b"), 0.0)
}

// A workspace at eight times its weight marks its own jobs only; the episode begins once and ends after a calm time.
func TestArrivalsBeyondWeight(t *testing.T) {
	var a Arrivals
	at := time.Unix(1000, 0)
	marked, begins := 0, 0
	for range 400 {
		at = at.Add(25 * time.Millisecond)
		beyond, episode := a.Add(at, "greedy", 5)
		if beyond {
			marked++
		}
		if episode != nil {
			begins++
		}
		if at.UnixMilli()%250 == 0 {
			other, _ := a.Add(at, "calm", 5)
			assert.Assert(t, !other)
		}
	}
	assert.Assert(t, marked >= 340 && marked <= 350, marked)
	assert.Equal(t, begins, 1)
	assert.Equal(t, len(a.Ended(at.Add(time.Second))), 0)
	assert.DeepEqual(t, a.Ended(at.Add(2*time.Second)), []Episode{{Workspace: "greedy", Jobs: marked}})
	beyond, _ := a.Add(at, "no weight", 0)
	assert.Assert(t, !beyond)
}

// A job that would be on time only if it started now gives way to one that fits the capacity until its latest start, unless
// capacity is free for both. Guards against capacity for jobs that begin in time and end late.
func TestJobsThatWouldEndLateGiveWay(t *testing.T) {
	job := func(work float64, slack time.Duration, priority int) Candidate {
		return Candidate{
			Priority: priority, Projected: 4*time.Second - slack, Objective: 4 * time.Second, RemainingPath: time.Second,
			WaitingWork: work, Weight: 1,
		}
	}
	crowded := func(capacity Capacity, candidates ...Candidate) (out []bool) {
		for _, r := range Order(candidates, capacity) {
			out = append(out, r.Crowded)
		}
		return out
	}
	full := Capacity{Total: 1000}
	both := []Candidate{job(1e6, time.Second, 0), job(5e5, 1100*time.Millisecond, 0)}
	assert.DeepEqual(t, crowded(full, both...), []bool{true, false})
	assert.DeepEqual(t, crowded(full, both[1], job(1e6, 5*time.Second, 0)), []bool{false, false})
	assert.DeepEqual(t, crowded(Capacity{Total: 4000, Free: 2000}, both...), []bool{false, false})
	assert.DeepEqual(t, crowded(full, job(1e5, 200*time.Millisecond, 1), job(3e6, time.Second, 0)), []bool{true, false})
	assert.DeepEqual(t, crowded(full, job(1e5, 200*time.Millisecond, 0), job(3e6, time.Second, 1)), []bool{false, false})
}
