package entryhost

import (
	"net/http"

	"github.com/agateturn/agateturn/admission"
)

// refusalCode names why a request got no worker's answer. The set is fixed, so that it can be a label.
type refusalCode string

const (
	codeBadRequest     refusalCode = "bad_request"
	codeForbidden      refusalCode = "forbidden_team"
	codeNotFound       refusalCode = "not_found"
	codeBody           refusalCode = "body"
	codeEntryHostFull  refusalCode = "entry_host_full"
	codeQueueFull      refusalCode = "queue_full"
	codeDeadline       refusalCode = "deadline"
	codeHopeless       refusalCode = "hopeless"
	codeNoHost         refusalCode = "no_host"
	codeNotReached     refusalCode = "worker_not_reached"
	codeUnready        refusalCode = "unready"
	codeCallerGone     refusalCode = "caller_gone"
	codeKeyOwner       refusalCode = "key_owner"
	codeKeysFull       refusalCode = "keys_full"
	codeKeyMismatch    refusalCode = "key_mismatch"
	codeKeyRepeated    refusalCode = "key_repeated"
	codeUnknownOutcome refusalCode = "unknown_outcome"
	codeOther          refusalCode = "other"
)

// codeOfStatus is the code of a refusal that has none of its own.
func codeOfStatus(status int) refusalCode {
	switch status {
	case http.StatusBadRequest:
		return codeBadRequest
	case http.StatusForbidden:
		return codeForbidden
	case http.StatusNotFound:
		return codeNotFound
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge:
		return codeBody
	case http.StatusConflict:
		return codeKeyRepeated
	case http.StatusServiceUnavailable:
		return codeUnready
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return codeUnknownOutcome
	default:
		return codeOther
	}
}

// codeOfReason is the code of a rejection by admission.
func codeOfReason(reason admission.Reason) refusalCode {
	switch reason {
	case admission.ReasonHostFull:
		return codeEntryHostFull
	case admission.ReasonQueueFull:
		return codeQueueFull
	case admission.ReasonDeadline, admission.ReasonUrgentStart:
		return codeDeadline
	default:
		return codeOther
	}
}
