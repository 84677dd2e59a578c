// Package jobstate tells about the states that a job can have. Its functions are pure.
package jobstate

import (
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Final tells whether a job in this state has ended; its state never changes again.
func Final(state pb.JobState) bool {
	switch state {
	case pb.JobState_JOB_STATE_COMPLETED, pb.JobState_JOB_STATE_FAILED, pb.JobState_JOB_STATE_CANCELLED:
		return true
	default:
		return false
	}
}

// Name is the state as operators read it, such as "running".
func Name(state pb.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}
