package limitlisten

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Checks that a connection beyond the limit is answered and closed, and that closing a connection, even twice, frees exactly
// one slot.
func TestConnectionBeyondLimitIsAnswered(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limited := New(inner.(*net.TCPListener), 1, []byte("full"))
	defer func() { _ = limited.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		held := <-accepted
		rejected, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		text, err := io.ReadAll(rejected)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "full")
		assert.NilError(t, held.Close())
		assert.Assert(t, held.Close() != nil)
	}
}
