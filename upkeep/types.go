package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// HostState is what the list of hosts says of one.
type HostState int

// States of hosts.
const (
	StateUnknown HostState = iota
	Up
	Moving
	Upkeep
	Down
)

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
	// Worker is the id of the host's present worker; it changes with each move and upkeep.
	Worker string
}

// Wave asks for the upkeep of hosts.
type Wave struct {
	Number int64
	Hosts  []string
	// Within is the time for all of them, counted from Seen.
	Within time.Duration
	// Cap is how many hosts of the wave may be down for their upkeep at once.
	Cap  int
	Seen time.Time
}

// PoolLoad is what is known of a pool.
type PoolLoad struct {
	// Status is the last answer of the pool's owner; nil if there is none.
	Status *pb.PoolStatusResponse
	// Age is the time since the call of Status was sent.
	Age time.Duration
	// Spare pools hold hosts that are off: nothing runs there.
	Spare bool
}

// Input is what Step decides on. It is not changed.
type Input struct {
	// Hosts is the last whole list, in any order; HostsAt is when its first call was sent.
	Hosts   []Host
	HostsAt time.Time
	// Waves are those that are not completed.
	Waves []Wave
	// Pools holds all pools that are known; hosts of others are left alone.
	Pools map[string]PoolLoad
}

// Order orders a host to its upkeep.
type Order struct {
	Host string
	Wave int64
}

// MoveOrder orders a host to a pool.
type MoveOrder struct {
	Host string
	Pool string
}

// Actions is what to do now. Every order must be answered by a call of UpkeepResult or MoveResult.
type Actions struct {
	// Evacuate lists by pool the ids of all workers to be empty, sorted; a pool that is absent has none.
	Evacuate map[string][]string
	Upkeeps  []Order
	Moves    []MoveOrder
	// Completed are waves whose hosts have all begun their upkeep or left.
	Completed []int64
	// Busy says that orders or evacuations are in progress, so lists and loads should be fresh.
	Busy bool
	// Wake is when to call Step again if nothing changes before.
	Wake time.Time
}

// Result is the outcome of an order.
type Result int

// Results of orders.
const (
	// Unknown means that the order may have been carried out.
	Unknown Result = iota
	// Done means that it was, now or before.
	Done
	// Busy means that the host is not up or is leaving; nothing was done.
	Busy
	// Refused means that the service did not take the call; nothing was done.
	Refused
	// Unfit means that there is no such host, or that it does not fit the pool or the wave.
	Unfit
	// Fenced means that another owner has ordered since. The Planner must not be used any more.
	Fenced
)

// Progress is the durable state of one host of a wave.
type Progress int

// Progress of hosts.
const (
	// NotOrdered hosts have no order that could be carried out.
	NotOrdered Progress = iota
	// Intended hosts may have begun their upkeep.
	Intended
	// Begun hosts have begun it.
	Begun
)
