package httpcall

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// socketOptions ends a connection whose data is not acknowledged in time; keep-alive probes rest while there is such data.
// Where the option is refused, the deadlines of calls remain.
func socketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// alive tells whether the other side has neither closed the idle connection nor sent anything on it.
func (c *conn) alive() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
