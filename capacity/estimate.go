package capacity

import (
	"math"
	"slices"

	"github.com/samber/lo"
)

// Range is a value with its spread over repeated runs.
type Range struct {
	Value, Low, High float64
}

// Summarise is the mean of values and their extremes; all are NaN without values.
func Summarise(values []float64) Range {
	if len(values) == 0 {
		return Range{math.NaN(), math.NaN(), math.NaN()}
	}
	return Range{Value: lo.Mean(values), Low: lo.Min(values), High: lo.Max(values)}
}

// Estimate is a model of all samples with what it says of a size, and what the models of the single runs say.
type Estimate struct {
	Model Model
	At    Range
}

// EstimateAt fits all samples, and each run by itself, and evaluates the models at a size.
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

// Runs are the numbers of the runs, sorted.
func Runs(samples []Sample) []int {
	runs := lo.Uniq(lo.Map(samples, func(s Sample, _ int) int { return s.Run }))
	slices.Sort(runs)
	return runs
}

// Marginal is what one change costs: each sample of a state less the mean of the idle samples of the same size, over the
// changes that one window held. Values are rates; seconds is the length of a window.
func Marginal(busy, idle []Sample, seconds, changes float64) []Sample {
	base := lo.MapValues(lo.GroupBy(idle, func(s Sample) Size { return s.Size }), func(group []Sample, _ Size) float64 {
		return lo.MeanBy(group, func(s Sample) float64 { return s.Value })
	})
	return lo.FilterMap(busy, func(s Sample, _ int) (Sample, bool) {
		rest, known := base[s.Size]
		s.Value = (s.Value - rest) * seconds / changes
		return s, known
	})
}
