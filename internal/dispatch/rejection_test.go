package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/admission"
	"github.com/agateturn/agateturn/internal/refusalcode"
)

// A caller's service and team are in the configuration in force; the queue is about to learn them.
func TestUnknownInTheQueueIsWorthAnotherTry(t *testing.T) {
	for _, reason := range []admission.Reason{admission.ReasonUnknownService, admission.ReasonUnknownTeam} {
		r := rejectionOf(reason, 0)
		assert.Assert(t, r.RetryAfter > 0, "%s", reason)
		assert.Equal(t, r.Code, refusalcode.Unready)
	}
}
