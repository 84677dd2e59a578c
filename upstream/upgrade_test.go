package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echoUpgraded switches protocols, echoes the input until its end, and then sends a farewell.
func echoUpgraded(_ *rawWorker, conn net.Conn) {
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n"+
		RequestIDHeader+": "+request.Header.Get(RequestIDHeader)+"\r\n\r\nhello ")
	_, _ = io.Copy(conn, reader)
	_, _ = io.WriteString(conn, " farewell")
}

// openSession upgrades a caller's connection and sends the first bytes of the session together with the header.
func openSession(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: e\r\nCaller-Id: r\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nearly")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil) //nolint:bodyclose // A 101 response has no body.
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusSwitchingProtocols)
	assert.Equal(t, resp.Header.Get("Upgrade"), "echo")
	return conn, reader
}

// TestPlannedStopWaitsForUpgradedSessions checks that Client.Wait waits for upgraded sessions, unlike
// http.Server.Shutdown.
func TestPlannedStopWaitsForUpgradedSessions(t *testing.T) {
	worker := startWorker(t, echoUpgraded)
	client := New(Options{BodyIdleTimeout: time.Nanosecond}) // does not apply to sessions
	entry := startEntry(t, client, worker.address, relayOrAbort)
	caller, reader := openSession(t, entry.Listener.Addr().String())

	assert.NilError(t, entry.Config.Shutdown(t.Context()), "Shutdown must not wait for the session")
	ended, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(client.Wait(ended), context.DeadlineExceeded), "Wait must wait for the session")
	assert.Equal(t, client.Active(), 1)

	_, err := io.WriteString(caller, strings.Repeat(" more", 10_000))
	assert.NilError(t, err)
	assert.NilError(t, caller.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(reader)
	assert.NilError(t, err)
	want := "hello early" + strings.Repeat(" more", 10_000) + " farewell"
	assert.Assert(t, string(got) == want, "%d bytes of %d, the last ones %q", len(got), len(want), got[max(0, len(got)-20):])
	assert.NilError(t, client.Wait(t.Context()))
}

// TestSessionsEndOnBothSides checks that a session ends on both sides if the caller's connection is reset or the exchange's
// context ends.
func TestSessionsEndOnBothSides(t *testing.T) {
	for _, reset := range []bool{true, false} {
		workerEnded := make(chan struct{})
		worker := startWorker(t, func(w *rawWorker, conn net.Conn) {
			defer close(workerEnded)
			echoUpgraded(w, conn)
		})
		client := New(Options{})
		ctx, cancel := context.WithCancel(t.Context())
		entry := startEntry(t, client, worker.address, relayOrAbort)
		entry.Config.Handler = withContext(ctx, entry.Config.Handler)
		caller, reader := openSession(t, entry.Listener.Addr().String())
		if reset {
			assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
			assert.NilError(t, caller.Close())
		} else {
			cancel()
			_, _ = io.ReadAll(reader)
		}
		<-workerEnded
		assert.NilError(t, client.Wait(t.Context()))
		cancel()
	}
}

func withContext(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(w, r.WithContext(ctx)) })
}
