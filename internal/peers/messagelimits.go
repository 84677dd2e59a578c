package peers

import (
	"net/http"

	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/bodies"
)

const (
	// peerBodyBytes limits the total size of the messages from peers that are being received.
	peerBodyBytes = 4 << 20
	// heartbeatLimit is the maximum size of a heartbeat in bytes; smallLimit is that of calls that carry only names and
	// numbers.
	heartbeatLimit = 256 << 10
	smallLimit     = 8 << 10
)

var messageLimits = bodies.MessageLimits{
	Arriving: peerBodyBytes, Handled: peerMessageLimit, Uncompressed: peerMessageLimit, Message: messageLimit,
	TooLarge: http.StatusTooManyRequests, // the status of the protocol for an exhausted resource
}

// messageLimit returns the maximum size in bytes of the message of a call. Only a staged configuration is large.
func messageLimit(path string) int64 {
	switch path {
	case agateturnv1connect.PeerServiceStageProcedure:
		return peerMessageLimit
	case agateturnv1connect.PeerServiceExchangeProcedure:
		return heartbeatLimit
	default:
		return smallLimit
	}
}
