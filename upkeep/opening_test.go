package upkeep_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

// Openings of days: what comes first meets a planner that knows nothing.
const (
	openingLength = 12 * time.Second
	slowTurn      = 8 * time.Second
	turnPeak      = 4.0
	quiet         = 0.05
)

// rising is the shape of one turn that swells and ebbs from a moment on.
func rising(t, from time.Duration) float64 {
	if t < from || t > from+slowTurn {
		return quiet
	}
	return quiet + turnPeak*math.Sin(math.Pi*(t-from).Seconds()/slowTurn.Seconds())
}

// opening is one pattern.
type opening struct {
	name  string
	shape func(c int, t time.Duration) float64
	// large are jobs of widest times the usual width that come at moments.
	large map[time.Duration]int
	wave  bool
	// deaf is when no order can be written.
	deafFrom, deafTo time.Duration
}

func oneTurn(c int, t time.Duration) float64 {
	if c == 2 {
		return rising(t, 0)
	}
	return quiet
}

func openings() []opening {
	return []opening{
		{name: "first turn", shape: oneTurn},
		{name: "large job beside", shape: oneTurn, large: map[time.Duration]int{700 * time.Millisecond: 1}},
		{name: "two turns at once", shape: func(c int, t time.Duration) float64 {
			if c == 0 || c == 2 {
				return rising(t, 0) / 2
			}
			return quiet
		}},
		{name: "one turn after the other", shape: func(c int, t time.Duration) float64 {
			switch c {
			case 2:
				return rising(t, 0)
			case 0:
				return rising(t, slowTurn/2)
			}
			return quiet
		}},
		{name: "during a wave", shape: oneTurn, wave: true},
		{name: "store silent", shape: oneTurn, deafFrom: 300 * time.Millisecond, deafTo: 2 * time.Second},
		{name: "burst of one class", shape: oneTurn, large: map[time.Duration]int{
			700 * time.Millisecond: 1, 800 * time.Millisecond: 1, 900 * time.Millisecond: 1, 5 * time.Second: 3,
		}},
	}
}

// playOpening returns the share of the benefit that was earned, and the worth.
func playOpening(o opening, cfg upkeep.Config, bound bool) (benefit, worth float64) {
	const days = 4
	for seed := range uint64(days) {
		d := newDay(seed, o.shape)
		d.length = openingLength
		d.classes = slices.Clone(classes)
		for c := range d.classes {
			d.classes[c].uneven = 0.6
		}
		d.large = o.large
		d.deafFrom, d.deafTo = o.deafFrom, o.deafTo
		d.knowsAll = bound
		if o.wave {
			d.addWave()
		}
		d.play(cfg)
		benefit += d.earned / d.owed / days
		worth += d.worth() / days
	}
	return benefit, worth
}

func TestOpenings(t *testing.T) {
	for _, o := range openings() {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
			benefit, worth := playOpening(o, cfg, false)
			cfg.Moves.Foresee = false
			reactBenefit, react := playOpening(o, cfg, false)
			cfg.Moves.Enabled = false
			neverBenefit, never := playOpening(o, cfg, false)
			boundBenefit, bound := playOpening(o, cfg, true)
			t.Logf("worth (benefit): chosen %.3f (%.3f), reacting %.3f (%.3f), never %.3f (%.3f), bound %.3f (%.3f)",
				worth, benefit, react, reactBenefit, never, neverBenefit, bound, boundBenefit)
			assert.Check(t, worth > react && worth > never && bound > worth)
		})
	}
}
