package carry

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against an end that is never acknowledged: a carrier of an earlier version, which does not tell with which acknowledgement it has
// sent a hold, may have sent it without, and then it must be repeated.
func TestCarrierThatDoesNotTellTheAcknowledgementHasNotCertainlySentIt(t *testing.T) {
	report := scheduler.Report{Worker: "w1", LastSeen: 5}
	fillReport(&report, &pb.CarriedResult{Clock: 9, Report: &pb.CarriedReport{Born: 5}})
	assert.Assert(t, report.LastSeen != 5, "counts as sent and answered")
}
