package callers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/events"
)

func TestThrottleLetsEachEventThroughOnce(t *testing.T) {
	var quiet throttle
	now := time.Unix(1000, 0)
	assert.Assert(t, quiet.allow(events.QueueFull, now))
	assert.Assert(t, !quiet.allow(events.QueueFull, now.Add(repeatGap-1)))
	assert.Assert(t, quiet.allow(events.KeysFull, now))
	assert.Assert(t, quiet.allow(events.QueueFull, now.Add(repeatGap)))
}
