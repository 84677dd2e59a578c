package upkeep

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
)

const (
	turnRate   = 500_000
	troughRate = 10_000
	poll       = 120 * time.Millisecond
)

// hear feeds a demand with the rate of each poll from a moment on and returns the moment after the last.
func hear(d *demand, from time.Time, fence uint64, rates ...float64) time.Time {
	arrived := d.arrived
	if fence != d.fence {
		arrived = 0
	}
	for _, rate := range rates {
		arrived += int64(rate * float64(poll.Milliseconds()))
		d.observe(from, &pb.PoolStatusResponse{Owner: true, Fence: fence, ArrivedMilliMs: arrived}, 1_000_000)
		from = from.Add(poll)
	}
	return from
}

func times(n int, rate float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = rate
	}
	return out
}

// A turn that ends slowly, after its learned length, is not taken for further ones.
func TestTurnBeginsOnce(t *testing.T) {
	d := &demand{peak: turnRate}
	d.turns.length = 4 * time.Second
	now := hear(d, time.Unix(1000, 0), 1, times(40, troughRate)...)
	now = hear(d, now, 1, times(40, turnRate)...)
	assert.Equal(t, len(d.turns.rises), 1)
	for range 5 {
		now = hear(d, now, 1, times(4, 0.3*turnRate)...)
		now = hear(d, now, 1, times(4, 0.6*turnRate)...)
	}
	hear(d, now, 1, times(20, troughRate)...)
	assert.Equal(t, len(d.turns.rises), 1)
	assert.Assert(t, !d.turns.high)
}

// An owner that takes over in the middle of a turn neither ends it nor learns a wrong peak from the half it hears.
func TestTurnGoesOnAfterTakeover(t *testing.T) {
	before := &demand{}
	now := hear(before, time.Unix(1000, 0), 1, times(40, troughRate)...)
	now = hear(before, now, 1, times(30, turnRate)...)
	assert.Assert(t, before.turns.high)
	p := New(DefaultConfig(time.Second, time.Second), now)
	p.RestoreLearned(now, []*pb.LearnedDemand{before.learned("a")})
	d := p.demands["a"]
	now = hear(d, now, 2, times(30, turnRate)...)
	assert.Assert(t, d.turns.high)
	hear(d, now, 2, times(30, troughRate)...)
	assert.Assert(t, !d.turns.high)
	assert.Equal(t, len(d.turns.rises), 1)
	assert.Assert(t, d.peak > 0.7*turnRate && d.peak < 1.1*turnRate, "%.0f", d.peak)
	assert.Assert(t, d.turns.length > 6*time.Second && d.turns.length < 9*time.Second, "%s", d.turns.length)
}

// The work of one large job is no rate, that of many small ones is; nor does it hide the others that arrive beside it.
func TestOneLargeJobIsNoRate(t *testing.T) {
	const work = 40 * troughRate
	expected := func(largest, others int64) float64 {
		d := &demand{}
		now := hear(d, time.Unix(1000, 0), 1, times(20, troughRate)...)
		arrived := d.arrived + largest + others
		d.observe(now, &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: arrived, LargestMilliMs: largest}, 1_000_000)
		return d.rateIn(false)
	}
	span := poll.Milliseconds()
	alone, many := expected(work*span, 0), expected(troughRate*span, work*span)
	assert.Assert(t, alone <= 1.5*troughRate, "%.0f", alone)
	assert.Assert(t, many > 4*troughRate, "%.0f", many)
	assert.Assert(t, expected(work*span, work*span) >= many)
}

// A large job with a small one after it begins no first turn; the same work of many jobs does.
func TestLargeJobBeginsNoTurn(t *testing.T) {
	const work = 400 * troughRate
	for name, test := range map[string]struct {
		largest int64
		begins  bool
	}{"one": {work * poll.Milliseconds(), false}, "many": {work / 20 * poll.Milliseconds(), true}} {
		d := &demand{}
		now := hear(d, time.Unix(1000, 0), 1, times(20, troughRate)...)
		for _, rate := range []int64{work, troughRate, troughRate} {
			status := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: d.arrived + rate*poll.Milliseconds()}
			status.LargestMilliMs = test.largest
			d.observe(now, status, 1_000_000)
			now = now.Add(poll)
		}
		assert.Equal(t, d.turns.high, test.begins, name)
	}
}

// A pool's first turn begins while its rate still climbs, far below what a turn asks.
func TestFirstTurnBeginsEarly(t *testing.T) {
	const capacity = 1_000_000 // of hear
	d := &demand{}
	now := hear(d, time.Unix(1000, 0), 1, times(20, troughRate)...)
	now = hear(d, now, 1, times(10, 0.1*capacity)...)
	assert.Assert(t, !d.turns.high)
	now = hear(d, now, 1, times(10, 0.2*capacity)...)
	assert.Assert(t, d.turns.high)
	hear(d, now, 1, times(30, troughRate)...)
	assert.Assert(t, !d.turns.high)
}
