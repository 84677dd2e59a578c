// Package config decides whether a configuration may be applied, and how it comes into force on every entry host.
//
// Check and CheckSettings find every problem of a configuration at once. Diff tells two configurations apart in
// operators' words. Stager is a member's part, and Proposal the proposer's part, of the acceptance of a
// configuration: staged on every member, swapped into the store, then in force. Nothing in this package does I/O,
// reads a clock or is safe for concurrent use.
package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// roundingSlack keeps a share such as 0.7 of 10 hosts from being rounded up to 8.
const roundingSlack = 1e-9

// Check reports every problem of a configuration in an error of class settings.Invalid.
func Check(cfg *pb.Configuration) error {
	c := &checker{cfg: cfg}
	if err := settings.Validate(cfg); err != nil {
		c.problems = append(c.problems, settings.ProblemsOf(err)...)
	}
	c.checkNames()
	c.checkDeployment()
	c.checkHosts()
	c.checkRacks()
	c.checkPools()
	c.checkServices()
	c.checkTeams()
	c.checkWeights()
	c.checkPace()
	return settings.Refuse(c.problems...)
}

// AllowedOut is how many of a pool's hosts may be out of service at once under an availability.
func AllowedOut(hosts int, availability float64) int {
	return hosts - RequiredIn(hosts, availability)
}

// RequiredIn is how many of a pool's hosts must stay in service under an availability.
func RequiredIn(hosts int, availability float64) int {
	return int(math.Ceil(availability*float64(hosts) - roundingSlack))
}

type checker struct {
	cfg      *pb.Configuration
	problems []settings.Problem
}

func (c *checker) report(section, name, key, found, remedy string) {
	heading := section
	if name != "" {
		heading = fmt.Sprintf("%s %q", section, name)
	}
	c.problems = append(c.problems, settings.Problem{Section: heading, Key: key, Found: found, Remedy: remedy})
}

type named interface{ GetName() string }

func namesOf[T named](items []T) []string {
	return lo.Map(items, func(item T, _ int) string { return item.GetName() })
}

func (c *checker) checkNames() {
	c.checkUnique("data_centre", namesOf(c.cfg.GetDataCentres()))
	c.checkUnique("pool", namesOf(c.cfg.GetPools()))
	c.checkUnique("service", namesOf(c.cfg.GetServices()))
	c.checkUnique("team", namesOf(c.cfg.GetTeams()))
	c.checkUnique("host", namesOf(c.cfg.GetHosts()))
}

func (c *checker) checkUnique(section string, names []string) {
	for _, name := range lo.FindDuplicates(names) {
		c.report(section, name, "", "duplicate name", "keep one, or give the other another name")
	}
}

// checkReference reports a name that is none of the known ones.
func (c *checker) checkReference(section, name, key, target string, known []string) {
	if !slices.Contains(known, target) {
		c.report(section, name, key, fmt.Sprintf("unknown name %q", target), settings.Suggest(target, known))
	}
}

func (c *checker) checkDeployment() {
	c.checkReference("deployment", "", "spare_pool", c.cfg.GetDeployment().GetSparePool(), namesOf(c.cfg.GetPools()))
}

func (c *checker) checkHosts() {
	addresses := map[string]string{}
	for _, host := range c.cfg.GetHosts() {
		c.checkReference("host", host.GetName(), "data_centre", host.GetDataCentre(), namesOf(c.cfg.GetDataCentres()))
		c.checkReference("host", host.GetName(), "pool", host.GetPool(), namesOf(c.cfg.GetPools()))
		if other, taken := addresses[host.GetAddress()]; taken {
			c.report("host", host.GetName(), "address",
				fmt.Sprintf("address %s is also that of host %s", host.GetAddress(), other), "give each host its own address")
		}
		addresses[host.GetAddress()] = host.GetName()
		if host.GetConnections() < host.GetSlots() {
			c.report("host", host.GetName(), "connections",
				fmt.Sprintf("%d connections cannot carry %d slots", host.GetConnections(), host.GetSlots()),
				"raise connections, or lower slots")
		}
	}
}

// checkRacks refuses one rack in two data centres, since a rack is a failure domain inside one.
func (c *checker) checkRacks() {
	places := map[string]string{}
	for _, host := range c.cfg.GetHosts() {
		place, known := places[host.GetRack()]
		if known && place != host.GetDataCentre() {
			c.report("host", host.GetName(), "rack",
				fmt.Sprintf("rack %s is also in data centre %s", host.GetRack(), place), "give each rack its own name")
		}
		if !known {
			places[host.GetRack()] = host.GetDataCentre()
		}
	}
}

func (c *checker) hostsOf(pool string) int {
	return lo.CountBy(c.cfg.GetHosts(), func(h *pb.Host) bool { return h.GetPool() == pool })
}

func (c *checker) checkPools() {
	if len(c.cfg.GetPools()) == 0 {
		c.report("pool", "", "", "no pool", `add [pool "NAME"]`)
	}
	for _, pool := range c.cfg.GetPools() {
		hosts := c.hostsOf(pool.GetName())
		if hosts == 0 {
			c.report("pool", pool.GetName(), "", "no host starts in the pool", "give it hosts, or remove it")
			continue
		}
		if int64(hosts) < pool.GetMinHosts() {
			c.report("pool", pool.GetName(), "min_hosts",
				fmt.Sprintf("the pool keeps %d hosts and starts with %d", pool.GetMinHosts(), hosts),
				fmt.Sprintf("lower min_hosts to at most %d, or add hosts", hosts))
		}
	}
}

func (c *checker) checkServices() {
	for _, service := range c.cfg.GetServices() {
		c.checkReference("service", service.GetName(), "pool", service.GetPool(), namesOf(c.cfg.GetPools()))
		c.checkAvailability(service)
		if service.GetRunTime().AsDuration() > service.GetDeadline().AsDuration() {
			c.report("service", service.GetName(), "deadline",
				fmt.Sprintf("deadline %s is shorter than run_time %s", service.GetDeadline().AsDuration(),
					service.GetRunTime().AsDuration()), "lengthen deadline, or correct run_time")
		}
	}
}

// checkAvailability refuses a budget that no host can be maintained within.
func (c *checker) checkAvailability(service *pb.Service) {
	hosts := c.hostsOf(service.GetPool())
	availability := service.GetAvailability()
	if hosts == 0 || AllowedOut(hosts, availability) >= 1 {
		return
	}
	found := fmt.Sprintf("%.4g of the %d hosts of pool %s is %.4g, so %d must stay in service and none is left for maintenance",
		availability, hosts, service.GetPool(), availability*float64(hosts), RequiredIn(hosts, availability))
	c.report("service", service.GetName(), "availability", found, budgetRemedy(hosts, availability))
}

// budgetRemedy says which availability, or which size of the pool, leaves one host for maintenance.
func budgetRemedy(hosts int, availability float64) string {
	if hosts == 1 {
		return "give the pool two hosts or more, or set availability to 0"
	}
	const digits = 1000 // three digits, rounded down
	most := math.Floor(float64(hosts-1)/float64(hosts)*digits) / digits
	remedy := fmt.Sprintf("lower availability to at most %g", most)
	if availability < 1 {
		remedy += fmt.Sprintf(", or give the pool %.0f hosts or more", math.Ceil(1/(1-availability)-roundingSlack))
	}
	return remedy
}

func (c *checker) checkTeams() {
	total := lo.SumBy(c.cfg.GetHosts(), func(h *pb.Host) int64 { return h.GetSlots() })
	for _, team := range c.cfg.GetTeams() {
		if team.GetQuota() > total {
			c.report("team", team.GetName(), "quota",
				fmt.Sprintf("quota of %d slots is more than the %d slots of all hosts", team.GetQuota(), total),
				fmt.Sprintf("lower quota to at most %d", total))
		}
	}
}

func (c *checker) checkWeights() {
	w := c.cfg.GetWeights()
	if w.GetMoves()+w.GetRollOut()+w.GetBuffer() <= 0 {
		c.report("weights", "", "", "every weight is 0", "give at least one measure a weight above 0")
	}
}

// checkPace refuses maintenance limits under which not every host gets its turn within the period, even if each
// took no longer than reboot_limit.
func (c *checker) checkPace() {
	m := c.cfg.GetMaintenance()
	c.checkDomainPace("max_parallel", m.GetMaxParallel(), "the deployment", len(c.cfg.GetHosts()))
	racks := lo.CountValuesBy(c.cfg.GetHosts(), (*pb.Host).GetRack)
	centres := lo.CountValuesBy(c.cfg.GetHosts(), (*pb.Host).GetDataCentre)
	c.checkLargestDomain("max_per_rack", m.GetMaxPerRack(), "rack", racks)
	c.checkLargestDomain("max_per_data_centre", m.GetMaxPerDataCentre(), "data centre", centres)
}

func (c *checker) checkLargestDomain(key string, limit int64, kind string, sizes map[string]int) {
	names := lo.Keys(sizes)
	slices.Sort(names)
	if len(names) == 0 {
		return
	}
	largest := lo.MaxBy(names, func(a, b string) bool { return sizes[a] > sizes[b] })
	c.checkDomainPace(key, limit, kind+" "+largest, sizes[largest])
}

func (c *checker) checkDomainPace(key string, limit int64, domain string, hosts int) {
	m := c.cfg.GetMaintenance()
	period, each := m.GetPeriod().AsDuration(), m.GetRebootLimit().AsDuration()
	if limit < 1 || hosts == 0 || period <= 0 {
		return
	}
	rounds := (int64(hosts) + limit - 1) / limit
	if float64(rounds)*each.Seconds() <= period.Seconds() {
		return
	}
	found := fmt.Sprintf("%d hosts of %s, %d at once, %s each take %.4g h of a period of %.4g h",
		hosts, domain, limit, each, float64(rounds)*each.Hours(), period.Hours())
	c.report("maintenance", "", key, found, "raise "+key+", lengthen period, or shorten reboot_limit")
}

// minLeaseDecisions is how many decisions fit into a controller's lease, so that one late decision does not lose it.
const minLeaseDecisions = 3

// CheckSettings reports every problem of one process's settings in an error of class settings.Invalid.
func CheckSettings(s *pb.Settings) error {
	c := &checker{}
	if err := settings.Validate(s); err != nil {
		c.problems = append(c.problems, settings.ProblemsOf(err)...)
	}
	c.checkListeners(s.GetEntryHost())
	c.checkUniquePeers(s.GetEntryHost().GetPeers())
	c.checkLease(s.GetTiming())
	return settings.Refuse(c.problems...)
}

func (c *checker) checkListeners(e *pb.EntryHostSettings) {
	keys := []string{"caller_address", "operator_address", "peer_address"}
	seen := map[string]string{}
	for i, address := range []string{e.GetCallerAddress(), e.GetOperatorAddress(), e.GetPeerAddress()} {
		if other, taken := seen[address]; taken && address != "" {
			c.report("entry_host", "", keys[i], fmt.Sprintf("address %s is also that of %s", address, other),
				"give each listener its own port")
		}
		seen[address] = keys[i]
	}
}

func (c *checker) checkUniquePeers(peers []string) {
	for _, address := range lo.FindDuplicates(peers) {
		c.report("entry_host", "", "peers", fmt.Sprintf("address %s stands twice", address), "keep one")
	}
}

func (c *checker) checkLease(t *pb.TimingSettings) {
	lease, decision := t.GetControllerLease().AsDuration(), t.GetDecision().AsDuration()
	if shortest := minLeaseDecisions * decision; lease < shortest {
		c.report("timing", "", "controller_lease", fmt.Sprintf("lease %s is shorter than %d decisions of %s", lease,
			minLeaseDecisions, decision), "lengthen it to at least "+shortest.Round(time.Millisecond).String())
	}
}
