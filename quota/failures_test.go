package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
)

func oneCap(cpu int64) []queue.Workspace {
	return []queue.Workspace{{Name: "w", Cap: queue.Cap{CPUMilli: cpu}}}
}

// limit returns the limit in force at the owner of a pool.
func limit(p *workers) int64 { return p.owner().limits.InForce()["w"].CPUMilli }

// settled returns a deployment in calm, whose fleet owner has spread a cap of 8000 over four pools.
func settled(t *testing.T) *model {
	m := newModel(4, oneCap(8000))
	m.calm(time.Second, func() {})
	for _, p := range m.pools {
		assert.Equal(t, limit(p), int64(2000))
	}
	return m
}

// Guards against a successor that starts with more than what runs, while what its predecessor had is granted to others.
func TestSuccessorStartsWithWhatRuns(t *testing.T) {
	m := settled(t)
	p := m.pools[0]
	m.submit(p, "w", 500, 1, time.Minute)
	m.calm(100*time.Millisecond, func() {})
	m.replace(p)
	assert.Equal(t, limit(p), int64(0), "it does not know what runs")
	m.takeOver(p, p.owner())
	assert.Equal(t, limit(p), int64(500))
	m.calm(time.Second, func() {})
	assert.Equal(t, limit(p), int64(2000))
}

// Guards against a grant for an owner that reaches its successor, which would have a larger limit than is reserved for it.
func TestGrantForAnotherOwnerIsIgnored(t *testing.T) {
	m := settled(t)
	m.submit(m.pools[0], "w", 3000, 1, time.Minute)
	m.calm(50*time.Millisecond, func() {})
	m.requests, m.answers = nil, nil
	m.now = m.now.Add(200 * time.Millisecond)
	f, p := m.fleets[0], m.pools[0]
	batch := f.allocator.Grants(m.now, p.name)
	batch.Grants = []quota.Grant{{Workspace: "w", Limit: quota.Resources{CPUMilli: 3000, MemoryMB: -1, GPU: -1}}}
	m.replace(p)
	m.takeOver(p, p.owner())
	m.deliver(request{from: f, pool: p, sequence: 999, fence: f.fence, batch: batch}, p.owner())
	assert.Equal(t, limit(p), int64(0))
}

// Guards against a new fleet owner that raises limits before it knows what every pool holds.
func TestNewFleetOwnerRaisesNothingBeforeAllReported(t *testing.T) {
	m := settled(t)
	m.newFleet()
	f := m.fleets[1]
	m.submit(m.pools[0], "w", 3000, 1, time.Minute)
	for _, p := range m.pools[:3] {
		m.poll(f, p)
		m.deliver(m.requests[len(m.requests)-1], p.owner())
		m.answer(m.answers[len(m.answers)-1])
	}
	assert.Equal(t, len(f.allocator.Grants(m.now, "a").Grants), 0)
}

// Guards against a report of a replaced pool owner that hides what its successor got from the previous fleet owner.
func TestReportOfAReplacedPoolOwnerIsIgnored(t *testing.T) {
	a := quota.NewAllocator()
	a.SetPools([]string{"a"})
	a.SetWorkspaces(oneCap(8000))
	a.SetFence("a", 5)
	a.Observe(time.Unix(1, 0), "a", quota.Report{Fence: 4, Sequence: 1, UsageKnown: true})
	assert.Equal(t, len(a.Grants(time.Unix(1, 0), "a").Grants), 0)
	a.Observe(time.Unix(1, 0), "a", quota.Report{Fence: 5, Sequence: 2, UsageKnown: true})
	assert.Equal(t, len(a.Grants(time.Unix(1, 0), "a").Grants), 1)
}

// Guards against a raise that counts as confirmed, and its cap as free, when the answer to an earlier request arrives.
func TestAnswerToAnEarlierRequestConfirmsNothing(t *testing.T) {
	now := time.Unix(1, 0)
	a := quota.NewAllocator()
	a.SetPools([]string{"a"})
	a.SetWorkspaces(oneCap(8000))
	a.Observe(now, "a", quota.Report{Fence: 1, Sequence: 1, UsageKnown: true})
	batch := a.Grants(now, "a")
	assert.Equal(t, len(batch.Grants), 1)
	a.Observe(now, "a", quota.Report{Fence: 1, Sequence: 2, Version: batch.Version - 1, UsageKnown: true})
	assert.Equal(t, a.Allocations()[0].Reserved.CPUMilli, int64(8000))
	assert.DeepEqual(t, a.Grants(now, "a").Grants, batch.Grants)
	granted := []quota.Usage{{Workspace: "w", HasLimit: true, Limit: batch.Grants[0].Limit}}
	a.Observe(now, "a", quota.Report{Fence: 1, Sequence: 3, Version: batch.Version, UsageKnown: true, Usage: granted})
	assert.Equal(t, len(a.Grants(now, "a").Grants), 0)
	assert.Equal(t, a.Allocations()[0].Reserved.CPUMilli, int64(8000))
}

// Guards against giving away what a pool without an answer may still use, and against others that stop working meanwhile.
func TestReservationOfACutOffPoolStays(t *testing.T) {
	m := settled(t)
	cut := m.pools[3]
	m.pools = m.pools[:3]
	for _, p := range m.pools {
		m.submit(p, "w", 2000, 1, 100*time.Millisecond)
		m.submit(p, "w", 5000, 1, time.Minute)
	}
	m.calm(20*time.Second, func() {
		assert.Assert(t, m.running("w").CPUMilli <= 6000)
	})
	assert.Equal(t, m.running("w").CPUMilli, int64(5000), "one of the wide tasks runs")
	assert.Equal(t, limit(cut), int64(2000))
}

// Guards against starts beyond a cap that was lowered below the use, and against limits that do not return afterwards.
func TestLoweredCap(t *testing.T) {
	m := settled(t)
	for _, p := range m.pools {
		for n := range 12 {
			m.submit(p, "w", 500, 1, time.Duration(500+200*n)*time.Millisecond)
		}
	}
	m.calm(200*time.Millisecond, func() {})
	assert.Equal(t, m.running("w").CPUMilli, int64(8000))
	m.caps = oneCap(2000)
	m.fleets[0].configure(m.caps)
	for _, p := range m.pools {
		p.owner().limits.SetWorkspaces(m.caps, p.usage(p.owner(), m.now))
	}
	m.calm(400*time.Millisecond, func() {})
	before := m.running("w").CPUMilli
	m.calm(2*time.Second, func() {
		running := m.running("w").CPUMilli
		assert.Assert(t, running <= max(before, 2000), "%d, before %d", running, before)
		before = running
	})
	assert.Equal(t, before, int64(2000))
	m.fleets[0].configure(oneCap(8000))
	m.calm(600*time.Millisecond, func() {})
	assert.Equal(t, m.running("w").CPUMilli, int64(8000))
}

// Guards against limits that follow every change of the use although no pool needs more.
func TestLimitsDoNotFlap(t *testing.T) {
	m := settled(t)
	version := m.fleets[0].allocator.Grants(m.now, "a").Version
	for n := range 40 {
		m.submit(m.pools[n%4], "w", 1500, 1, 150*time.Millisecond)
		m.calm(200*time.Millisecond, func() {})
	}
	assert.Equal(t, m.fleets[0].allocator.Grants(m.now, "a").Version, version)
}

// Guards against a wide task that small ones of other pools keep from its turn.
func TestWideTaskIsNotStarvedBySmallOnes(t *testing.T) {
	m := settled(t)
	wide := m.submit(m.pools[0], "w", 8000, 1, time.Second)
	for n := range 100 {
		for _, p := range m.pools[1:] {
			m.submit(p, "w", 500, 1, 400*time.Millisecond)
			m.submit(p, "w", 500, 1, time.Duration(300+n)*time.Millisecond)
		}
		m.calm(100*time.Millisecond, func() {})
	}
	assert.Assert(t, !wide.endsAt.IsZero())
	assert.Assert(t, wide.endsAt.Sub(wide.since) < 4*time.Second, "started after %v", wide.endsAt.Sub(wide.since)-time.Second)
}

// Guards against steps that wait behind one for which the cap never becomes free, as persistent tasks hold it.
func TestSavingEndsWithoutProgress(t *testing.T) {
	m := settled(t)
	m.submit(m.pools[1], "w", 2000, 1, time.Hour)
	m.calm(100*time.Millisecond, func() {})
	m.submit(m.pools[0], "w", 7000, 1, time.Second)
	m.calm(2*time.Second, func() {})
	small := m.submit(m.pools[2], "w", 1000, 1, time.Second)
	m.calm(15*time.Second, func() {})
	assert.Assert(t, !small.endsAt.IsZero())
}

// Guards against a removed workspace that runs without a cap, or whose accepted work never runs after a takeover of the fleet.
func TestRemovedWorkspaceKeepsItsCapUntilItsWorkEnds(t *testing.T) {
	m := settled(t)
	for _, p := range m.pools {
		for range 10 {
			m.submit(p, "w", 1000, 1, time.Second)
		}
	}
	m.calm(500*time.Millisecond, func() {})
	m.caps = []queue.Workspace{}
	for _, p := range m.pools {
		p.owner().limits.SetWorkspaces(m.caps, p.usage(p.owner(), m.now))
	}
	m.newFleet()
	m.calm(8*time.Second, func() { assert.Assert(t, m.running("w").CPUMilli <= 8000) })
	for _, p := range m.pools {
		assert.Equal(t, len(p.waiting), 0)
		assert.Equal(t, len(p.owner().limits.InForce()), 0)
	}
}

// BenchmarkDecision measures what one report costs the fleet owner at 28 pools and 200 workspaces that all wait everywhere:
// taking it in, the decision about all workspaces, and the grants of the pool.
func BenchmarkDecision(b *testing.B) {
	const pools, workspaces = 28, 200
	a := quota.NewAllocator()
	names, caps := make([]string, pools), make([]queue.Workspace, workspaces)
	for n := range names {
		names[n] = fmt.Sprintf("p%02d", n)
	}
	for n := range caps {
		caps[n] = queue.Workspace{Name: fmt.Sprintf("w%03d", n), Cap: queue.Cap{CPUMilli: 290_000, MemoryMB: 600_000}}
	}
	a.SetPools(names)
	a.SetWorkspaces(caps)
	now, sequence := time.Unix(1, 0), uint64(0)
	granted := make([]map[string]quota.Resources, pools)
	versions := make([]uint64, pools)
	changed := 0
	for b.Loop() {
		b.StopTimer()
		p := int(sequence) % pools
		sequence++
		now = now.Add(20 * time.Millisecond)
		usage := make([]quota.Usage, workspaces)
		for w, c := range caps {
			need := int64(1+(int(sequence)+p*w)%11) * 1000
			usage[w] = quota.Usage{
				Workspace: c.Name, HasLimit: true, Limit: granted[p][c.Name], Used: quota.Resources{CPUMilli: need, MemoryMB: need},
				Waiting: quota.Resources{CPUMilli: 4 * need, MemoryMB: 4 * need}, Next: quota.Resources{CPUMilli: need, MemoryMB: need},
				WaitedFor: time.Duration(need) * time.Millisecond,
			}
		}
		b.StartTimer()
		a.Observe(now, names[p], quota.Report{Fence: 1, Sequence: sequence, Version: versions[p], UsageKnown: true, Usage: usage})
		batch := a.Grants(now, names[p])
		b.StopTimer()
		versions[p] = batch.Version
		if granted[p] == nil {
			granted[p] = map[string]quota.Resources{}
		}
		for _, g := range batch.Grants {
			granted[p][g.Workspace] = g.Limit
			changed++
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(changed)/float64(b.N), "grants/op")
}
