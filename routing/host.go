package routing

import "time"

const (
	// recentOutcomes is the number of outcomes by which a host is judged.
	recentOutcomes = 16
	// lastOutcomes is the number of outcomes that must all be failures for a host that served well before.
	lastOutcomes = 5
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

// count returns the distinct jobs that failed and that were seen among the last ones, but for those that skip holds for.
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

// serves reports whether the host has served a job other than the given one of late. A share of failures would
// mislead here: hopeless jobs raise it on every host.
func (h *host) serves(except uint64) bool {
	failed, seen := h.count(recentOutcomes, func(digest uint64) bool { return digest == except })
	return seen > failed
}

// share returns the share of failures with one success assumed, so that a new host looks sound.
func share(failed, seen int) float64 {
	return float64(failed) / float64(seen+1)
}
