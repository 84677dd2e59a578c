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

// sizes spans all four terms.
var sizes = []capacity.Size{
	{Hosts: 50, EntryHosts: 9, Pools: 5},
	{Hosts: 150, EntryHosts: 9, Pools: 5},
	{Hosts: 500, EntryHosts: 9, Pools: 5},
	{Hosts: 150, EntryHosts: 3, Pools: 5},
	{Hosts: 150, EntryHosts: 18, Pools: 5},
	{Hosts: 150, EntryHosts: 9, Pools: 28},
}

// samplesOf measures a known model at the sizes, with noise of at most the given amount.
func samplesOf(t *rapid.T, slopes []float64, noise float64) []capacity.Sample {
	var samples []capacity.Sample
	for run := 1; run <= 3; run++ {
		for _, size := range sizes {
			off := rapid.Float64Range(-noise, noise).Draw(t, "noise")
			value := capacity.Model{Terms: terms, Slopes: slopes}.At(size) + off
			samples = append(samples, capacity.Sample{Run: run, Size: size, Value: value})
		}
	}
	return samples
}

func drawSlopes(t *rapid.T) []float64 {
	return rapid.SliceOfN(rapid.Float64Range(0, 10), len(terms), len(terms)).Draw(t, "slopes")
}

// naive takes the cost for proportional to the hosts, as seen at the first size.
func naive(samples []capacity.Sample, size capacity.Size) float64 {
	return samples[0].Value / float64(samples[0].Size.Hosts) * float64(size.Hosts)
}

func TestExactSamplesGiveTheirModelBack(t *testing.T) {
	design := capacity.DesignLoad.Size
	naiveWrong := 0
	rapid.Check(t, func(t *rapid.T) {
		slopes := drawSlopes(t)
		samples := samplesOf(t, slopes, 0)
		want := capacity.Model{Terms: terms, Slopes: slopes}.At(design)
		got, err := capacity.EstimateAt(samples, terms, design)
		assert.NilError(t, err)
		tolerance := 1e-6 * (1 + want)
		assert.Assert(t, math.Abs(got.At.Value-want) < tolerance, "got %v, want %v", got.At.Value, want)
		assert.Assert(t, got.At.High-got.At.Low < tolerance)
		if math.Abs(naive(samples, design)-want) > 0.1*want {
			naiveWrong++
		}
	})
	assert.Assert(t, naiveWrong > 0, "the naive version would have done")
}

// No model nearby may fit noisy samples better, and the spread must hold the estimate.
func TestFitIsTheLeastSquares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := samplesOf(t, drawSlopes(t), 5)
		estimate, err := capacity.EstimateAt(samples, terms, capacity.DesignLoad.Size)
		assert.NilError(t, err)
		best := squares(samples, estimate.Model.Slopes)
		i := rapid.IntRange(0, len(terms)-1).Draw(t, "slope")
		moved := append([]float64{}, estimate.Model.Slopes...)
		moved[i] += rapid.Float64Range(-1, 1).Draw(t, "by")
		assert.Assert(t, squares(samples, moved) >= best*(1-1e-9))
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

func TestTooFewSizesAreRefused(t *testing.T) {
	samples := []capacity.Sample{{Size: sizes[0], Value: 1}, {Size: sizes[1], Value: 2}}
	_, err := capacity.Fit(samples, terms)
	assert.Assert(t, capacity.TooFew.Has(err), "%v", err)
}

func TestMarginalIsTheCostOfOneChange(t *testing.T) {
	idle := []capacity.Sample{{Size: sizes[0], Value: 10}, {Size: sizes[0], Value: 12}}
	busy := []capacity.Sample{{Size: sizes[0], Run: 1, Value: 15}, {Size: sizes[1], Run: 1, Value: 15}}
	got := capacity.Marginal(busy, idle, 6, 2)
	assert.Equal(t, len(got), 1, "a size without idle samples must be left out")
	assert.Equal(t, got[0].Value, 12.0) // (15-11) * 6 s / 2 changes
}

func TestEntryHostsFor(t *testing.T) {
	// 1000 requests of 1 ms need one core: 2 cores used by half.
	assert.Equal(t, capacity.EntryHostsFor(1000, 1e-3, 1, 0.5, 1), 2)
	// One of five data centres lost leaves four fifths.
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
