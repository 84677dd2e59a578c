package stats

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the buckets: doubling from 0.5 ms to over an hour, with one step between.
// Longer times fall into one more bucket.
var bounds = makeBounds(500*time.Microsecond, 2*time.Hour)

func makeBounds(first, last time.Duration) []int64 {
	var all []int64
	for b := first; b <= last; b *= 2 {
		all = append(all, int64(b), int64(b)+int64(b)/2)
	}
	return all
}

// buckets is a metrics.Histogram of nanoseconds that counts every value in a fixed set of buckets: its memory does not
// grow, and counts of several can be added. Percentiles are interpolated inside a bucket. Safe for concurrent use;
// a reader may see a value in some of the figures only.
type buckets struct {
	counts   []atomic.Int64 // one more than bounds
	sum      atomic.Int64
	max, min atomic.Int64
}

var _ metrics.Histogram = (*buckets)(nil)

func newBuckets() *buckets {
	b := &buckets{counts: make([]atomic.Int64, len(bounds)+1)}
	b.min.Store(math.MaxInt64)
	return b
}

// Update counts one value; a negative one counts as 0.
func (b *buckets) Update(value int64) {
	value = max(value, 0)
	index, _ := slices.BinarySearch(bounds, value)
	b.counts[index].Add(1)
	b.sum.Add(value)
	raise(&b.max, value)
	lower(&b.min, value)
}

func raise(a *atomic.Int64, value int64) {
	for old := a.Load(); old < value && !a.CompareAndSwap(old, value); old = a.Load() {
	}
}

func lower(a *atomic.Int64, value int64) {
	for old := a.Load(); old > value && !a.CompareAndSwap(old, value); old = a.Load() {
	}
}

// add counts everything that other counted.
func (b *buckets) add(other *buckets) {
	for i := range other.counts {
		b.counts[i].Add(other.counts[i].Load())
	}
	b.sum.Add(other.sum.Load())
	raise(&b.max, other.max.Load())
	lower(&b.min, other.min.Load())
}

// Clear forgets everything.
func (b *buckets) Clear() {
	for i := range b.counts {
		b.counts[i].Store(0)
	}
	b.sum.Store(0)
	b.max.Store(0)
	b.min.Store(math.MaxInt64)
}

// Count is the number of values.
func (b *buckets) Count() int64 {
	var count int64
	for i := range b.counts {
		count += b.counts[i].Load()
	}
	return count
}

// Max is the largest value; 0 for none.
func (b *buckets) Max() int64 { return b.max.Load() }

// Min is the smallest value; 0 for none.
func (b *buckets) Min() int64 { return min(b.min.Load(), b.max.Load()) }

// Sum is the sum of all values.
func (b *buckets) Sum() int64 { return b.sum.Load() }

// Mean is the mean of all values; 0 for none.
func (b *buckets) Mean() float64 {
	count := b.Count()
	if count == 0 {
		return 0
	}
	return float64(b.Sum()) / float64(count)
}

// Percentile is the value that the share p of all values, from 0 to 1, does not exceed.
func (b *buckets) Percentile(p float64) float64 {
	rank := p * float64(b.Count())
	var below float64
	for i := range b.counts {
		count := float64(b.counts[i].Load())
		if count > 0 && below+count >= rank {
			return b.interpolate(i, (rank-below)/count)
		}
		below += count
	}
	return float64(b.Max())
}

// interpolate is the value at the given share of a bucket, kept between the extremes seen.
func (b *buckets) interpolate(bucket int, share float64) float64 {
	low, high := float64(0), float64(b.Max())
	if bucket > 0 {
		low = float64(bounds[bucket-1])
	}
	if bucket < len(bounds) {
		high = float64(bounds[bucket])
	}
	value := low + (high-low)*share
	return min(max(value, float64(b.Min())), float64(b.Max()))
}

// Percentiles is Percentile for each p.
func (b *buckets) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = b.Percentile(p)
	}
	return values
}

// Snapshot is a copy.
func (b *buckets) Snapshot() metrics.Histogram {
	c := newBuckets()
	c.add(b)
	return c
}

// Sample is empty: single values are not kept.
func (b *buckets) Sample() metrics.Sample { return metrics.NilSample{} }

// Variance is estimated from the middle of each bucket.
func (b *buckets) Variance() float64 {
	count, mean, squares := b.Count(), b.Mean(), 0.0
	if count == 0 {
		return 0
	}
	for i := range b.counts {
		deviation := b.interpolate(i, 0.5) - mean
		squares += deviation * deviation * float64(b.counts[i].Load())
	}
	return squares / float64(count)
}

// StdDev is the square root of Variance.
func (b *buckets) StdDev() float64 { return math.Sqrt(b.Variance()) }
