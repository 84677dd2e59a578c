package controller

import (
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
	"github.com/agateturn/agateturn/waves"
)

// Role is what a host on the platform's list is for.
type Role int

// Roles of hosts.
const (
	RoleWorker Role = iota
	RoleEntryHost
)

// State is where the platform says a host is. The list lags.
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
	// BootID is new with each boot; empty if the platform does not know it.
	BootID string
	// Incarnation is the process of an entry host; empty if the platform does not know it.
	Incarnation string
	// SeenAt is when the list was first seen to show this state of this incarnation.
	SeenAt time.Time
}

// OrderKind is what an operator asks for.
type OrderKind int

// Kinds of orders.
const (
	// MoveHost moves Host to Pool.
	MoveHost OrderKind = iota
	// CancelDrain puts the draining Host back to work.
	CancelDrain
	// HostDown takes Host out of service.
	HostDown
	// HostUp puts Host back to work.
	HostUp
	// StartWave begins Wave over Hosts; without hosts, over those of Pool; without a pool, over all.
	StartWave
	// StopWave keeps Wave from starting further hosts.
	StopWave
	// ResumeWave lets Wave go on.
	ResumeWave
	// CancelWave ends Wave.
	CancelWave
)

// Order is an operator's order.
type Order struct {
	// OperationID makes a repeat the same order. It must not be empty.
	OperationID string
	Kind        OrderKind
	Host        string
	Pool        string
	Wave        string
	Hosts       []string
}

// OrderResult is what became of an order. It holds only if the decision's fleet was written, where there is one.
type OrderResult struct {
	OperationID string
	// Err is nil if the order is taken; else it is of a class of fleet, waves or this package.
	Err error
}

// ActionKind is what the platform is asked to do.
type ActionKind int

// Kinds of actions.
const (
	// Checkpoint asks the platform to checkpoint the tasks of a host that drains for maintenance.
	Checkpoint ActionKind = iota
	// Reboot asks the platform to reboot a host that every member has released.
	Reboot
)

// Action is a request to the platform. It comes again with each step until its effect is seen; the platform does it once
// for each OperationID.
type Action struct {
	Kind        ActionKind
	Host        string
	OperationID string
}

// NoteKind is what a Note tells.
type NoteKind int

// Kinds of notes.
const (
	// NoteTerm tells that this controller took over.
	NoteTerm NoteKind = iota
	// NoteMemberRemoved tells that a member that is gone was removed.
	NoteMemberRemoved
	// NoteMemberKept tells why a member that the platform shows gone stays.
	NoteMemberKept
	// NoteHostPhase tells that a host entered a phase.
	NoteHostPhase
	// NoteHostHeld tells who still holds a draining host.
	NoteHostHeld
	// NoteWave tells of a wave that was made, stopped or finished.
	NoteWave
	// NoteWaveWaits tells why a wave starts no host.
	NoteWaveWaits
	// NoteMove tells why a host moves.
	NoteMove
	// NoteOwners tells that the owner sets changed.
	NoteOwners
	// NoteWaveStopped tells why a wave stopped itself.
	NoteWaveStopped
)

// Note is something that operators may want to know. Notes on what lasts come with each step.
type Note struct {
	Kind NoteKind
	// Subject is the member, host or wave.
	Subject string
	Text    string
}

// Input is what Step decides on. It is not changed.
type Input struct {
	// Fleet is the value that the store holds.
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Heartbeats are keyed by the sender's incarnation.
	Heartbeats map[string]fleet.Received
	Platform   []PlatformHost
	Orders     []Order
	// Self names this controller, different for each process.
	Self string
	// WriteID identifies the write of this decision.
	WriteID string
	// PauseLimit is the setting timing.pause_limit.
	PauseLimit time.Duration
	// Demand comes from a mover.Tracker fed with Samples. Without it no host moves by itself.
	Demand map[string]mover.PoolLoad
	// Failed are hosts known not to work, as FailedHosts tells.
	Failed map[string]bool
	// Load is what runs on hosts, as far as known.
	Load map[string]waves.Load
	// DrainTime and RollOut are estimates for the moves; see mover.Input.
	DrainTime map[string]time.Duration
	RollOut   time.Duration
}

// Decision is what to do.
type Decision struct {
	// Fleet is to be written by compare-and-swap over Input.Fleet; nil if nothing changes.
	Fleet   *pb.Fleet
	Actions []Action
	Results []OrderResult
	Notes   []Note
}
