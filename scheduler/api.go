// Package scheduler decides for the owner of one pool: which task starts on which worker, what is stopped, what is
// recorded, and what callers are told.
//
// It has no I/O, goroutines or clock: the owner hands in what happened with the time, and carries out the actions that
// Step returns. The same inputs give the same actions. A Pool is not safe for concurrent use.
package scheduler

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Resources of a worker or a task.
type Resources struct {
	CPUMilli int64
	MemoryMB int64
	GPU      int64
}

// Worker is a worker of the pool as the registry shows it.
type Worker struct {
	ID         string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	// Draining workers get nothing new and leave soon.
	Draining bool
	// DrainLeft is the least time until a draining worker leaves.
	DrainLeft time.Duration
	// Unlisted workers have lost their entry and may be alive, as entries expire while their worker does not reach the
	// store. They get nothing new and keep what they run.
	Unlisted bool
	// Host is the host that the worker lives on; empty if not known.
	Host string
	// Born tells lifetimes of one id apart, in Unix milliseconds; 0 if not known yet.
	Born int64
}

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunEnd says how a run ended.
type RunEnd int

// Ends of runs.
const (
	EndUnknown RunEnd = iota
	EndSucceeded
	EndFailed
	EndStopped
	// EndLapsed means that the worker's lease expired.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone
)

// RunningTask is an entry in a worker's list of what runs.
type RunningTask struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the share at which the task works; 100 means at work, less means starting or paced down.
	Percent int
	// Tail is the tail latency in ms of a task that serves, or the CPU in use by another.
	Tail int64
}

// EndedRun is an entry in a worker's list of ends.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        int64
	End        RunEnd
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Worker string
	Born   int64
	// Sent is when the call was sent, Received when the answer arrived: the worker's clock lay between.
	Sent, Received time.Time
	// Clock is the worker's own clock in ms, which may run 2% slow.
	Clock int64
	// LastSeen is the number up to which the call acknowledged ends. Until is the lease asked for, on the worker's clock.
	LastSeen int64
	Until    int64
	Running  []RunningTask
	Ended    []EndedRun
	// Fenced means that the worker has seen a higher fence: this owner has been replaced.
	Fenced bool
	// Gone means that the address belongs to another worker or another lifetime (wrong instance).
	Gone bool
}

// Outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeDone: the worker has carried it out, or had already.
	OutcomeDone Outcome = iota
	// OutcomeUnknown: no answer; it may have been carried out, or may be later.
	OutcomeUnknown
	// OutcomeNotSent: it cannot have reached the worker.
	OutcomeNotSent
	// OutcomeFenced: a higher fence is there; this owner has been replaced.
	OutcomeFenced
	// OutcomeOutdated: a run as high or higher was stopped or ended there.
	OutcomeOutdated
	// OutcomeLate: the lease asked for had passed.
	OutcomeLate
	// OutcomeNoRoom: the worker refused for want of capacity.
	OutcomeNoRoom
	// OutcomeTicket: the ticket was missing or no longer valid.
	OutcomeTicket
	// OutcomeInvalid: the worker could not read the order.
	OutcomeInvalid
	// OutcomeUnhealthy: the worker refused and did nothing.
	OutcomeUnhealthy
	// OutcomeGone: another lifetime or another worker answers there.
	OutcomeGone
)

// OrderKind tells orders apart.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is to be sent to a worker now. Orders to one worker about one task are sent one after the other.
type Order struct {
	Kind   OrderKind
	Worker string
	// Address and Born name the lifetime that is meant.
	Address string
	Born    int64
	Task    TaskID
	Run     int64
	// Payload, Checkpoint and Ticket belong to OrderStart.
	Payload    string
	Checkpoint string
	Ticket     string
	// Until is the worker's lease, on its own clock in ms. It belongs to OrderStart.
	Until int64
	// Percent belongs to OrderPace.
	Percent int
}

// orderBytes is about what an order takes on the wire without its texts.
const orderBytes = 400

// Bytes is about what the order takes on the wire.
func (o *Order) Bytes() int64 {
	return int64(orderBytes + len(o.Payload) + len(o.Checkpoint) + len(o.Ticket))
}

// OrderResult tells what became of an Order.
type OrderResult struct {
	Order   Order
	Outcome Outcome
	// Clock is the worker's own clock in the answer in ms, 0 without one. It tells which reports are newer.
	Clock int64
}

// Advice is an answer of the policy service for one step.
type Advice struct {
	Job              string
	Occurrence, Step int
	// Asked are the workers named in the call; Tickets are those that may run the step.
	Asked    []string
	Tickets  map[string]string
	ValidFor time.Duration
	// Failed means that no answer came; ask again later.
	Failed bool
}

// AdviceRequest is to be asked of the policy service. At most 100 workers.
type AdviceRequest struct {
	Job              string
	Occurrence, Step int
	Workers          []string
}

// Record is progress to be made durable. Later records of a job replace earlier ones.
type Record struct {
	Progress *pb.JobProgress
	// Version counts the changes of the job's progress; hand it back to Recorded.
	Version uint64
}

// Actions are what the owner carries out.
type Actions struct {
	Orders  []Order
	Records []Record
	Advice  []AdviceRequest
	// Forget lists jobs that ended longer ago than the retention: their records are deleted.
	Forget []string
	// ForgetCancels lists cancellations older than the retention whose job never came: they are deleted while there is
	// no such job. Cancel takes note of one whose job has come after all.
	ForgetCancels []string
	// Decisions explain what was decided, for the log.
	Decisions []Decision
	// Poll lists workers whose state is needed at once: hold them without waiting for an end.
	Poll []string
	// Fenced means that a worker knows a higher fence: this owner has been replaced and decides nothing any more.
	Fenced bool
	// Wake is when Step has to be called again if nothing happens before; zero means not at all.
	Wake time.Time
}

// Hold is what the next hold of a worker asks for.
type Hold struct {
	LastSeen int64
	// Until is the lease on the worker's clock, 0 if the clock is not known yet.
	Until int64
}
