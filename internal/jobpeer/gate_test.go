package jobpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// gate passes connections on to a member, until they fall silent.
type gate struct {
	address string
	// deaf makes new connections silent too.
	deaf atomic.Bool

	mu     sync.Mutex
	silent *atomic.Bool
}

func newGate(t *testing.T, to string) *gate {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := &gate{address: listener.Addr().String(), silent: &atomic.Bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() { g.pass(ctx, conn, to) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		open.Wait()
	})
	return g
}

// silence lets all open connections fall silent, without a reset. New ones work unless the gate is deaf.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent.Store(true)
	g.silent = &atomic.Bool{}
}

func (g *gate) pass(ctx context.Context, conn net.Conn, to string) {
	g.mu.Lock()
	silent := g.silent
	g.mu.Unlock()
	silent.Store(silent.Load() || g.deaf.Load())
	inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = inner.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { pump(inner, conn, silent) })
	both.Go(func() { pump(conn, inner, silent) })
	both.Wait()
}

// pump copies until an end closes; what comes while silent is lost.
func pump(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}
