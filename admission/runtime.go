package admission

import (
	"math"
	"time"
)

const (
	// minGain is the weight of a new sample in the mean once enough samples have been seen.
	minGain = 1.0 / 16
	// outlierFactor limits the effect of one sample on the mean: a sample is clamped to this many times the mean.
	outlierFactor = 8.0
	// boundQuantile is the fraction of runs that end within the bound.
	boundQuantile = 0.9
	// bucketRatio is the ratio of the upper ends of adjacent run time buckets, firstBucket is the upper end of the
	// first one, and bucketCount buckets reach beyond one day.
	bucketRatio = 1.2
	firstBucket = time.Millisecond
	bucketCount = 102
	// sampleGrowth is the ratio of the weights of consecutive samples: about the last 50 samples dominate.
	sampleGrowth = 1.02
	// priorWeight is the number of samples that the declared run time counts for.
	priorWeight = 2.0
	// maxTotalWeight is the sum of weights above which all weights are scaled down.
	maxTotalWeight = 1e12
)

// runTime estimates the run time of a service by a moving average and an exponentially decaying histogram, so that a
// few long runs don't raise the bound. The declared value is a prior that the first runs replace.
type runTime struct {
	mean        time.Duration
	samples     int
	weights     [bucketCount]float64
	totalWeight float64
	// nextWeight is the weight of the next sample.
	nextWeight float64
	// cachedBound caches quantile.
	cachedBound time.Duration
}

func newRunTime(declared time.Duration) runTime {
	r := runTime{mean: declared, nextWeight: 1}
	r.weights[bucketOf(declared)] = priorWeight
	r.totalWeight = priorWeight
	r.cachedBound = r.quantile()
	return r
}

// learn records a run. A failed run shorter than the mean is ignored, since it doesn't show how long the work takes.
func (r *runTime) learn(elapsed time.Duration, ok bool) {
	if !ok && elapsed < r.mean {
		return
	}
	r.weights[bucketOf(elapsed)] += r.nextWeight
	r.totalWeight += r.nextWeight
	r.nextWeight *= sampleGrowth
	if r.totalWeight > maxTotalWeight {
		r.scaleDown()
	}
	r.cachedBound = r.quantile()
	if maxSample := time.Duration(outlierFactor * float64(r.mean)); elapsed > maxSample && maxSample > 0 {
		elapsed = maxSample
	}
	r.samples++
	gain := max(minGain, 1/float64(r.samples+1))
	r.mean += time.Duration(gain * float64(elapsed-r.mean))
}

// bound returns the time within which boundQuantile of the runs end.
func (r *runTime) bound() time.Duration { return r.cachedBound }

// scaleDown keeps the weights within the range of float64.
func (r *runTime) scaleDown() {
	for i := range r.weights {
		r.weights[i] /= r.nextWeight
	}
	r.totalWeight /= r.nextWeight
	r.nextWeight = 1
}

// quantile returns the upper end of the bucket that contains boundQuantile.
func (r *runTime) quantile() time.Duration {
	remaining := r.totalWeight * boundQuantile
	for i, w := range r.weights {
		remaining -= w
		if remaining <= 0 {
			return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
		}
	}
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, bucketCount-1))
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(int(i), bucketCount-1)
}
