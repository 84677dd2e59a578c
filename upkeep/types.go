package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// HostState is the state of a host in the list of hosts.
type HostState int

// States of hosts.
const (
	StateUnknown HostState = iota
	Up
	Moving
	Upkeep
	Down
)

// String returns the name of the state for the log.
func (s HostState) String() string {
	switch s {
	case Up:
		return "up"
	case Moving:
		return "moving"
	case Upkeep:
		return "upkeep"
	case Down:
		return "down"
	default:
		return "unknown"
	}
}

// Host is one row of the list of hosts.
type Host struct {
	ID         string
	Pool       string
	State      HostState
	DataCentre string
	Rack       string
	Labels     []string
	CPUMilli   int64
	MemoryMB   int64
	GPU        int64
	// Worker is the ID of the host's present worker; it changes with each move and upkeep.
	Worker string
}

// Wave requests the upkeep of hosts.
type Wave struct {
	Number int64
	Hosts  []string
	// Within is the time allowed for all of them, counted from Seen.
	Within time.Duration
	// Cap is how many hosts of the wave may be down for their upkeep at once.
	Cap  int
	Seen time.Time
}

// PoolLoad is the last known load of a pool.
type PoolLoad struct {
	// Status is the last answer of the pool's owner; nil if there is none.
	Status *pb.PoolStatusResponse
	// Age is the time since the call for Status was sent.
	Age time.Duration
	// Spare is set for pools that hold switched-off hosts: nothing runs there.
	Spare bool
}

// Input is the input of Step. Step does not modify it.
type Input struct {
	// Hosts is the last complete list, in any order; HostsAt is when its first call was sent.
	Hosts   []Host
	HostsAt time.Time
	// Waves are those that are not completed.
	Waves []Wave
	// Pools holds all known pools; hosts of other pools are left alone.
	Pools map[string]PoolLoad
}

// Order is an order for the upkeep of a host.
type Order struct {
	Host string
	Wave int64
}

// MoveOrder is an order to move a host to a pool.
type MoveOrder struct {
	Host string
	Pool string
}

// MoveReason is why a host moves to a pool. Rates are in thousandths of a core.
type MoveReason struct {
	// Cause is "demand" for the pool's present demand, "forecast" for a predicted burst, or "idle" for a spare pool.
	Cause string
	// Rate is the rate at which the pool's work arrives, Expected that expected in its burst.
	Rate, Expected float64
	// Has is how many hosts the pool had or was about to get, Needs how many it needs.
	Has   int
	Needs float64
	// Age is the age of the pool's status.
	Age time.Duration
}

// BurstChange is the beginning or the end of a burst of demand for a pool.
type BurstChange struct {
	Pool  string
	Began bool
	// Since is when the burst began, or ended.
	Since time.Time
	// Rate is the rate at which work arrives now, and Peak the learned one in bursts, in thousandths of a core.
	Rate, Peak float64
}

// Actions are the actions to take now. Every order must be answered by a call of UpkeepResult or MoveResult.
type Actions struct {
	// Evacuate lists by pool the IDs of all workers to be evacuated, sorted; a pool that is absent has none.
	Evacuate map[string][]string
	// Due lists by pool the IDs of the workers whose hosts have yet to begin their upkeep for a wave.
	Due     map[string][]string
	Upkeeps []Order
	Moves   []MoveOrder
	// Reasons are the reasons of Moves, by host.
	Reasons map[string]MoveReason
	// Bursts are the bursts of demand that were found to have begun or ended.
	Bursts []BurstChange
	// Completed are the waves that have nothing left to do.
	Completed []CompletedWave
	// Busy reports that evacuations, orders or waves are in progress, so lists and loads should be fresh.
	Busy bool
	// Wake is when to call Step again if nothing changes before.
	Wake time.Time
}

// CompletedWave is a wave whose hosts have all begun their upkeep, but for those that it skips.
type CompletedWave struct {
	Number int64
	// Skipped are the hosts that have left or do not belong to the wave according to the host service, sorted.
	Skipped []string
}

// Result is the outcome of an order.
type Result int

// Results of orders.
const (
	// Unknown means that the order may have been carried out.
	Unknown Result = iota
	// Done means that the order was carried out, now or earlier.
	Done
	// Busy means that the host is not up or is leaving; the order had no effect.
	Busy
	// Refused means that the service did not accept the call; the order had no effect.
	Refused
	// Unfit means that there is no such host, or that it does not fit the pool or the wave.
	Unfit
	// Fenced means that another owner has issued orders since. The Planner must no longer be used.
	Fenced
)

// Progress is the durable state of one host of a wave.
type Progress int

// Progress of hosts.
const (
	// NotOrdered hosts have no order that may be carried out.
	NotOrdered Progress = iota
	// Intended hosts may have begun their upkeep.
	Intended
	// Begun hosts have begun their upkeep.
	Begun
)
