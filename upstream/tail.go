package upstream

import (
	"bytes"
	"errors"
	"time"
)

var errSurplus = errors.New("the answer is longer than it declares, so its end is not known")

// undeclared is the length of a body that declares none.
const undeclared = -1

// answerStart is what every answer begins with. Surplus that begins so is the answer sent twice.
var answerStart = []byte("HTTP/1.")

// tail finds the bytes that follow an answer of declared length on its connection.
//
// Until the header has been parsed it keeps every byte read, which the
// transport's bound on headers limits; afterwards it keeps the first surplus
// bytes only.
type tail struct {
	head    []byte // what was read until expect
	settled bool
	left    int64 // body bytes not yet read, or undeclared
	surplus []byte
}

// add notes bytes read from the connection.
func (t *tail) add(p []byte) {
	if !t.settled {
		t.head = append(t.head, p...)
		return
	}
	if t.left == undeclared {
		return
	}
	used := min(t.left, int64(len(p)))
	t.left -= used
	t.addSurplus(p[used:])
}

func (t *tail) addSurplus(p []byte) {
	room := len(answerStart) - len(t.surplus)
	t.surplus = append(t.surplus, p[:min(room, len(p))]...)
}

// expect sets the length of the body that follows the header of the final answer, which interim others preceded.
func (t *tail) expect(length int64, interim int) {
	head := t.head
	t.head = nil
	t.settled = true
	t.left = length
	if length == undeclared {
		return
	}
	for range interim + 1 {
		head = head[headerEnd(head):]
	}
	t.add(head)
}

// headerEnd returns the offset behind the first blank line, which ends with or without a carriage return.
func headerEnd(p []byte) int {
	for at := 0; at < len(p); {
		line := bytes.IndexByte(p[at:], '\n')
		if line < 0 {
			break
		}
		blank := line == 0 || line == 1 && p[at] == '\r'
		at += line + 1
		if blank {
			return at
		}
	}
	return len(p)
}

// wrong reports whether the surplus shows that the declared length was wrong.
func (t *tail) wrong() bool {
	return !bytes.HasPrefix(answerStart, t.surplus)
}

// expect tells the length of the body that follows the answer's header.
func (c *conn) expect(length int64) {
	c.ex.mu.Lock()
	interim := c.ex.interim
	c.ex.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail.expect(length, interim)
}

// checkSurplus waits until the worker closes the connection, but no longer than wait, and
// returns an error if anything but a second answer follows the declared length.
func (c *conn) checkSurplus(wait time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The transport is done with the connection: the body has been read.
	c.closed = true
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	var more [16]byte
	for len(c.tail.surplus) < len(answerStart) {
		n, err := c.Conn.Read(more[:])
		c.tail.add(more[:n])
		if err != nil {
			break
		}
	}
	if c.tail.wrong() {
		return errSurplus
	}
	return nil
}
