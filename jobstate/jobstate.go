// Package jobstate classifies and names the states of a job. Its functions are pure.
package jobstate

import (
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Final reports whether a job in this state has ended, so that its state never changes again.
func Final(state pb.JobState) bool {
	switch state {
	case pb.JobState_JOB_STATE_COMPLETED, pb.JobState_JOB_STATE_FAILED, pb.JobState_JOB_STATE_CANCELLED:
		return true
	default:
		return false
	}
}

// Name returns the state as shown to operators, such as "running".
func Name(state pb.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}
