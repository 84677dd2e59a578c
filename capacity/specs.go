package capacity

import "github.com/samber/lo"

// Roles of the system.
const (
	RoleNode        = "whole node"
	RoleMembership  = "membership"
	RoleControl     = "controlling"
	RoleStore       = "following the store"
	RoleConfig      = "configuration"
	RoleMaintenance = "maintenance"
)

// Specs returns the specifications of all figures of control overhead for a design load.
func Specs(d Design) []Spec {
	specs := nodeSpecs()
	specs = append(specs, storeSpecs()...)
	specs = append(specs, changeSpecs(RoleConfig, StateConfig, d.ConfigChanges)...)
	specs = append(specs, changeSpecs(RoleControl, StateMoves, 2*(d.Failures+d.Restarts))...)
	specs = append(specs, changeSpecs(RoleMaintenance, StateWave, d.Maintained())...)
	return append(specs,
		Spec{
			Role: RoleConfig, Quantity: "change in force everywhere", Unit: "s", State: StateTiming, Measure: "roll_out_s",
			Terms: []Term{Constant, PerHost, PerPeer}, Bound: 15,
		},
		Spec{
			Role: RoleControl, Quantity: "move complete", Unit: "s", State: StateTiming, Measure: "move_s",
			Terms: []Term{Constant, PerHost, PerPeer},
		},
	)
}

// nodeSpecs returns the figures of a node while nothing changes.
func nodeSpecs() []Spec {
	idle := func(role, quantity, unit, measure string, bound float64, terms ...Term) Spec {
		return Spec{Role: role, Quantity: quantity, Unit: unit, State: StateIdle, Measure: measure, Terms: terms, Bound: bound}
	}
	return []Spec{
		idle(RoleNode, "processor, mean node", "% of a core", "cpu_percent", BoundCPUPercent, Constant, PerHost, PerPeer, PerPool),
		idle(RoleNode, "processor, busiest node", "% of a core", "cpu_percent_max", BoundCPUPercent, Constant, PerHost, PerPeer, PerPool),
		idle(RoleNode, "resident memory, mean node", "MB", "rss_mb", BoundMemoryMB, Constant, PerHost, PerPeer, PerPool, PerTeam),
		idle(RoleNode, "resident memory, largest node", "MB", "rss_mb_max", BoundMemoryMB, Constant, PerHost, PerPeer, PerPool, PerTeam),
		idle(RoleNode, "live heap, mean node", "MB", "heap_mb", 0, Constant, PerHost, PerPeer, PerPool, PerTeam),
		idle(RoleMembership, "peers' bytes, mean node", "KB/s", "peers_kb_s", BoundKBPerSecond, Constant, PerPeer, PerPeerPool),
		idle(RoleControl, "platform list's bytes, controller", "KB/s", "platform_kb_s_max", BoundKBPerSecond, Constant, PerHost),
		idle(RoleStore, "store's bytes, busiest node", "KB/s", "store_kb_s_max", BoundKBPerSecond, Constant, PerHost, PerPeer),
	}
}

// storeSpecs returns the figures of the whole deployment's calls to the store.
func storeSpecs() []Spec {
	calls := func(quantity, measure string, bound float64) Spec {
		return Spec{
			Role: RoleStore, Quantity: quantity, Unit: "calls/s", State: StateIdle, Measure: measure,
			Terms: []Term{Constant, PerEntry}, Bound: bound,
		}
	}
	return []Spec{
		calls("store reads", "store_reads_s", BoundStoreReads),
		calls("store watches begun", "store_watches_s", BoundStoreReads),
		calls("store watches waiting", "store_waiting", BoundStoreReads),
		calls("store writes", "store_writes_s", BoundStoreWrites),
		calls("store lease calls", "store_leases_s", BoundStoreWrites),
	}
}

// changeSpecs returns the figures of the cost of one change of a kind, and of its mean over a day.
func changeSpecs(role, state string, perDay float64) []Spec {
	each := []Spec{
		{Quantity: "processor, mean node", Unit: "% of a core x s", Measure: "cpu_percent", Terms: []Term{Constant, PerHost, PerPeer}},
		{Quantity: "peers' bytes, mean node", Unit: "KB", Measure: "peers_kb_s", Terms: []Term{Constant, PerHost, PerPeer}},
		{Quantity: "peers' bytes, busiest node", Unit: "KB", Measure: "peers_kb_s_max", Terms: []Term{PerHost, PerPeer, PerPeerHost}},
		{Quantity: "store writes", Unit: "calls", Measure: "store_writes_s", Terms: []Term{Constant}},
	}
	bounds := map[string]float64{"cpu_percent": BoundCPUPercent, "peers_kb_s": BoundKBPerSecond, "peers_kb_s_max": BoundKBPerSecond}
	return lo.FlatMap(each, func(s Spec, _ int) []Spec {
		s.Role, s.State, s.PerChange = role, state, true
		daily := s
		daily.PerDay = perDay
		daily.Unit = s.Unit + "/s"
		daily.Quantity += ", mean of a day"
		daily.Bound = bounds[s.Measure]
		s.Quantity += ", one change"
		return []Spec{s, daily}
	})
}
