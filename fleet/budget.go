package fleet

import (
	"math"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// roundingSlack keeps a product such as 0.55*100 from being rounded up for its last bit.
const roundingSlack = 1e-9

// Budgets counts the hosts that are in service in each pool against what its services need. Draining, maintained, down
// and failed hosts are out of service alike. It is not safe for concurrent use.
type Budgets struct {
	pools map[string]*poolBudget
	hosts map[string]hostBudget
}

type poolBudget struct {
	total     int
	inService int
	// service is the one that needs the largest share, and share that share.
	service string
	share   float64
	min     int
}

type hostBudget struct {
	pool      string
	inService bool
}

// NewBudgets counts a fleet. Failed hosts are those that are active in the fleet and known not to work.
func NewBudgets(f *pb.Fleet, cfg *pb.Configuration, failed map[string]bool) *Budgets {
	b := &Budgets{pools: map[string]*poolBudget{}, hosts: make(map[string]hostBudget, len(f.GetHosts()))}
	for _, p := range cfg.GetPools() {
		b.pool(p.Name).min = int(p.MinHosts)
	}
	for _, s := range cfg.GetServices() {
		p := b.pool(s.Pool)
		if s.Availability > p.share || p.service == "" {
			p.service = s.Name
			p.share = s.Availability
		}
	}
	for _, h := range f.GetHosts() {
		in := h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE && !failed[h.Host]
		b.hosts[h.Host] = hostBudget{pool: h.Pool, inService: in}
		p := b.pool(h.Pool)
		p.total++
		if in {
			p.inService++
		}
	}
	return b
}

// Needed is the number of hosts that must stay in service among total ones at a share.
func Needed(share float64, total int) int {
	return int(math.Ceil(share*float64(total) - roundingSlack))
}

// Room is how many more hosts of a pool may go out of service. It is negative while the budget is broken.
func (b *Budgets) Room(pool string) int {
	p := b.pool(pool)
	return p.inService - Needed(p.share, p.total)
}

// InService is the number of hosts of a pool in service.
func (b *Budgets) InService(pool string) int { return b.pool(pool).inService }

// Total is the number of hosts of a pool in any phase.
func (b *Budgets) Total(pool string) int { return b.pool(pool).total }

// MayDrain says whether a host may go out of service for a while. A host that is out of service already may: its drain
// takes nothing away.
func (b *Budgets) MayDrain(host string) error {
	h, ok := b.hosts[host]
	if !ok {
		return unknownHost(host)
	}
	if !h.inService || b.Room(h.pool) > 0 {
		return nil
	}
	p := b.pool(h.pool)
	return BudgetExceeded.New("%s: service %s needs %d of the %d hosts of pool %s in service and %d are; "+
		"wait for hosts to return, add hosts, or lower the service's availability",
		host, p.service, Needed(p.share, p.total), p.total, h.pool, p.inService)
}

// MayMove says whether a host may leave its pool for another: it may drain, and the pool keeps min_hosts.
func (b *Budgets) MayMove(host string) error {
	if err := b.MayDrain(host); err != nil {
		return err
	}
	h := b.hosts[host]
	p := b.pool(h.pool)
	left := p.inService
	if h.inService {
		left--
	}
	if left < p.min {
		return BudgetExceeded.New("%s: pool %s must keep %d hosts and would have %d in service; choose a host of another pool or lower min_hosts",
			host, h.pool, p.min, left)
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
