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

// SeriesDesign is the series measured at the design size itself. Fits exclude it, so that it can validate them.
const SeriesDesign = "design"

// FigureSeries lists the series that figures are computed from. The other series cover faults, loads and settings.
var FigureSeries = []string{"base", "hosts", "entry-hosts", "pools", "teams", SeriesDesign}

// Spec defines how one figure is computed.
type Spec struct {
	Role     string
	Quantity string
	Unit     string
	State    string
	Measure  string
	Terms    []Term
	// PerChange makes the figure the cost of one change above the idle rate.
	PerChange bool
	// PerDay, unless 0, makes the figure the mean rate over a day with that many changes; it requires PerChange.
	PerDay float64
	// Bound is the upper limit of the figure; 0 means no limit.
	Bound float64
}

// Window is the length of the sampling window and the number of changes made in it.
type Window struct {
	Seconds float64
	Changes float64
}

// Figure is one computed value: the extrapolation of the fit of the smaller sizes to the design size, and the value
// measured at the design size. Either is NaN if there are no samples, or too few sizes for the fit.
type Figure struct {
	Spec     Spec
	Model    Model
	Fit      Range
	Measured Range
}

// Exceeds reports whether the fitted or the measured value is above the bound.
func (f Figure) Exceeds() bool {
	return f.Spec.Bound > 0 && (f.Fit.Value > f.Spec.Bound || f.Measured.Value > f.Spec.Bound)
}

// Compute computes the figure for a size.
func (s Spec) Compute(samples []Sample, window Window, size Size) (Figure, error) {
	scale := 1.0
	if s.PerDay > 0 {
		scale = DailyMean(s.PerDay, 1)
	}
	selected := lo.Map(s.selectSamples(samples, window), func(sample Sample, _ int) Sample {
		sample.Value *= scale
		return sample
	})
	atDesign, smaller := lo.FilterReject(selected, func(sample Sample, _ int) bool { return sample.Series == SeriesDesign })
	figure := Figure{Spec: s, Fit: Range{math.NaN(), math.NaN(), math.NaN()}}
	figure.Measured = Summarise(lo.Map(atDesign, func(sample Sample, _ int) float64 { return sample.Value }))
	if len(smaller) == 0 {
		return figure, nil
	}
	estimate, err := EstimateAt(smaller, s.Terms, size)
	if Underdetermined.Has(err) {
		return figure, nil // measured at the design size only
	}
	figure.Model, figure.Fit = estimate.Model, estimate.At
	return figure, err
}

func (s Spec) selectSamples(samples []Sample, window Window) []Sample {
	inState := func(state string) []Sample {
		return lo.Filter(samples, func(sample Sample, _ int) bool {
			return lo.Contains(FigureSeries, sample.Series) && sample.State == state && sample.Measure == s.Measure
		})
	}
	if s.PerChange {
		return Marginal(inState(s.State), inState(StateIdle), window.Seconds, window.Changes)
	}
	return inState(s.State)
}
