package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLeavesOtherDraws sets the rate of plans, which changes nothing else.
func TestRateLeavesOtherDraws(t *testing.T) {
	for _, mode := range []Mode{Jobs, Requests, Cuts, Takeovers} {
		chosen := Draw(mode, 3, Sizes{Faults: 12 * time.Second})
		set := Draw(mode, 3, Sizes{Faults: 12 * time.Second, Rate: 28.7})
		assert.Equal(t, set.Rate, 28.7)
		set.Rate = chosen.Rate
		assert.DeepEqual(t, set, chosen)
	}
}
