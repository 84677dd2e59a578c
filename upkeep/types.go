package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// MachineState is what the list of machines says of one.
type MachineState int

// States of machines.
const (
	StateUnknown MachineState = iota
	Up
	Moving
	Upkeep
	Down
)

// Machine is one row of the list of machines.
type Machine struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Rack       string
	Labels     []string
	CPUMilli   int64
	MemoryMB   int64
	GPU        int64
	// Worker is the id of the machine's present worker; it changes with each move and upkeep.
	Worker string
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time for all of them, counted from Seen.
	Within time.Duration
	// Cap is how many machines of the wave may be down for their upkeep at once.
	Cap  int
	Seen time.Time
}

// PoolLoad is what is known of a pool.
type PoolLoad struct {
	// Status is the last answer of the pool's owner; nil if there is none.
	Status *pb.PoolStatusResponse
	// Age is the time since the call of Status was sent.
	Age time.Duration
	// Spare pools hold machines that are off: nothing runs there.
	Spare bool
}

// Input is what Step decides on. It is not changed.
type Input struct {
	// Machines is the last whole list, in any order; MachinesAt is when its first call was sent.
	Machines   []Machine
	MachinesAt time.Time
	// Waves are those that are not completed.
	Waves []Wave
	// Pools holds all pools that are known; machines of others are left alone.
	Pools map[string]PoolLoad
}

// Order orders a machine to its upkeep.
type Order struct {
	Machine string
	Wave    int64
}

// MoveOrder orders a machine to a pool.
type MoveOrder struct {
	Machine string
	Pool    string
}

// Actions is what to do now. Every order must be answered by a call of UpkeepResult or MoveResult.
type Actions struct {
	// Evacuate lists by pool the ids of all workers to be empty, sorted; a pool that is absent has none.
	Evacuate map[string][]string
	Upkeeps  []Order
	Moves    []MoveOrder
	// Completed are waves whose machines have all begun their upkeep or left.
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
	// Busy means that the machine is not up or is leaving; nothing was done.
	Busy
	// Refused means that the service did not take the call; nothing was done.
	Refused
	// Unfit means that there is no such machine, or that it does not fit the pool or the wave.
	Unfit
	// Fenced means that another owner has ordered since. The Planner must not be used any more.
	Fenced
)

// Progress is the durable state of one machine of a wave.
type Progress int

// Progress of machines.
const (
	// NotOrdered machines have no order that could be carried out.
	NotOrdered Progress = iota
	// Intended machines may have begun their upkeep.
	Intended
	// Begun machines have begun it.
	Begun
)
