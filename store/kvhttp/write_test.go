package kvhttp

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSealedConnectionSendsNothing covers a transport that would write after it gave up the request.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	defer func() { _ = near.Close() }()
	var dialer watchedDialer
	conn := &watchedConn{Conn: near, dialer: &dialer}
	assert.Assert(t, dialer.seal())
	_, err := conn.Write([]byte("late")) // would block if it reached the pipe, which nobody reads
	assert.Assert(t, errors.Is(err, net.ErrClosed))

	var used watchedDialer
	sent := &watchedConn{Conn: near, dialer: &used}
	assert.NilError(t, near.Close())
	_, _ = sent.Write([]byte("x"))
	assert.Assert(t, !used.seal())
}
