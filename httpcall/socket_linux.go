package httpcall

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// socketOptions sets TCP_USER_TIMEOUT, which closes a connection whose data is not acknowledged in time: no keep-alive
// probes are sent while there is such data. If the kernel rejects the option, only the deadlines of calls apply.
func socketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// alive reports whether the server has neither closed the idle connection nor sent any data on it.
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
