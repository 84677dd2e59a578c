package admission

import (
	"math"
	"time"
)

const (
	// learnGain is the weight of a new sample in the mean once enough have been seen.
	learnGain = 1.0 / 16
	// outlierFactor bounds what one sample may change the mean by: it counts as at most this many times the mean.
	outlierFactor = 8.0
	// boundQuantile is the part of the runs that end within the bound.
	boundQuantile = 0.9
	// bucketRatio is the ratio of two neighbouring buckets of run times, firstBucket the upper end of the first, and
	// bucketCount what reaches beyond a day.
	bucketRatio = 1.2
	firstBucket = time.Millisecond
	bucketCount = 102
	// sampleGrowth is how much more each sample weighs than the one before: about the last 50 count.
	sampleGrowth = 1.02
	// priorWeight is the number of samples that the declared run time counts as.
	priorWeight = 2.0
	// maxTotal is the sum of weights at which they are scaled down.
	maxTotal = 1e12
)

// runTime learns the run time of a service: a moving mean, and a histogram in which older runs fade, so that a few long
// runs don't stretch the bound. The declared value is a prior that the first runs replace.
type runTime struct {
	mean    time.Duration
	samples int
	weights [bucketCount]float64
	total   float64
	// next is the weight of the next sample.
	next  float64
	limit time.Duration
}

func newRunTime(declared time.Duration) runTime {
	r := runTime{mean: declared, next: 1}
	r.weights[bucketOf(declared)] = priorWeight
	r.total = priorWeight
	r.limit = r.quantile()
	return r
}

// learn takes in a run. A failed run that was shorter than the mean says nothing of how long the work takes.
func (r *runTime) learn(took time.Duration, ok bool) {
	if !ok && took < r.mean {
		return
	}
	r.weights[bucketOf(took)] += r.next
	r.total += r.next
	r.next *= sampleGrowth
	if r.total > maxTotal {
		r.scaleDown()
	}
	r.limit = r.quantile()
	if most := time.Duration(outlierFactor * float64(r.mean)); took > most && most > 0 {
		took = most
	}
	r.samples++
	gain := max(learnGain, 1/float64(r.samples+1))
	r.mean += time.Duration(gain * float64(took-r.mean))
}

// bound is the time within which most runs end.
func (r *runTime) bound() time.Duration { return r.limit }

// scaleDown keeps the weights within the range of a float.
func (r *runTime) scaleDown() {
	for i := range r.weights {
		r.weights[i] /= r.next
	}
	r.total /= r.next
	r.next = 1
}

// quantile returns the upper end of the bucket that holds the quantile.
func (r *runTime) quantile() time.Duration {
	rest := r.total * boundQuantile
	for i, w := range r.weights {
		rest -= w
		if rest <= 0 {
			return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
		}
	}
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, bucketCount-1))
}

// bucketOf returns the bucket of a run time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(int(i), bucketCount-1)
}
