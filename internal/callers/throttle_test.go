package callers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/events"
)

func TestThrottleAllowsEachEventOncePerInterval(t *testing.T) {
	var limiter throttle
	now := time.Unix(1000, 0)
	assert.Assert(t, limiter.allow(events.QueueFull, now))
	assert.Assert(t, !limiter.allow(events.QueueFull, now.Add(minRepeatInterval-1)))
	assert.Assert(t, limiter.allow(events.KeysFull, now))
	assert.Assert(t, limiter.allow(events.QueueFull, now.Add(minRepeatInterval)))
}
