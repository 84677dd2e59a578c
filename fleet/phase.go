package fleet

import (
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// PhaseName returns the phase as it is shown to operators, such as draining.
func PhaseName(p pb.HostPhase) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "HOST_PHASE_"))
}
