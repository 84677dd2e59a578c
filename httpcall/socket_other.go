//go:build !linux

package httpcall

import "syscall"

// socketOptions leaves connections with data that is not acknowledged to the deadlines of calls.
func socketOptions(_, _ string, _ syscall.RawConn) error { return nil }
