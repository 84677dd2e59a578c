package poolowner

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOlderListsAreNotTaken(t *testing.T) {
	l := listOrder{fence: 7}
	assert.Assert(t, !l.take(6, 9), "an owner of the fleet before the one whose intents were read")
	assert.Assert(t, l.take(7, 2))
	assert.Assert(t, l.take(7, 3))
	assert.Assert(t, !l.take(7, 2), "a request that was delayed")
	assert.Assert(t, l.take(8, 1))
	assert.Assert(t, !l.take(7, 4))
}
