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
