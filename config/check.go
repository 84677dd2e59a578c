// Package config validates configurations and implements the protocol by which a configuration takes effect on every
// entry host.
//
// Check and CheckSettings report all problems at once. Diff lists the differences between two configurations for
// operators. Stager implements a member's side and Proposal the proposer's side of a change: it is staged on every
// member, swapped into the store, and then in force. Nothing in this package does I/O, reads a clock or is safe for
// concurrent use.
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

// roundingTolerance prevents a share such as 0.7 of 10 hosts from being rounded up to 8.
const roundingTolerance = 1e-9

// Check reports all problems of a configuration in an error of class settings.Invalid.
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
	return settings.InvalidError(c.problems...)
}

// MaxOutOfService is the number of a pool's hosts that may be out of service at the same time under an availability.
func MaxOutOfService(hosts int, availability float64) int {
	return hosts - MinInService(hosts, availability)
}

// MinInService is the number of a pool's hosts that must stay in service under an availability.
func MinInService(hosts int, availability float64) int {
	return int(math.Ceil(availability*float64(hosts) - roundingTolerance))
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

// checkReference reports a name that is not among the known ones.
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

// checkRacks rejects a rack in two data centres, because a rack is a failure domain within one data centre.
func (c *checker) checkRacks() {
	dataCentres := map[string]string{}
	for _, host := range c.cfg.GetHosts() {
		dataCentre, known := dataCentres[host.GetRack()]
		if known && dataCentre != host.GetDataCentre() {
			c.report("host", host.GetName(), "rack",
				fmt.Sprintf("rack %s is also in data centre %s", host.GetRack(), dataCentre), "give each rack its own name")
		}
		if !known {
			dataCentres[host.GetRack()] = host.GetDataCentre()
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
			c.report("pool", pool.GetName(), "", "no host is assigned to the pool", "assign hosts to it, or remove it")
			continue
		}
		if int64(hosts) < pool.GetMinHosts() {
			c.report("pool", pool.GetName(), "min_hosts",
				fmt.Sprintf("the pool must keep %d hosts and has %d", pool.GetMinHosts(), hosts),
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

// checkAvailability rejects a budget that never allows a host to be maintained.
func (c *checker) checkAvailability(service *pb.Service) {
	hosts := c.hostsOf(service.GetPool())
	availability := service.GetAvailability()
	if hosts == 0 || MaxOutOfService(hosts, availability) >= 1 {
		return
	}
	found := fmt.Sprintf("%.4g of the %d hosts of pool %s is %.4g, so %d must stay in service and none is left for maintenance",
		availability, hosts, service.GetPool(), availability*float64(hosts), MinInService(hosts, availability))
	c.report("service", service.GetName(), "availability", found, budgetRemedy(hosts, availability))
}

// budgetRemedy suggests an availability or a pool size that allows one host to be in maintenance.
func budgetRemedy(hosts int, availability float64) string {
	if hosts == 1 {
		return "give the pool two hosts or more, or set availability to 0"
	}
	const scale = 1000 // three digits, rounded down
	maxAvailability := math.Floor(float64(hosts-1)/float64(hosts)*scale) / scale
	remedy := fmt.Sprintf("lower availability to at most %g", maxAvailability)
	if availability < 1 {
		remedy += fmt.Sprintf(", or give the pool %.0f hosts or more", math.Ceil(1/(1-availability)-roundingTolerance))
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

// checkPace rejects maintenance limits under which not every host can be maintained within the period, even if no host
// takes longer than reboot_limit.
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
	period, rebootLimit := m.GetPeriod().AsDuration(), m.GetRebootLimit().AsDuration()
	if limit < 1 || hosts == 0 || period <= 0 {
		return
	}
	rounds := (int64(hosts) + limit - 1) / limit
	if float64(rounds)*rebootLimit.Seconds() <= period.Seconds() {
		return
	}
	found := fmt.Sprintf("%d hosts of %s, %d at once, %s each take %.4g h of a period of %.4g h",
		hosts, domain, limit, rebootLimit, float64(rounds)*rebootLimit.Hours(), period.Hours())
	c.report("maintenance", "", key, found, "raise "+key+", lengthen period, or shorten reboot_limit")
}

// minLeaseDecisions is the number of decision intervals that must fit into a controller's lease, so that one late
// decision does not lose it.
const minLeaseDecisions = 3

// CheckSettings reports all problems of the settings of one process in an error of class settings.Invalid.
func CheckSettings(s *pb.Settings) error {
	c := &checker{}
	if err := settings.Validate(s); err != nil {
		c.problems = append(c.problems, settings.ProblemsOf(err)...)
	}
	c.checkListeners(s.GetEntryHost())
	c.checkUniquePeers(s.GetEntryHost().GetPeers())
	c.checkLease(s.GetTiming())
	return settings.InvalidError(c.problems...)
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
		c.report("entry_host", "", "peers", fmt.Sprintf("address %s is listed twice", address), "keep one")
	}
}

func (c *checker) checkLease(t *pb.TimingSettings) {
	lease, decision := t.GetControllerLease().AsDuration(), t.GetDecision().AsDuration()
	if shortest := minLeaseDecisions * decision; lease < shortest {
		c.report("timing", "", "controller_lease", fmt.Sprintf("lease %s is shorter than %d decisions of %s", lease,
			minLeaseDecisions, decision), "lengthen it to at least "+shortest.Round(time.Millisecond).String())
	}
}
