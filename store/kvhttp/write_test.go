package kvhttp

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A transport may write on a connection after it has returned an error for the request. After a seal such a write must fail.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	defer func() { _ = near.Close() }()
	var dialer trackingDialer
	conn := &trackingConn{Conn: near, dialer: &dialer}
	assert.Assert(t, dialer.seal())
	_, err := conn.Write([]byte("late")) // would block if it reached the pipe, which has no reader
	assert.Assert(t, errors.Is(err, net.ErrClosed))

	var used trackingDialer
	sent := &trackingConn{Conn: near, dialer: &used}
	assert.NilError(t, near.Close())
	_, _ = sent.Write([]byte("x"))
	assert.Assert(t, !used.seal())
}
