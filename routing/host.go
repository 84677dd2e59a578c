package routing

import "time"

const (
	// recentOutcomes is the number of outcomes by which a host is judged.
	recentOutcomes = 32
	// failingJobs is the number of distinct jobs that have failed on a failing host.
	failingJobs = 3
	// failingShare is the share of distinct jobs that have failed on a failing host.
	failingShare = 0.5
	// outlierMargin is by how much that share exceeds the other hosts' on a failing host.
	outlierMargin = 0.3
)

// outcome is the last thing that a job did on a host.
type outcome struct {
	digest uint64
	failed bool
}

// host is what is known of one host.
type host struct {
	name     string
	outcomes []outcome // one for each distinct job, oldest first
	// share is the share of failures among them when the last one came.
	share float64
	// State of the ejection.
	ejected   bool
	probing   bool
	probeAt   time.Time
	probeWait time.Duration
}

// note records a job's outcome in place of its earlier one.
func (h *host) note(digest uint64, failed bool) {
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

// count returns the distinct jobs that failed and that were seen, but for those that skip holds for.
func (h *host) count(skip func(digest uint64) bool) (failed, seen int) {
	for _, o := range h.outcomes {
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

// sound reports whether the host serves jobs other than the given one, and most of them well.
func (h *host) sound(except uint64) bool {
	failed, seen := h.count(func(digest uint64) bool { return digest == except })
	return seen > 0 && float64(failed) < failingShare*float64(seen)
}

// share returns the share of failures with one success assumed, so that a new host looks sound.
func share(failed, seen int) float64 {
	return float64(failed) / float64(seen+1)
}
