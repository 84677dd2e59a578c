package stats

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds holds the upper bounds of the buckets in nanoseconds. They double from 0.5 ms to over an hour, with one
// intermediate bound at 1.5 times each. An additional bucket counts longer durations.
var bucketBounds = makeBounds(500*time.Microsecond, 2*time.Hour)

func makeBounds(first, last time.Duration) []int64 {
	var all []int64
	for b := first; b <= last; b *= 2 {
		all = append(all, int64(b), int64(b)+int64(b)/2)
	}
	return all
}

// histogram is a metrics.Histogram of nanoseconds with a fixed set of buckets. Its memory use is constant, and the counts
// of several histograms can be added. Percentiles are interpolated within a bucket. It is safe for concurrent use, but a
// reader may see a value in only some of the counts, sum and extremes.
type histogram struct {
	counts   []atomic.Int64 // one more than bucketBounds
	sum      atomic.Int64
	max, min atomic.Int64
}

var _ metrics.Histogram = (*histogram)(nil)

func newHistogram() *histogram {
	h := &histogram{counts: make([]atomic.Int64, len(bucketBounds)+1)}
	h.min.Store(math.MaxInt64)
	return h
}

// Update adds one value. A negative value counts as 0.
func (h *histogram) Update(value int64) {
	value = max(value, 0)
	index, _ := slices.BinarySearch(bucketBounds, value)
	h.counts[index].Add(1)
	h.sum.Add(value)
	storeMax(&h.max, value)
	storeMin(&h.min, value)
}

func storeMax(a *atomic.Int64, value int64) {
	for old := a.Load(); old < value && !a.CompareAndSwap(old, value); old = a.Load() {
	}
}

func storeMin(a *atomic.Int64, value int64) {
	for old := a.Load(); old > value && !a.CompareAndSwap(old, value); old = a.Load() {
	}
}

// add adds the values of other.
func (h *histogram) add(other *histogram) {
	for i := range other.counts {
		h.counts[i].Add(other.counts[i].Load())
	}
	h.sum.Add(other.sum.Load())
	storeMax(&h.max, other.max.Load())
	storeMin(&h.min, other.min.Load())
}

// Clear removes all values.
func (h *histogram) Clear() {
	for i := range h.counts {
		h.counts[i].Store(0)
	}
	h.sum.Store(0)
	h.max.Store(0)
	h.min.Store(math.MaxInt64)
}

// Count returns the number of values.
func (h *histogram) Count() int64 {
	var count int64
	for i := range h.counts {
		count += h.counts[i].Load()
	}
	return count
}

// Max returns the largest value, or 0 if there is none.
func (h *histogram) Max() int64 { return h.max.Load() }

// Min returns the smallest value, or 0 if there is none.
func (h *histogram) Min() int64 { return min(h.min.Load(), h.max.Load()) }

// Sum returns the sum of all values.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// Mean returns the mean of all values, or 0 if there is none.
func (h *histogram) Mean() float64 {
	count := h.Count()
	if count == 0 {
		return 0
	}
	return float64(h.Sum()) / float64(count)
}

// Percentile estimates the p-quantile of the values; p ranges from 0 to 1.
func (h *histogram) Percentile(p float64) float64 {
	rank := p * float64(h.Count())
	var below float64
	for i := range h.counts {
		count := float64(h.counts[i].Load())
		if count > 0 && below+count >= rank {
			return h.interpolate(i, (rank-below)/count)
		}
		below += count
	}
	return float64(h.Max())
}

// interpolate returns the value at the given fraction of a bucket, clamped to the minimum and maximum.
func (h *histogram) interpolate(bucket int, share float64) float64 {
	low, high := float64(0), float64(h.Max())
	if bucket > 0 {
		low = float64(bucketBounds[bucket-1])
	}
	if bucket < len(bucketBounds) {
		high = float64(bucketBounds[bucket])
	}
	value := low + (high-low)*share
	return min(max(value, float64(h.Min())), float64(h.Max()))
}

// Percentiles returns Percentile for each p.
func (h *histogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Snapshot returns a copy.
func (h *histogram) Snapshot() metrics.Histogram {
	c := newHistogram()
	c.add(h)
	return c
}

// Sample returns an empty sample because individual values are not kept.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Variance estimates the variance from the midpoint of each bucket.
func (h *histogram) Variance() float64 {
	count, mean, squares := h.Count(), h.Mean(), 0.0
	if count == 0 {
		return 0
	}
	for i := range h.counts {
		deviation := h.interpolate(i, 0.5) - mean
		squares += deviation * deviation * float64(h.counts[i].Load())
	}
	return squares / float64(count)
}

// StdDev returns the square root of Variance.
func (h *histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }
