package upstream

import (
	"bytes"
	"errors"
	"time"
)

var errSurplus = errors.New("the answer is longer than it declares, so its end is not known")

// undeclared is the length of a body without a declared length.
const undeclared = -1

// responsePrefix is the start of every response. Surplus bytes that start with it are a duplicated response.
var responsePrefix = []byte("HTTP/1.")

// tail finds the bytes that follow a response of declared length on its connection.
//
// Until the header has been parsed it keeps all bytes read, whose number the
// transport's limit on headers bounds. Afterwards it keeps only the first surplus
// bytes.
type tail struct {
	head         []byte // bytes read before expect
	headerParsed bool
	remaining    int64 // body bytes not yet read, or undeclared
	surplus      []byte
}

// add records bytes read from the connection.
func (t *tail) add(p []byte) {
	if !t.headerParsed {
		t.head = append(t.head, p...)
		return
	}
	if t.remaining == undeclared {
		return
	}
	used := min(t.remaining, int64(len(p)))
	t.remaining -= used
	t.addSurplus(p[used:])
}

func (t *tail) addSurplus(p []byte) {
	available := len(responsePrefix) - len(t.surplus)
	t.surplus = append(t.surplus, p[:min(available, len(p))]...)
}

// expect sets the body length of the final response, which follows the given number of interim responses.
func (t *tail) expect(length int64, interim int) {
	head := t.head
	t.head = nil
	t.headerParsed = true
	t.remaining = length
	if length == undeclared {
		return
	}
	for range interim + 1 {
		head = head[headerEnd(head):]
	}
	t.add(head)
}

// headerEnd returns the offset after the first blank line, which may end in CRLF or LF.
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

// lengthWrong reports whether there are surplus bytes that do not start a duplicated response: the declared length was wrong.
func (t *tail) lengthWrong() bool {
	return !bytes.HasPrefix(responsePrefix, t.surplus)
}

// expect sets the length of the body that follows the final response's header.
func (c *conn) expect(length int64) {
	c.ex.mu.Lock()
	interim := c.ex.interim
	c.ex.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail.expect(length, interim)
}

// checkSurplus waits up to wait for the worker to close the connection. It returns an error if anything other than a
// duplicated response follows the declared length.
func (c *conn) checkSurplus(wait time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The transport no longer reads from the connection, because the whole body has been read.
	c.closed = true
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	var more [16]byte
	for len(c.tail.surplus) < len(responsePrefix) {
		n, err := c.Conn.Read(more[:])
		c.tail.add(more[:n])
		if err != nil {
			break
		}
	}
	if c.tail.lengthWrong() {
		return errSurplus
	}
	return nil
}
