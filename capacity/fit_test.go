package capacity_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/capacity"
)

var terms = []capacity.Term{capacity.Constant, capacity.PerHost, capacity.PerPeer, capacity.PerPeerPool}

// sizes determines all four terms.
var sizes = []capacity.Size{
	{Hosts: 50, EntryHosts: 9, Pools: 5},
	{Hosts: 150, EntryHosts: 9, Pools: 5},
	{Hosts: 500, EntryHosts: 9, Pools: 5},
	{Hosts: 150, EntryHosts: 3, Pools: 5},
	{Hosts: 150, EntryHosts: 18, Pools: 5},
	{Hosts: 150, EntryHosts: 9, Pools: 28},
}

// samplesOf samples a known model at the sizes, with noise of at most the given amount.
func samplesOf(t *rapid.T, slopes []float64, noise float64) []capacity.Sample {
	var samples []capacity.Sample
	for run := 1; run <= 3; run++ {
		for _, size := range sizes {
			deviation := rapid.Float64Range(-noise, noise).Draw(t, "noise")
			value := capacity.Model{Terms: terms, Slopes: slopes}.At(size) + deviation
			samples = append(samples, capacity.Sample{Run: run, Size: size, Value: value})
		}
	}
	return samples
}

func drawSlopes(t *rapid.T) []float64 {
	return rapid.SliceOfN(rapid.Float64Range(0, 10), len(terms), len(terms)).Draw(t, "slopes")
}

// proportional is the baseline: it assumes that the cost is proportional to the number of hosts and extrapolates from the
// first sample.
func proportional(samples []capacity.Sample, size capacity.Size) float64 {
	return samples[0].Value / float64(samples[0].Size.Hosts) * float64(size.Hosts)
}

func TestExactSamplesRecoverModel(t *testing.T) {
	design := capacity.DesignLoad.Size
	baselineErrors := 0
	rapid.Check(t, func(t *rapid.T) {
		slopes := drawSlopes(t)
		samples := samplesOf(t, slopes, 0)
		want := capacity.Model{Terms: terms, Slopes: slopes}.At(design)
		got, err := capacity.EstimateAt(samples, terms, design)
		assert.NilError(t, err)
		tolerance := 1e-6 * (1 + want)
		assert.Assert(t, math.Abs(got.At.Value-want) < tolerance, "got %v, want %v", got.At.Value, want)
		assert.Assert(t, got.At.High-got.At.Low < tolerance)
		if math.Abs(proportional(samples, design)-want) > 0.1*want {
			baselineErrors++
		}
	})
	assert.Assert(t, baselineErrors > 0, "the proportional baseline never deviated from the model")
}

// No nearby model fits noisy samples better, and the range of the single runs contains the estimate.
func TestFitMinimizesSquares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := samplesOf(t, drawSlopes(t), 5)
		estimate, err := capacity.EstimateAt(samples, terms, capacity.DesignLoad.Size)
		assert.NilError(t, err)
		best := squares(samples, estimate.Model.Slopes)
		i := rapid.IntRange(0, len(terms)-1).Draw(t, "slope")
		perturbed := append([]float64{}, estimate.Model.Slopes...)
		perturbed[i] += rapid.Float64Range(-1, 1).Draw(t, "by")
		assert.Assert(t, squares(samples, perturbed) >= best*(1-1e-9))
		assert.Assert(t, estimate.At.Low <= estimate.At.Value && estimate.At.Value <= estimate.At.High)
	})
}

func squares(samples []capacity.Sample, slopes []float64) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += math.Pow(s.Value-capacity.Model{Terms: terms, Slopes: slopes}.At(s.Size), 2)
	}
	return sum
}

func TestTooFewSizesAreRejected(t *testing.T) {
	samples := []capacity.Sample{{Size: sizes[0], Value: 1}, {Size: sizes[1], Value: 2}}
	_, err := capacity.Fit(samples, terms)
	assert.Assert(t, capacity.Underdetermined.Has(err), "%v", err)
}

func TestMarginalIsTheCostOfOneChange(t *testing.T) {
	idle := []capacity.Sample{{Size: sizes[0], Value: 10}, {Size: sizes[0], Value: 12}}
	busy := []capacity.Sample{{Size: sizes[0], Run: 1, Value: 15}, {Size: sizes[1], Run: 1, Value: 15}}
	got := capacity.Marginal(busy, idle, 6, 2)
	assert.Equal(t, len(got), 1, "a size without idle samples must be dropped")
	assert.Equal(t, got[0].Value, 12.0) // (15-11) * 6 s / 2 changes
}

func TestEntryHostsFor(t *testing.T) {
	// 1000 requests of 1 ms per second need one core, or two cores at half utilisation.
	assert.Equal(t, capacity.EntryHostsFor(1000, 1e-3, 1, 0.5, 1), 2)
	// With one of five data centres lost, four fifths of the capacity remain.
	assert.Equal(t, capacity.EntryHostsFor(4000, 1e-3, 1, 1, 5), 5)
	assert.Equal(t, capacity.DesignLoad.Maintained(), 40.0)
	assert.Equal(t, capacity.DailyMean(86400, 3), 3.0)
}

func ExampleFit() {
	samples := []capacity.Sample{
		{Size: capacity.Size{Hosts: 50}, Value: 25},
		{Size: capacity.Size{Hosts: 500}, Value: 70},
	}
	model, _ := capacity.Fit(samples, []capacity.Term{capacity.Constant, capacity.PerHost})
	fmt.Printf("%.0f\n", model.At(capacity.Size{Hosts: 1400}))
	// Output: 160
}
