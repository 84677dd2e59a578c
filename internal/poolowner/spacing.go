package poolowner

import "time"

const (
	// stepSpacingFactor is the least time between the end of a step and the next one, as a multiple of the step's duration.
	stepSpacingFactor = 4
	// maxStepSpacing bounds the delay that the spacing adds to an input.
	maxStepSpacing = 10 * time.Millisecond
)

// stepSpacing spaces the steps of the scheduler by their duration. A step visits every worker: in a large pool, where many
// inputs arrive while one step runs, one for each input would take all of the processor.
type stepSpacing struct {
	// nextAt is the earliest time of the next step.
	nextAt time.Time
}

// record records a step.
func (s *stepSpacing) record(began, ended time.Time) {
	s.nextAt = ended.Add(min(stepSpacingFactor*ended.Sub(began), maxStepSpacing))
}

// untilNext returns the time until the next step may begin; it is not positive if it may begin now.
func (s *stepSpacing) untilNext(now time.Time) time.Duration { return s.nextAt.Sub(now) }
