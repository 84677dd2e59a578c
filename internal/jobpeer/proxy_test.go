package jobpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// stallingProxy forwards connections to a member and can stall them: a stalled connection stays open but carries no data.
type stallingProxy struct {
	address string
	// stallNew stalls new connections as well.
	stallNew atomic.Bool

	mu sync.Mutex
	// stalled is the switch of the connections opened since the last call of stall.
	stalled *atomic.Bool
}

func newStallingProxy(t *testing.T, to string) *stallingProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &stallingProxy{address: listener.Addr().String(), stalled: &atomic.Bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() { p.handle(ctx, conn, to) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		open.Wait()
	})
	return p
}

// stall stalls all open connections without a reset. New ones work unless stallNew is set.
func (p *stallingProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled.Store(true)
	p.stalled = &atomic.Bool{}
}

func (p *stallingProxy) handle(ctx context.Context, conn net.Conn, to string) {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	stalled.Store(stalled.Load() || p.stallNew.Load())
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
	both.Go(func() { forward(inner, conn, stalled) })
	both.Go(func() { forward(conn, inner, stalled) })
	both.Wait()
}

// forward copies data until either end closes; data that arrives while stalled is dropped.
func forward(to, from net.Conn, stalled *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !stalled.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}
