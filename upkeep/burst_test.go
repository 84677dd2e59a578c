package upkeep

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
)

const (
	burstRate    = 500_000
	troughRate   = 10_000
	pollInterval = 120 * time.Millisecond
)

// observeRates feeds a demand with one rate per poll, starting at the given time, and returns the time after the last.
func observeRates(d *demand, from time.Time, fence uint64, rates ...float64) time.Time {
	arrived := d.arrived
	if fence != d.fence {
		arrived = 0
	}
	for _, rate := range rates {
		arrived += int64(rate * float64(pollInterval.Milliseconds()))
		d.observe(from, &pb.PoolStatusResponse{Owner: true, Fence: fence, ArrivedMilliMs: arrived}, 1_000_000)
		from = from.Add(pollInterval)
	}
	return from
}

func repeat(n int, rate float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = rate
	}
	return out
}

// A burst that ends slowly, after its learned length, does not count as several.
func TestBurstStartsOnce(t *testing.T) {
	d := &demand{peak: burstRate}
	d.bursts.length = 4 * time.Second
	now := observeRates(d, time.Unix(1000, 0), 1, repeat(40, troughRate)...)
	now = observeRates(d, now, 1, repeat(40, burstRate)...)
	assert.Equal(t, len(d.bursts.starts), 1)
	for range 5 {
		now = observeRates(d, now, 1, repeat(4, 0.3*burstRate)...)
		now = observeRates(d, now, 1, repeat(4, 0.6*burstRate)...)
	}
	observeRates(d, now, 1, repeat(20, troughRate)...)
	assert.Equal(t, len(d.bursts.starts), 1)
	assert.Assert(t, !d.bursts.high)
}

// An owner that takes over in the middle of a burst neither ends it nor learns a wrong peak from the half that it
// observes.
func TestBurstContinuesAfterTakeover(t *testing.T) {
	before := &demand{}
	now := observeRates(before, time.Unix(1000, 0), 1, repeat(40, troughRate)...)
	now = observeRates(before, now, 1, repeat(30, burstRate)...)
	assert.Assert(t, before.bursts.high)
	p := New(DefaultConfig(time.Second, time.Second), now)
	p.RestoreLearned(now, []*pb.LearnedDemand{before.toProto("a")})
	d := p.demands["a"]
	now = observeRates(d, now, 2, repeat(30, burstRate)...)
	assert.Assert(t, d.bursts.high)
	observeRates(d, now, 2, repeat(30, troughRate)...)
	assert.Assert(t, !d.bursts.high)
	assert.Equal(t, len(d.bursts.starts), 1)
	assert.Assert(t, d.peak > 0.7*burstRate && d.peak < 1.1*burstRate, "%.0f", d.peak)
	assert.Assert(t, d.bursts.length > 6*time.Second && d.bursts.length < 9*time.Second, "%s", d.bursts.length)
}

// The work of one large job does not count as a rate, that of many small ones does; nor does the large job hide others
// that arrive with it.
func TestOneLargeJobDoesNotSetTheRate(t *testing.T) {
	const work = 40 * troughRate
	expected := func(largest, others int64) float64 {
		d := &demand{}
		now := observeRates(d, time.Unix(1000, 0), 1, repeat(20, troughRate)...)
		arrived := d.arrived + largest + others
		d.observe(now, &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: arrived, LargestMilliMs: largest}, 1_000_000)
		return d.expectedRate(false)
	}
	span := pollInterval.Milliseconds()
	alone, many := expected(work*span, 0), expected(troughRate*span, work*span)
	assert.Assert(t, alone <= 1.5*troughRate, "%.0f", alone)
	assert.Assert(t, many > 4*troughRate, "%.0f", many)
	assert.Assert(t, expected(work*span, work*span) >= many)
}

// A large job with a small one after it starts no first burst; the same work in many jobs does.
func TestLargeJobStartsNoBurst(t *testing.T) {
	const work = 400 * troughRate
	for name, test := range map[string]struct {
		largest int64
		begins  bool
	}{"one": {work * pollInterval.Milliseconds(), false}, "many": {work / 20 * pollInterval.Milliseconds(), true}} {
		d := &demand{}
		now := observeRates(d, time.Unix(1000, 0), 1, repeat(20, troughRate)...)
		for _, rate := range []int64{work, troughRate, troughRate} {
			status := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: d.arrived + rate*pollInterval.Milliseconds()}
			status.LargestMilliMs = test.largest
			d.observe(now, status, 1_000_000)
			now = now.Add(pollInterval)
		}
		assert.Equal(t, d.bursts.high, test.begins, name)
	}
}

// A pool's first burst starts while its rate is still rising, far below the bound for later bursts.
func TestFirstBurstIsDetectedEarly(t *testing.T) {
	const capacity = 1_000_000 // as in observeRates
	d := &demand{}
	now := observeRates(d, time.Unix(1000, 0), 1, repeat(20, troughRate)...)
	now = observeRates(d, now, 1, repeat(10, 0.1*capacity)...)
	assert.Assert(t, !d.bursts.high)
	now = observeRates(d, now, 1, repeat(10, 0.2*capacity)...)
	assert.Assert(t, d.bursts.high)
	observeRates(d, now, 1, repeat(30, troughRate)...)
	assert.Assert(t, !d.bursts.high)
}

// A new owner of the fleet does not subtract a large job that arrived before its first status from the rate that it
// observes.
func TestLargeJobBeforeFirstStatusIsIgnored(t *testing.T) {
	const rate = 160_000
	d := &demand{}
	now := time.Unix(1000, 0)
	for n := range int64(4) {
		status := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: n * rate * pollInterval.Milliseconds()}
		status.LargestMilliMs = 10 * rate * pollInterval.Milliseconds()
		d.observe(now, status, 1_000_000)
		now = now.Add(pollInterval)
	}
	assert.Assert(t, d.bursts.high)
}
