package capacity

import (
	"math"
	"slices"

	"github.com/samber/lo"
)

// Range is a value with its minimum and maximum over repeated runs.
type Range struct {
	Value, Low, High float64
}

// Summarise returns the mean, minimum and maximum of values; all are NaN if there are no values.
func Summarise(values []float64) Range {
	if len(values) == 0 {
		return Range{math.NaN(), math.NaN(), math.NaN()}
	}
	return Range{Value: lo.Mean(values), Low: lo.Min(values), High: lo.Max(values)}
}

// Estimate is a model of all samples and its value at a size, with the range of the values of the models of single runs.
type Estimate struct {
	Model Model
	At    Range
}

// EstimateAt fits one model to all samples and one to each run, and evaluates the models at a size.
func EstimateAt(samples []Sample, terms []Term, size Size) (Estimate, error) {
	model, err := Fit(samples, terms)
	if err != nil {
		return Estimate{}, err
	}
	value := model.At(size)
	at := Range{Value: value, Low: value, High: value}
	for _, run := range Runs(samples) {
		single, err := Fit(lo.Filter(samples, func(s Sample, _ int) bool { return s.Run == run }), terms)
		if err != nil {
			return Estimate{}, err
		}
		at.Low = min(at.Low, single.At(size))
		at.High = max(at.High, single.At(size))
	}
	return Estimate{Model: model, At: at}, nil
}

// Runs returns the sorted numbers of the runs.
func Runs(samples []Sample) []int {
	runs := lo.Uniq(lo.Map(samples, func(s Sample, _ int) int { return s.Run }))
	slices.Sort(runs)
	return runs
}

// Marginal returns the cost of one change: each busy sample less the mean of the idle samples of the same size, divided
// by the number of changes in one window. Samples of a size without idle samples are dropped. Values are rates; seconds
// is the length of a window.
func Marginal(busy, idle []Sample, seconds, changes float64) []Sample {
	baselines := lo.MapValues(lo.GroupBy(idle, func(s Sample) Size { return s.Size }), func(group []Sample, _ Size) float64 {
		return lo.MeanBy(group, func(s Sample) float64 { return s.Value })
	})
	return lo.FilterMap(busy, func(s Sample, _ int) (Sample, bool) {
		baseline, known := baselines[s.Size]
		s.Value = (s.Value - baseline) * seconds / changes
		return s, known
	})
}
