package controller

import (
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
	"github.com/agateturn/agateturn/waves"
)

// Role is the role of a host on the platform's list.
type Role int

// Roles of hosts.
const (
	RoleWorker Role = iota
	RoleEntryHost
)

// State is the state of a host on the platform's list, which lags behind the actual state.
type State int

// States of hosts.
const (
	StateLive State = iota
	StateLeaving
	StateGone
)

// PlatformHost is an entry of the platform's list.
type PlatformHost struct {
	Name  string
	Role  Role
	State State
	// BootID changes with each boot; empty if the platform does not know it.
	BootID string
	// Incarnation identifies the process of an entry host; empty if the platform does not know it.
	Incarnation string
	// SeenAt is the time at which the list first showed this state of this incarnation.
	SeenAt time.Time
}

// OrderKind is the type of an Order.
type OrderKind int

// Kinds of orders.
const (
	// MoveHost moves Host to Pool.
	MoveHost OrderKind = iota
	// CancelDrain returns the draining Host to service.
	CancelDrain
	// HostDown takes Host out of service.
	HostDown
	// HostUp returns Host to service.
	HostUp
	// StartWave starts Wave over Hosts. If Hosts is empty, it takes the hosts of Pool; if Pool is empty too, all hosts.
	StartWave
	// StopWave prevents Wave from starting further hosts.
	StopWave
	// ResumeWave continues a stopped Wave.
	ResumeWave
	// CancelWave ends Wave.
	CancelWave
)

// Order is an operator's order.
type Order struct {
	// OperationID makes repeats of the order idempotent. It must not be empty.
	OperationID string
	Kind        OrderKind
	Host        string
	Pool        string
	Wave        string
	Hosts       []string
}

// OrderResult is the result of an order. If the decision has a fleet, the result is valid only once that fleet is
// written.
type OrderResult struct {
	OperationID string
	// Err is nil if the order is accepted. Otherwise its class is one of fleet, waves or this package.
	Err error
}

// ActionKind is the type of an Action.
type ActionKind int

// Kinds of actions.
const (
	// Checkpoint asks the platform to checkpoint the tasks of a host that is draining for maintenance.
	Checkpoint ActionKind = iota
	// Reboot asks the platform to reboot a host that every member has released.
	Reboot
)

// Action is a request to the platform. Each step returns it again until its effect is visible; the platform executes it
// once for each OperationID.
type Action struct {
	Kind        ActionKind
	Host        string
	OperationID string
}

// NoteKind is the type of a Note.
type NoteKind int

// Kinds of notes.
const (
	// NoteTerm reports that this controller took over, or that its write was refused.
	NoteTerm NoteKind = iota
	// NoteMemberRemoved reports that a member that is gone was removed.
	NoteMemberRemoved
	// NoteMemberKept reports why a member that the platform lists as gone is kept.
	NoteMemberKept
	// NoteHostPhase reports that a host entered a phase.
	NoteHostPhase
	// NoteHostHeld reports why a draining host can't complete its drain: a member still holds it, or its boot id is
	// unknown.
	NoteHostHeld
	// NoteWave reports that the schedule created a wave, that a wave finished, or that one of its hosts failed.
	NoteWave
	// NoteWaveWaits reports why a wave starts no host, or why the schedule could not create a wave.
	NoteWaveWaits
	// NoteMove reports why a host moves or why its move was cancelled.
	NoteMove
	// NoteOwners reports that the owner sets change, or which entry host the change waits for.
	NoteOwners
	// NoteWaveStopped reports that Step stopped a wave because too many of its hosts failed.
	NoteWaveStopped
)

// Note is a message for operators. Each step repeats the notes on conditions that persist.
type Note struct {
	Kind NoteKind
	// Subject is the member, host or wave.
	Subject string
	Text    string
}

// Input is the input of Step, which does not modify it.
type Input struct {
	// Fleet is the stored fleet.
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Heartbeats are keyed by the sender's incarnation.
	Heartbeats map[string]fleet.Received
	Platform   []PlatformHost
	Orders     []Order
	// Self identifies this controller; it differs for each process.
	Self string
	// WriteID identifies the write of this decision.
	WriteID string
	// PauseLimit is the setting timing.pause_limit.
	PauseLimit time.Duration
	// Demand is the output of a mover.Tracker that observes Samples. If it is empty, only orders move hosts.
	Demand map[string]mover.PoolLoad
	// Failed holds the hosts that are known to have failed, as returned by FailedHosts.
	Failed map[string]bool
	// Load is the load by host, as far as it is known.
	Load map[string]waves.Load
	// DrainTime and RollOut are estimates for moves; see mover.Input.
	DrainTime map[string]time.Duration
	RollOut   time.Duration
}

// Decision is the result of Step.
type Decision struct {
	// Fleet must replace Input.Fleet by compare-and-swap; nil if nothing changes.
	Fleet   *pb.Fleet
	Actions []Action
	Results []OrderResult
	Notes   []Note
}
