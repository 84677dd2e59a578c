// Package scheduler makes the decisions of the owner of one pool: which task starts on which worker, which runs are
// stopped, what is recorded, and which job states callers see.
//
// The package has no I/O, goroutines or clock. The owner passes in events together with the current time and carries
// out the actions that Step returns. The same inputs always give the same actions. A Pool is not safe for concurrent
// use.
package scheduler

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// Resources are the resources of a worker or the needs of a task.
type Resources struct {
	CPUMilli int64
	MemoryMB int64
	GPU      int64
}

// Worker describes a worker of the pool as listed in the registry.
type Worker struct {
	ID         string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	// Draining workers get no new tasks and will leave soon.
	Draining bool
	// DrainLeft is the minimum time until a draining worker leaves.
	DrainLeft time.Duration
	// Unlisted workers have lost their registry entry but may be alive, as entries expire while a worker cannot reach
	// the store. They get no new tasks and keep their runs.
	Unlisted bool
	// Unused means that no previous owner has recorded the worker, so that none has started anything there.
	Unused bool
	// Host is the host on which the worker runs; empty if unknown.
	Host string
	// RecordedBorn is the incarnation that is recorded for later owners, 0 if none, and RecordedUnsettled whether a call to an earlier
	// incarnation may have extended its leases beyond those that owners ask for.
	RecordedBorn      int64
	RecordedUnsettled bool
	// RecordedMayForget means that an earlier owner has recorded that the worker may have forgotten ends.
	RecordedMayForget bool
	// Born identifies the incarnation of the worker id by its start time in Unix milliseconds; 0 if not known yet.
	Born int64
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunEnd describes how a run ended.
type RunEnd int

// Ways in which a run ends.
const (
	EndUnknown RunEnd = iota
	EndSucceeded
	EndFailed
	EndStopped
	// EndLapsed: the worker's lease expired.
	EndLapsed
	// EndBroken: another member of the gang ended.
	EndBroken
	// EndAlone: the other members of the gang did not start in time.
	EndAlone
)

// RunningTask is an entry in a worker's list of running tasks.
type RunningTask struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the share of its full rate at which the task works: 100 means fully at work, less means starting or
	// throttled.
	Percent int
	// Tail is the tail latency in ms of a serving task, or the CPU in use by any other task.
	Tail int64
}

// EndedRun is an entry in a worker's list of ended runs.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        int64
	End        RunEnd
	Checkpoint string
}

// Report is a worker's response to a hold.
type Report struct {
	Worker string
	// Address is where the hold was sent to.
	Address string
	Born    int64
	// Sent is when the call was sent and Received when the response arrived. Clock was read between the two.
	Sent, Received time.Time
	// Clock is the worker's own clock in ms, which may run 2% slow.
	Clock int64
	// Fence is the fencing token of the call.
	Fence uint64
	// LastSeen is the highest end number that the call acknowledged. Until is the requested lease expiry on the
	// worker's clock.
	LastSeen int64
	Until    int64
	Running  []RunningTask
	Ended    []EndedRun
	// Fenced means that the worker has seen a higher fencing token than that of the call.
	Fenced bool
	// Gone means that another worker answers at the address (wrong instance).
	Gone bool
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeDone: the worker has carried out the order, now or earlier.
	OutcomeDone Outcome = iota
	// OutcomeUnknown: no answer arrived; the order may have been carried out or may still be.
	OutcomeUnknown
	// OutcomeNotSent: the order cannot have reached the worker.
	OutcomeNotSent
	// OutcomeFenced: the worker knows a higher fencing token than that of the order.
	OutcomeFenced
	// OutcomeOutdated: a run with the same or a higher number was already stopped or ended there.
	OutcomeOutdated
	// OutcomeLate: the requested lease had already expired.
	OutcomeLate
	// OutcomeNoRoom: the worker refused for lack of capacity.
	OutcomeNoRoom
	// OutcomeTicket: the ticket was missing or no longer valid.
	OutcomeTicket
	// OutcomeInvalid: the worker could not parse the order.
	OutcomeInvalid
	// OutcomeUnhealthy: the worker refused the order and did nothing.
	OutcomeUnhealthy
	// OutcomeGone: another worker answers at the address, and the order had no effect.
	OutcomeGone
)

// OrderKind is the kind of an order.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is an instruction to send to a worker immediately. Orders to one worker about one task are sent one after the
// other.
type Order struct {
	Kind   OrderKind
	Worker string
	// Address and Born identify the incarnation that the order is for.
	Address string
	Born    int64
	// Fence is the fencing token of the order.
	Fence uint64
	Task  TaskID
	Run   int64
	// Payload, Checkpoint and Ticket are set for OrderStart.
	Payload    string
	Checkpoint string
	Ticket     string
	// Until is the lease expiry on the worker's own clock in ms, set for OrderStart.
	Until int64
	// Percent is set for OrderPace.
	Percent int
}

// orderBytes is the approximate encoded size of an order without its strings.
const orderBytes = 400

// Bytes returns the approximate encoded size of the order.
func (o *Order) Bytes() int64 {
	return int64(orderBytes + len(o.Payload) + len(o.Checkpoint) + len(o.Ticket))
}

// OrderResult is the result of an Order.
type OrderResult struct {
	Order   Order
	Outcome Outcome
	// Clock is the worker's own clock in ms as given in the answer, 0 without one. It may be that of a later incarnation
	// than the order was for.
	Clock int64
}

// Advice is the policy service's answer for one step.
type Advice struct {
	Job              string
	Occurrence, Step int
	// Asked lists the workers named in the request. Tickets holds a ticket for each of them that may run the step.
	Asked    []string
	Tickets  map[string]string
	ValidFor time.Duration
	// Failed means that there was no answer; the request is repeated later.
	Failed bool
}

// AdviceRequest is a request to the policy service. It names at most 100 workers.
type AdviceRequest struct {
	Job              string
	Occurrence, Step int
	Workers          []string
}

// Record is job progress to make durable. A later record of a job replaces the earlier ones.
type Record struct {
	Progress *pb.JobProgress
	// Version counts the changes of the job's progress; pass it to Recorded.
	Version uint64
}

// Actions are the actions that the owner carries out.
type Actions struct {
	Orders  []Order
	Records []Record
	Advice  []AdviceRequest
	// Forget lists jobs whose retention has passed: their records are deleted.
	Forget []jobstate.Ref
	// ForgetCancels lists cancellations that are older than the retention and whose job never arrived. The owner
	// deletes each one; if its job has arrived by then, the owner calls Cancel instead.
	ForgetCancels []string
	// Lookups lists unknown jobs: call MarkAbsent for those that do not exist.
	Lookups []string
	// Decisions explains the decisions, for the log.
	Decisions []Decision
	// Poll lists workers whose state is needed at once: call Hold for them without waiting for a run to end.
	Poll []string
	// Fenced means that a worker knows a higher fencing token: this owner has been replaced and makes no more
	// decisions.
	Fenced bool
	// Confirm means that leases seem to have expired, and count as such once a call that begins now has confirmed the ownership:
	// pass its start to SetConfirmed and call Step again.
	Confirm bool
	// Wake is when Step must be called again if there is no input before; zero means never.
	Wake time.Time
}

// Hold contains the parameters of the next hold of a worker. A hold is a long poll: it extends the worker's lease,
// acknowledges ended runs and returns a Report when a run has ended or the wait is over.
type Hold struct {
	// Fence is the fencing token of the call.
	Fence uint64
	// LastSeen is the highest end number to acknowledge.
	LastSeen int64
	// Until is the lease expiry on the worker's clock in ms, 0 if the lease is not extended: the clock is not known yet, or the worker
	// is silent.
	Until int64
}
