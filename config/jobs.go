package config

import (
	"fmt"
	"net/netip"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// CheckJobSettings reports all problems of the settings of one process that serves jobs in an error of class
// settings.Invalid.
func CheckJobSettings(s *pb.JobSettings) error {
	c := &checker{}
	if err := settings.Validate(s); err != nil {
		c.problems = append(c.problems, settings.ProblemsOf(err)...)
	}
	c.checkJobListeners(s.GetJobHost())
	return settings.InvalidError(c.problems...)
}

func (c *checker) checkJobListeners(h *pb.JobHostSettings) {
	if _, err := netip.ParseAddr(h.GetIp()); err != nil {
		c.report("job_host", "", "ip", fmt.Sprintf("found %q", h.GetIp()), "write an IP address, such as 127.0.1.1")
	}
	keys := []string{"caller_address", "ready_address", "operator_address", "peer_address", "metrics_address"}
	seen := map[string]string{}
	addresses := []string{
		h.GetCallerAddress(), h.GetReadyAddress(), h.GetOperatorAddress(), h.GetPeerAddress(), h.GetMetricsAddress(),
	}
	for i, address := range addresses {
		if other, taken := seen[address]; taken && address != "" {
			c.report("job_host", "", keys[i], fmt.Sprintf("address %s is also that of %s", address, other),
				"give each listener its own port")
		}
		seen[address] = keys[i]
	}
}
