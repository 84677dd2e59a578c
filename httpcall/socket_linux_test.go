package httpcall

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestSocketOptions checks the socket options that the kernel reports for a client's connection.
func TestSocketOptions(t *testing.T) {
	server := httptest.NewServer(nil)
	t.Cleanup(server.Close)
	client := New(server.URL, 1, nil)
	conn, err := client.conns.get(context.Background(), time.Now().Add(time.Minute), 0)
	assert.NilError(t, err)
	defer conn.close()
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 3000, unix.TCP_KEEPIDLE: 2, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3} {
		err := raw.Control(func(fd uintptr) {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			assert.NilError(t, err)
			assert.Equal(t, got, want, "option %d", option)
		})
		assert.NilError(t, err)
	}
}
