package fleet

import (
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// PhaseName is the phase as operators read it, such as draining.
func PhaseName(p pb.HostPhase) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "HOST_PHASE_"))
}
