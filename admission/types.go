package admission

import (
	"fmt"
	"time"
)

// Class is the scheduling class of a request.
type Class int

// The classes.
const (
	ClassNormal Class = iota
	// ClassUrgent requests are rejected unless they start within the service's urgent_start.
	ClassUrgent
)

// String returns the class as it appears in logs and metrics.
func (c Class) String() string {
	if c == ClassUrgent {
		return "urgent"
	}
	return "normal"
}

// Reason says why a request was rejected. A rejected request has not been started.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonUnknownService means that the configuration has no such service.
	ReasonUnknownService
	// ReasonUnknownTeam means that the configuration has no such team.
	ReasonUnknownTeam
	// ReasonDuplicate means that a request with this ID is queued or running.
	ReasonDuplicate
	// ReasonHostFull means that this entry host holds Limits.MaxRequests requests.
	ReasonHostFull
	// ReasonQueueFull means that the service's queue is full.
	ReasonQueueFull
	// ReasonDeadline means that the request can't finish before its deadline.
	ReasonDeadline
	// ReasonUrgentStart means that an urgent request can't start within the service's urgent_start.
	ReasonUrgentStart
)

var reasonTexts = map[Reason]string{
	ReasonNone:           "accepted",
	ReasonUnknownService: "unknown service; ask an operator to configure it",
	ReasonUnknownTeam:    "unknown team; ask an operator to configure it",
	ReasonDuplicate:      "a request with this ID is in progress; use a new ID",
	ReasonHostFull:       "this entry host holds as many requests as it may; retry later",
	ReasonQueueFull:      "the service's queue is full; retry later",
	ReasonDeadline:       "can't finish before its deadline; retry later or allow more time",
	ReasonUrgentStart:    "an urgent request can't start in time; retry later",
}

// String returns the reason and what the caller can do about it.
func (r Reason) String() string {
	if s, ok := reasonTexts[r]; ok {
		return s
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Request describes a request offered to a Queue.
type Request struct {
	// ID is unique among the requests that the queue holds.
	ID      uint64
	Service string
	Pool    string
	Team    string
	Class   Class
	// Deadline is when the request must have finished; zero means Arrival plus the service's deadline.
	Deadline time.Time
	// Arrival is when the request arrived; zero means the time of Offer.
	Arrival time.Time
}

// Decision is the answer to an offer.
type Decision struct {
	Queued bool
	// Reason is ReasonNone for a queued request.
	Reason Reason
	// RetryAfter is the delay after which a rejected request may be retried; 0 if a retry doesn't help.
	RetryAfter time.Duration
}

// Rejection is the final answer to a queued request, which has not been started and never will be.
type Rejection struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Limits bounds a Queue.
type Limits struct {
	// MaxRequests is the maximum number of requests held at once, queued and running together; 0 means no limit.
	MaxRequests int
}
