package entryhost

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestHeaderLimits checks that httpServer closes connections with an incomplete or too long header.
func TestHeaderLimits(t *testing.T) {
	d := &Daemon{settings: &pb.Settings{Limits: &pb.LimitSettings{
		HeaderTimeout: durationpb.New(100 * time.Millisecond), MaxHeaderBytes: 4096,
	}}}
	server := d.httpServer(http.NotFoundHandler())
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	tests := []struct{ sent, status string }{
		{"GET / HTTP/1.1\r\nHost: a\r\n", ""}, // the rest of the header is never sent
		{"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16384) + "\r\n\r\n", "HTTP/1.1 431"},
		{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "HTTP/1.1 404"},
	}
	for _, test := range tests {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, test.sent)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer, _ := io.ReadAll(conn) // the connection may also be reset
		assert.Assert(t, strings.HasPrefix(string(answer), test.status), "%s", answer)
		assert.Assert(t, test.status != "" || len(answer) == 0 || strings.Contains(string(answer), "408"), "%s", answer)
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, !isTimeout(err), "the server kept the connection")
		_ = conn.Close()
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
