package poolowner

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOlderEvacuationsAreRejected(t *testing.T) {
	o := evacuationOrder{fleetFence: 7}
	assert.Assert(t, !o.advance(6, 9), "request of a fleet owner older than the one whose intents were read")
	assert.Assert(t, o.advance(7, 2))
	assert.Assert(t, o.advance(7, 3))
	assert.Assert(t, !o.advance(7, 2), "delayed request")
	assert.Assert(t, o.advance(8, 1))
	assert.Assert(t, !o.advance(7, 4))
}
