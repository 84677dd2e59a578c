package routing

import "time"

const (
	// recentOutcomes is the number of outcomes considered in the health of a host.
	recentOutcomes = 16
	// failureStreak is the number of most recent outcomes that must all be failures for a host to count as failing
	// despite earlier successes.
	failureStreak = 5
	// failingJobs is the least number of distinct jobs that have failed on a failing host.
	failingJobs = 3
	// failingShare is the least share of distinct jobs that have failed on a failing host.
	failingShare = 0.5
	// outlierMargin is the least difference between the failure shares of a failing host and of the other hosts.
	outlierMargin = 0.3
)

// outcome is the last outcome of a job on a host.
type outcome struct {
	digest uint64
	failed bool
}

// host is the observed state of one host.
type host struct {
	name     string
	outcomes []outcome // the last one of each distinct job, oldest first
	// share is the failure share computed when the last outcome was added.
	share float64
	// Ejection state.
	ejected   bool
	probing   bool
	probeAt   time.Time
	probeWait time.Duration
}

// record adds a job's outcome and removes its earlier one.
func (h *host) record(digest uint64, failed bool) {
	for i, o := range h.outcomes {
		if o.digest == digest {
			h.outcomes = append(h.outcomes[:i], h.outcomes[i+1:]...)
			break
		}
	}
	h.outcomes = append(h.outcomes, outcome{digest: digest, failed: failed})
	if len(h.outcomes) > recentOutcomes {
		h.outcomes = h.outcomes[1:]
	}
}

// count returns the numbers of failed and of all distinct jobs among the last ones, without those for which skip
// returns true.
func (h *host) count(last int, skip func(digest uint64) bool) (failed, seen int) {
	for i := len(h.outcomes) - 1; i >= 0 && seen < last; i-- {
		o := h.outcomes[i]
		if skip(o.digest) {
			continue
		}
		seen++
		if o.failed {
			failed++
		}
	}
	return failed, seen
}

// serves reports whether the host has recently served a job other than the given one. The failure share is unsuitable
// here because poison jobs raise it on every host.
func (h *host) serves(except uint64) bool {
	failed, seen := h.count(recentOutcomes, func(digest uint64) bool { return digest == except })
	return seen > failed
}

// share returns the failure share with one additional success, so that a new host counts as healthy.
func share(failed, seen int) float64 {
	return float64(failed) / float64(seen+1)
}
