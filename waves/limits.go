package waves

import (
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// limits counts hosts against the limits of the maintenance section. Racks and data centres count every host that is
// out of service, whatever the cause; max_parallel counts those in maintenance.
type limits struct {
	settings    *pb.Maintenance
	places      map[string]rack
	out         map[string]bool
	racks       map[rack]int
	dataCentres map[string]int
	parallel    int
	// pools counts the hosts in maintenance by pool.
	pools map[string]int
}

type rack struct {
	dataCentre string
	name       string
}

func newLimits(in Input) *limits {
	l := &limits{
		settings:    in.Config.GetMaintenance(),
		places:      make(map[string]rack, len(in.Config.GetHosts())),
		out:         map[string]bool{},
		racks:       map[rack]int{},
		dataCentres: map[string]int{},
		pools:       map[string]int{},
	}
	for _, h := range in.Config.GetHosts() {
		l.places[h.Name] = rack{dataCentre: h.DataCentre, name: h.Rack}
	}
	for _, h := range in.Fleet.GetHosts() {
		if h.Phase != pb.HostPhase_HOST_PHASE_ACTIVE || in.Failed[h.Host] {
			l.count(h.Host)
		}
		if maintained(h) {
			l.parallel++
			l.pools[h.Pool]++
		}
	}
	return l
}

// maintained says whether a host drains for maintenance or is in it.
func maintained(h *pb.HostState) bool {
	return h.Purpose == pb.HostPurpose_HOST_PURPOSE_MAINTENANCE && h.Phase != pb.HostPhase_HOST_PHASE_DOWN
}

func (l *limits) count(host string) {
	if l.out[host] {
		return
	}
	l.out[host] = true
	at := l.places[host]
	l.racks[at]++
	l.dataCentres[at.dataCentre]++
}

func (l *limits) room() bool {
	return l.parallel < int(l.settings.GetMaxParallel())
}

func (l *limits) rackOut(host string) int {
	return l.racks[l.places[host]]
}

// blocked says why a host may not be taken out of service by the limits of its place, or returns "".
func (l *limits) blocked(host string) string {
	if l.out[host] {
		return ""
	}
	at := l.places[host]
	if n := l.racks[at]; n >= int(l.settings.GetMaxPerRack()) {
		return fmt.Sprintf("%s: %d hosts of rack %s are out of service, which max_per_rack allows at most; mend or remove one",
			host, n, at.name)
	}
	if n := l.dataCentres[at.dataCentre]; n >= int(l.settings.GetMaxPerDataCentre()) {
		return fmt.Sprintf("%s: %d hosts of data centre %s are out of service, which max_per_data_centre allows at most; mend or remove one",
			host, n, at.dataCentre)
	}
	return ""
}

func (l *limits) take(host, pool string) {
	l.parallel++
	l.pools[pool]++
	l.count(host)
}
