package waves

import (
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// limits counts hosts against the limits of the maintenance section. The limits of racks and data centres count every
// host that is out of service, whatever the cause; max_parallel counts only hosts in maintenance.
type limits struct {
	settings         *pb.Maintenance
	rackByHost       map[string]rack
	outOfService     map[string]bool
	rackCounts       map[rack]int
	dataCentreCounts map[string]int
	inProgress       int
	// poolCounts is the number of hosts in maintenance by pool.
	poolCounts map[string]int
}

type rack struct {
	dataCentre string
	name       string
}

func newLimits(in Input) *limits {
	l := &limits{
		settings:         in.Config.GetMaintenance(),
		rackByHost:       make(map[string]rack, len(in.Config.GetHosts())),
		outOfService:     map[string]bool{},
		rackCounts:       map[rack]int{},
		dataCentreCounts: map[string]int{},
		poolCounts:       map[string]int{},
	}
	for _, h := range in.Config.GetHosts() {
		l.rackByHost[h.Name] = rack{dataCentre: h.DataCentre, name: h.Rack}
	}
	for _, h := range in.Fleet.GetHosts() {
		if h.Phase != pb.HostPhase_HOST_PHASE_ACTIVE || in.Failed[h.Host] {
			l.markOutOfService(h.Host)
		}
		if inMaintenance(h) {
			l.inProgress++
			l.poolCounts[h.Pool]++
		}
	}
	return l
}

// inMaintenance reports whether a host is draining for maintenance or is in maintenance.
func inMaintenance(h *pb.HostState) bool {
	return h.Purpose == pb.HostPurpose_HOST_PURPOSE_MAINTENANCE && h.Phase != pb.HostPhase_HOST_PHASE_DOWN
}

func (l *limits) markOutOfService(host string) {
	if l.outOfService[host] {
		return
	}
	l.outOfService[host] = true
	at := l.rackByHost[host]
	l.rackCounts[at]++
	l.dataCentreCounts[at.dataCentre]++
}

func (l *limits) hasCapacity() bool {
	return l.inProgress < int(l.settings.GetMaxParallel())
}

func (l *limits) rackOutOfService(host string) int {
	return l.rackCounts[l.rackByHost[host]]
}

// blocked returns why the limits of its rack or data centre keep a host in service, or "" if they do not.
func (l *limits) blocked(host string) string {
	if l.outOfService[host] {
		return ""
	}
	at := l.rackByHost[host]
	if n := l.rackCounts[at]; n >= int(l.settings.GetMaxPerRack()) {
		return fmt.Sprintf("%s: %d hosts of rack %s are out of service, the most that max_per_rack allows; repair or remove one",
			host, n, at.name)
	}
	if n := l.dataCentreCounts[at.dataCentre]; n >= int(l.settings.GetMaxPerDataCentre()) {
		return fmt.Sprintf("%s: %d hosts of data centre %s are out of service, the most that max_per_data_centre allows; repair or remove one",
			host, n, at.dataCentre)
	}
	return ""
}

func (l *limits) reserve(host, pool string) {
	l.inProgress++
	l.poolCounts[pool]++
	l.markOutOfService(host)
}
