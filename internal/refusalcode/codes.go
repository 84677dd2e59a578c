// Package refusalcode defines codes for the reasons why a request was refused, for metrics and logs.
package refusalcode

import (
	"net/http"

	"github.com/agateturn/agateturn/admission"
)

// Code is the reason why a request got no answer from a worker. The set of codes is fixed, so that they can be metric labels.
type Code string

// The refusal codes; docs/OPERATIONS.md documents them.
const (
	BadRequest     Code = "bad_request"
	Forbidden      Code = "forbidden_team"
	NotFound       Code = "not_found"
	Body           Code = "body"
	EntryHostFull  Code = "entry_host_full"
	QueueFull      Code = "queue_full"
	Deadline       Code = "deadline"
	PoisonJob      Code = "hopeless"
	NoHost         Code = "no_host"
	NotReached     Code = "worker_not_reached"
	Unready        Code = "unready"
	CallerGone     Code = "caller_gone"
	KeyOwner       Code = "key_owner"
	KeysFull       Code = "keys_full"
	KeyMismatch    Code = "key_mismatch"
	KeyRepeated    Code = "key_repeated"
	UnknownOutcome Code = "unknown_outcome"
	Other          Code = "other"
)

// OfStatus returns the code of a refusal with the given HTTP status and no code of its own.
func OfStatus(status int) Code {
	switch status {
	case http.StatusBadRequest:
		return BadRequest
	case http.StatusForbidden:
		return Forbidden
	case http.StatusNotFound:
		return NotFound
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge:
		return Body
	case http.StatusConflict:
		return KeyRepeated
	case http.StatusServiceUnavailable:
		return Unready
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return UnknownOutcome
	default:
		return Other
	}
}

// OfReason returns the code of a rejection by admission.
func OfReason(reason admission.Reason) Code {
	switch reason {
	case admission.ReasonHostFull:
		return EntryHostFull
	case admission.ReasonQueueFull:
		return QueueFull
	case admission.ReasonDeadline, admission.ReasonUrgentStart:
		return Deadline
	default:
		return Other
	}
}
