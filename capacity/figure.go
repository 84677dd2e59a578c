package capacity

import (
	"math"

	"github.com/samber/lo"
)

// States of a measured deployment.
const (
	StateIdle   = "idle"
	StateConfig = "config"
	StateMoves  = "moves"
	StateWave   = "wave"
	StateTiming = "timing"
)

// SeriesDesign is the series measured at the design size itself. Fits leave it out, so that it tests them.
const SeriesDesign = "design"

// Fitted are the series that figures are worked out from. Others show faults, loads and settings.
var Fitted = []string{"base", "hosts", "entry-hosts", "pools", "teams", SeriesDesign}

// Spec says how one figure is worked out.
type Spec struct {
	Role     string
	Quantity string
	Unit     string
	State    string
	Measure  string
	Terms    []Term
	// PerChange makes the figure the cost of one change, over the idle rate.
	PerChange bool
	// PerDay, unless 0, makes the figure the mean rate of a day with that many changes; it needs PerChange.
	PerDay float64
	// Bound is the limit of the figure; 0 for none.
	Bound float64
}

// Window says how the samples of changes were taken.
type Window struct {
	Seconds float64
	Changes float64
}

// Figure is one worked out value: what the fit of the smaller sizes gives for the design size, and what was measured at
// the design size; NaN where there are no samples, or too few sizes for the fit.
type Figure struct {
	Spec     Spec
	Model    Model
	Fit      Range
	Measured Range
}

// Exceeds reports whether the figure is above its bound, by the fit or as measured.
func (f Figure) Exceeds() bool {
	return f.Spec.Bound > 0 && (f.Fit.Value > f.Spec.Bound || f.Measured.Value > f.Spec.Bound)
}

// Work works out a figure for a size.
func (s Spec) Work(samples []Sample, window Window, size Size) (Figure, error) {
	scale := 1.0
	if s.PerDay > 0 {
		scale = DailyMean(s.PerDay, 1)
	}
	chosen := lo.Map(s.choose(samples, window), func(sample Sample, _ int) Sample {
		sample.Value *= scale
		return sample
	})
	atDesign, smaller := lo.FilterReject(chosen, func(sample Sample, _ int) bool { return sample.Series == SeriesDesign })
	figure := Figure{Spec: s, Fit: Range{math.NaN(), math.NaN(), math.NaN()}}
	figure.Measured = Summarise(lo.Map(atDesign, func(sample Sample, _ int) float64 { return sample.Value }))
	if len(smaller) == 0 {
		return figure, nil
	}
	estimate, err := EstimateAt(smaller, s.Terms, size)
	if TooFew.Has(err) {
		return figure, nil // measured at the design size only
	}
	figure.Model, figure.Fit = estimate.Model, estimate.At
	return figure, err
}

func (s Spec) choose(samples []Sample, window Window) []Sample {
	of := func(state string) []Sample {
		return lo.Filter(samples, func(sample Sample, _ int) bool {
			return lo.Contains(Fitted, sample.Series) && sample.State == state && sample.Measure == s.Measure
		})
	}
	if s.PerChange {
		return Marginal(of(s.State), of(StateIdle), window.Seconds, window.Changes)
	}
	return of(s.State)
}
