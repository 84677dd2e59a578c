//go:build !linux

package httpcall

import "syscall"

// socketOptions sets no options: only the deadlines of calls apply to connections with unacknowledged data.
func socketOptions(_, _ string, _ syscall.RawConn) error { return nil }

// alive always returns true: only the next call detects a connection that was closed while idle.
func (c *conn) alive() bool { return true }
