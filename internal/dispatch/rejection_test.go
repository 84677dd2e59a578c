package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/admission"
	"github.com/agateturn/agateturn/internal/refusalcode"
)

// A request with a service or team that the queue does not know yet must be retryable: its configuration is being applied.
func TestUnknownServiceOrTeamIsRetryable(t *testing.T) {
	for _, reason := range []admission.Reason{admission.ReasonUnknownService, admission.ReasonUnknownTeam} {
		r := rejectionOf(reason, 0)
		assert.Assert(t, r.RetryAfter > 0, "%s", reason)
		assert.Equal(t, r.Code, refusalcode.Unready)
	}
}
