package admission

import "time"

const (
	// learnGain is the weight of a new sample once enough have been seen.
	learnGain = 1.0 / 16
	// deviations is how many mean deviations above the mean a run is expected to take at most.
	deviations = 2.0
	// outlierFactor bounds what one sample may change: it counts as at most this many times the mean.
	outlierFactor = 8.0
)

// runTime learns the run time of a service as a moving mean and a moving mean deviation. The declared value is a prior
// that the first samples replace.
type runTime struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

func newRunTime(declared time.Duration) runTime {
	return runTime{mean: declared, deviation: declared / 4}
}

// learn takes in a run. A failed run that was shorter than the mean says nothing of how long the work takes.
func (r *runTime) learn(took time.Duration, ok bool) {
	if !ok && took < r.mean {
		return
	}
	if limit := time.Duration(outlierFactor * float64(r.mean)); took > limit && limit > 0 {
		took = limit
	}
	r.samples++
	gain := max(learnGain, 1/float64(r.samples+1))
	diff := took - r.mean
	r.mean += time.Duration(gain * float64(diff))
	r.deviation += time.Duration(gain * float64(diff.Abs()-r.deviation))
}

// bound is the time within which most runs end.
func (r *runTime) bound() time.Duration {
	return r.mean + time.Duration(deviations*float64(r.deviation))
}
