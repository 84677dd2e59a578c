package fleet

import (
	"math"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// roundingTolerance prevents a product such as 0.55*100 from being rounded up because of a floating-point error.
const roundingTolerance = 1e-9

// Budgets compares the number of hosts in service in each pool with the number that its services need. Hosts that are
// draining, in maintenance, down or failed are out of service. It is not safe for concurrent use.
type Budgets struct {
	pools map[string]*poolBudget
	hosts map[string]hostBudget
}

type poolBudget struct {
	total     int
	inService int
	// service is the pool's service with the highest availability, and availability is the share of hosts that it needs
	// in service.
	service      string
	availability float64
	min          int
}

type hostBudget struct {
	pool      string
	inService bool
}

// NewBudgets returns the budgets of a fleet. The hosts in failed count as out of service even if their phase is active.
func NewBudgets(f *pb.Fleet, cfg *pb.Configuration, failed map[string]bool) *Budgets {
	b := &Budgets{pools: map[string]*poolBudget{}, hosts: make(map[string]hostBudget, len(f.GetHosts()))}
	for _, p := range cfg.GetPools() {
		b.pool(p.Name).min = int(p.MinHosts)
	}
	for _, s := range cfg.GetServices() {
		p := b.pool(s.Pool)
		if s.Availability > p.availability || p.service == "" {
			p.service = s.Name
			p.availability = s.Availability
		}
	}
	for _, h := range f.GetHosts() {
		inService := h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE && !failed[h.Host]
		b.hosts[h.Host] = hostBudget{pool: h.Pool, inService: inService}
		p := b.pool(h.Pool)
		p.total++
		if inService {
			p.inService++
		}
	}
	return b
}

// MinInService is the number of hosts out of total that must stay in service at an availability.
func MinInService(availability float64, total int) int {
	return int(math.Ceil(availability*float64(total) - roundingTolerance))
}

// Headroom is the number of hosts of a pool that may still go out of service. It is negative while the budget is
// exceeded.
func (b *Budgets) Headroom(pool string) int {
	p := b.pool(pool)
	return p.inService - MinInService(p.availability, p.total)
}

// InService is the number of hosts of a pool in service.
func (b *Budgets) InService(pool string) int { return b.pool(pool).inService }

// Total is the number of hosts of a pool in any phase.
func (b *Budgets) Total(pool string) int { return b.pool(pool).total }

// MayDrain returns a BudgetExceeded error if the budget does not allow a host to go out of service temporarily. A host
// that is already out of service may always drain.
func (b *Budgets) MayDrain(host string) error {
	h, ok := b.hosts[host]
	if !ok {
		return unknownHost(host)
	}
	if !h.inService || b.Headroom(h.pool) > 0 {
		return nil
	}
	p := b.pool(h.pool)
	return BudgetExceeded.New("%s: service %s needs %d of the %d hosts of pool %s in service and %d are; "+
		"wait for hosts to return, add hosts, or lower the service's availability",
		host, p.service, MinInService(p.availability, p.total), p.total, h.pool, p.inService)
}

// MayMove returns an error if a host may not move to another pool: it must be allowed to drain, and its pool must keep
// min_hosts in service.
func (b *Budgets) MayMove(host string) error {
	if err := b.MayDrain(host); err != nil {
		return err
	}
	h := b.hosts[host]
	p := b.pool(h.pool)
	remaining := p.inService
	if h.inService {
		remaining--
	}
	if remaining < p.min {
		return BudgetExceeded.New("%s: pool %s must keep %d hosts and would have %d in service; choose a host of another pool or lower min_hosts",
			host, h.pool, p.min, remaining)
	}
	return nil
}

// Take counts a host as out of service.
func (b *Budgets) Take(host string) {
	h, ok := b.hosts[host]
	if !ok || !h.inService {
		return
	}
	h.inService = false
	b.hosts[host] = h
	b.pool(h.pool).inService--
}

// Return counts a host as in service again.
func (b *Budgets) Return(host string) {
	h, ok := b.hosts[host]
	if !ok || h.inService {
		return
	}
	h.inService = true
	b.hosts[host] = h
	b.pool(h.pool).inService++
}

func (b *Budgets) pool(name string) *poolBudget {
	p := b.pools[name]
	if p == nil {
		p = &poolBudget{}
		b.pools[name] = p
	}
	return p
}
