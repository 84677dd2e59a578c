package upkeep_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

// The patterns of this file open a day: the planner has learned nothing when the first burst comes.
const (
	openingLength = 12 * time.Second
	slowBurst     = 8 * time.Second
	burstPeak     = 4.0
	baseRate      = 0.05
)

// burstShape is the shape of one burst that follows half a sine wave from the given time on.
func burstShape(t, from time.Duration) float64 {
	if t < from || t > from+slowBurst {
		return baseRate
	}
	return baseRate + burstPeak*math.Sin(math.Pi*(t-from).Seconds()/slowBurst.Seconds())
}

// opening is one traffic pattern.
type opening struct {
	name  string
	shape func(c int, t time.Duration) float64
	// largeJobs maps arrival times to the number of jobs of maxWidthFactor times the usual width.
	largeJobs map[time.Duration]int
	wave      bool
	// Orders are refused from rejectFrom to rejectTo.
	rejectFrom, rejectTo time.Duration
}

func oneBurst(c int, t time.Duration) float64 {
	if c == 2 {
		return burstShape(t, 0)
	}
	return baseRate
}

func openings() []opening {
	return []opening{
		{name: "first burst", shape: oneBurst},
		{name: "first burst with a large job", shape: oneBurst, largeJobs: map[time.Duration]int{700 * time.Millisecond: 1}},
		{name: "two simultaneous bursts", shape: func(c int, t time.Duration) float64 {
			if c == 0 || c == 2 {
				return burstShape(t, 0) / 2
			}
			return baseRate
		}},
		{name: "two overlapping bursts", shape: func(c int, t time.Duration) float64 {
			switch c {
			case 2:
				return burstShape(t, 0)
			case 0:
				return burstShape(t, slowBurst/2)
			}
			return baseRate
		}},
		{name: "first burst during a wave", shape: oneBurst, wave: true},
		{name: "first burst with orders refused", shape: oneBurst, rejectFrom: 300 * time.Millisecond, rejectTo: 2 * time.Second},
		{name: "first burst with many large jobs", shape: oneBurst, largeJobs: map[time.Duration]int{
			700 * time.Millisecond: 1, 800 * time.Millisecond: 1, 900 * time.Millisecond: 1, 5 * time.Second: 3,
		}},
	}
}

// runOpening returns the share of the offered value that was earned, and the net value.
func runOpening(o opening, cfg upkeep.Config, optimal bool) (benefit, netValue float64) {
	const days = 4
	for seed := range uint64(days) {
		d := newDay(seed, o.shape)
		d.length = openingLength
		d.classes = slices.Clone(classes)
		for c := range d.classes {
			d.classes[c].widthSpread = 0.6
		}
		d.largeJobs = o.largeJobs
		d.rejectFrom, d.rejectTo = o.rejectFrom, o.rejectTo
		d.optimal = optimal
		if o.wave {
			d.addWave()
		}
		d.run(cfg)
		benefit += d.earnedValue / d.offeredValue / days
		netValue += d.netValue() / days
	}
	return benefit, netValue
}

func TestOpenings(t *testing.T) {
	for _, o := range openings() {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
			benefit, netValue := runOpening(o, cfg, false)
			cfg.Moves.Foresee = false
			reactBenefit, react := runOpening(o, cfg, false)
			cfg.Moves.Enabled = false
			neverBenefit, never := runOpening(o, cfg, false)
			boundBenefit, bound := runOpening(o, cfg, true)
			t.Logf("net value (benefit): forecast %.3f (%.3f), reacting %.3f (%.3f), no moves %.3f (%.3f), optimal %.3f (%.3f)",
				netValue, benefit, react, reactBenefit, never, neverBenefit, bound, boundBenefit)
			assert.Check(t, netValue > react && netValue > never && bound > netValue)
		})
	}
}

// TestHostsKeptUntilTheFirstBurst guards against pools that send their hosts away before any caller has come: the first burst
// of a day then meets empty pools. Load: ten idle seconds, then the patterns above.
func TestHostsKeptUntilTheFirstBurst(t *testing.T) {
	for _, o := range openings() {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
			early, _ := runOpening(o, cfg, false)
			cfg.Moves.Learn = warmup + openingLength
			kept, _ := runOpening(o, cfg, false)
			t.Logf("benefit: hosts kept %.3f, hosts released after %v %.3f", kept, upkeep.DefaultMoveConfig().Learn, early)
			assert.Check(t, kept > early)
		})
	}
}
