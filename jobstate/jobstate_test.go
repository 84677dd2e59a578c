package jobstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

func TestStates(t *testing.T) {
	final := map[string]bool{
		"unspecified": false, "queued": false, "running": false, "completed": true, "failed": true, "cancelled": true,
	}
	assert.Equal(t, len(final), len(pb.JobState_name))
	for number := range pb.JobState_name {
		state := pb.JobState(number)
		want, known := final[jobstate.Name(state)]
		assert.Assert(t, known, state)
		assert.Equal(t, jobstate.Final(state), want, state)
	}
}
