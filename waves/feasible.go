package waves

import (
	"fmt"
	"math"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/zeebo/errs"
)

// Feasible returns an Infeasible error for each service whose budget never allows a host to be maintained, and for
// limits under which not all hosts can be maintained within the period.
func Feasible(cfg *pb.Configuration) error {
	sizes := map[string]int{}
	for _, h := range cfg.GetHosts() {
		sizes[h.Pool]++
	}
	var group errs.Group
	for _, s := range cfg.GetServices() {
		group.Add(feasibleService(s, sizes[s.Pool]))
	}
	group.Add(feasiblePace(cfg))
	return group.Err()
}

func feasibleService(s *pb.Service, hosts int) error {
	needed := fleet.MinInService(s.Availability, hosts)
	if hosts > needed {
		return nil
	}
	if hosts == 0 {
		return Infeasible.New("service %s: pool %s has no hosts; add hosts to it", s.Name, s.Pool)
	}
	remedy := "lower its availability to 0: a pool of one host is out of service during maintenance"
	if hosts > 1 {
		// Rounded down, so that the suggested value does allow one host to be out of service.
		feasible := math.Floor(float64(hosts-1)/float64(hosts)*1000) / 1000
		remedy = fmt.Sprintf("lower its availability to %g", feasible)
	}
	if s.Availability < 1 {
		remedy += fmt.Sprintf(" or give pool %s %d hosts", s.Pool, minPoolSize(s.Availability))
	}
	return Infeasible.New("service %s: availability %g of the %d hosts of pool %s needs %d in service, so %d - %d = 0 can be maintained; %s",
		s.Name, s.Availability, hosts, s.Pool, needed, hosts, needed, remedy)
}

// minPoolSize is the smallest pool in which one host may be out of service at an availability below 1.
func minPoolSize(availability float64) int {
	return int(math.Ceil(1/(1-availability) - 1e-6))
}

func feasiblePace(cfg *pb.Configuration) error {
	m := cfg.GetMaintenance()
	hosts := int64(len(cfg.GetHosts()))
	if m == nil || hosts == 0 || m.MaxParallel <= 0 {
		return nil
	}
	rounds := (hosts + m.MaxParallel - 1) / m.MaxParallel
	needed := time.Duration(rounds) * m.RebootLimit.AsDuration()
	if needed <= m.Period.AsDuration() {
		return nil
	}
	return Infeasible.New("maintenance: %d hosts, %d at a time with %s each, take %s, longer than the period %s; raise max_parallel or the period",
		hosts, m.MaxParallel, m.RebootLimit.AsDuration(), needed, m.Period.AsDuration())
}
