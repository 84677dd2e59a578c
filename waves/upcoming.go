package waves

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/samber/lo"
)

// Upcoming returns the hosts that running waves may drain within the setting maintenance.session_notice, sorted. Long
// sessions should not be placed on them. It selects first the hosts that Step would start now, then the next ones in
// Step's order, and assumes that max_parallel hosts start at a time and take reboot_limit each.
func Upcoming(now time.Time, in Input) []string {
	maxHosts := maxUpcoming(in.Config.GetMaintenance())
	s := newStepper(now, in)
	var out, candidates []string
	for _, w := range in.Fleet.GetWaves() {
		if w.Phase != pb.WavePhase_WAVE_PHASE_RUNNING {
			continue
		}
		starts, _ := s.selectStarts(w)
		for _, a := range starts {
			out = append(out, a.Host)
		}
		candidates = append(candidates, s.startable(w.Pending)...)
	}
	candidates = lo.Without(candidates, out...)
	for len(out) < maxHosts && len(candidates) > 0 {
		best := s.pick(candidates)
		out = append(out, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	out = out[:min(len(out), maxHosts)]
	slices.Sort(out)
	return out
}

// maxUpcoming is the number of hosts that may start within the setting maintenance.session_notice.
func maxUpcoming(m *pb.Maintenance) int {
	notice := m.GetSessionNotice().AsDuration()
	if notice <= 0 {
		return 0
	}
	rounds := 1
	if limit := m.GetRebootLimit().AsDuration(); limit > 0 {
		rounds += int(notice / limit)
	}
	return rounds * int(m.GetMaxParallel())
}
