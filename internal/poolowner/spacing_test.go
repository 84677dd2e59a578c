package poolowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: hundreds of workers report the ends of short tasks, thousands a second. The steps take a fifth of the time at
// most, whatever one takes, and no input waits longer than the bound for its step.
func TestStepsOfALargePoolLeaveTimeForCalls(t *testing.T) {
	const (
		inputInterval = 200 * time.Microsecond
		duration      = 10 * time.Second
	)
	for _, took := range []time.Duration{0, 50 * time.Microsecond, 500 * time.Microsecond, 2 * time.Millisecond} {
		start := time.Unix(0, 0)
		now := start
		var spacing stepSpacing
		var steps int
		var inSteps, longestWait time.Duration
		waitingSince := now
		for now.Sub(start) < duration {
			if wait := spacing.untilNext(now); wait > 0 {
				now = now.Add(min(wait, inputInterval))
				continue
			}
			longestWait = max(longestWait, now.Sub(waitingSince))
			ended := now.Add(took)
			spacing.record(now, ended)
			steps++
			inSteps += took
			waitingSince = ended
			now = ended.Add(inputInterval)
		}
		assert.Assert(t, inSteps <= duration/5+took, "steps of %v took %v", took, inSteps)
		assert.Assert(t, longestWait <= maxStepSpacing+inputInterval, "an input waited %v", longestWait)
		if took == 0 {
			assert.Equal(t, steps, int(duration/inputInterval))
		}
	}
}
