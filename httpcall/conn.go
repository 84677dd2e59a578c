package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxInformational bounds the interim answers before the final one.
const maxInformational = 4

// longPast interrupts a connection.
var longPast = time.Unix(1, 0)

// readers and requests are buffers of connections that are not in use.
var (
	readers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	requests = sync.Pool{New: func() any { return new([]byte) }}
)

// volume counts the bytes of a call.
type volume struct{ sent, received int64 }

// conn is a connection for one call at a time.
type conn struct {
	net.Conn
	// volume is that of the call under way.
	volume *volume
	// Each byte of the answer extends the call by pace until last; pace 0 does not.
	pace time.Duration
	last time.Time
	// interrupted tells that the call was ended from outside.
	interrupted atomic.Bool
	idleSince   time.Time
	// used: it has carried a call before. heard: a byte of the present answer has come.
	used, heard bool
	// left bounds what is read until the header of the answer has ended; negative for no bound.
	left int
}

// interrupt ends the call under way.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.SetDeadline(longPast)
}

// grant lets the answer to a call take longer while bytes come.
func (c *conn) grant(ctx context.Context, r *Request) {
	c.pace = 0
	if r.Longest <= r.Timeout {
		return
	}
	c.pace = r.Timeout
	c.last = time.Now().Add(r.Longest)
	if end, ok := ctx.Deadline(); ok && end.Before(c.last) {
		c.last = end
	}
}

// extend follows from bytes that came. An interruption stands.
func (c *conn) extend() {
	next := time.Now().Add(c.pace)
	if next.After(c.last) {
		next = c.last
	}
	_ = c.SetReadDeadline(next)
	if c.interrupted.Load() {
		_ = c.SetDeadline(longPast)
	}
}

func (c *conn) close() { _ = c.Close() }

// Read notes that the answer has begun and bounds its header.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeaderTooLong
	}
	if c.left > 0 && len(p) > c.left {
		p = p[:c.left]
	}
	n, err := c.Conn.Read(p)
	c.volume.received += int64(n)
	c.heard = c.heard || n > 0
	if c.pace > 0 && n > 0 {
		c.extend()
	}
	if c.left > 0 {
		c.left -= n
	}
	return n, err
}

// roundTrip makes one call. keep tells whether the connection can carry another one.
func (c *conn) roundTrip(host string, r *Request) (got Answer, keep bool, err error) {
	buffer := requests.Get().(*[]byte)
	defer requests.Put(buffer)
	*buffer, err = appendRequest((*buffer)[:0], host, r)
	if err != nil {
		return got, true, err
	}
	got.Sent = true
	n, err := c.Write(*buffer)
	c.volume.sent += int64(n)
	if err != nil {
		return got, false, err
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(c)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	c.left = maxHeaderBytes
	resp, err := readHeader(reader, r.Method) //nolint:bodyclose // it is read to its end, or the connection is closed
	if err != nil {
		return got, false, err
	}
	c.left = -1
	body, err := readBody(resp, r.Limit)
	if err != nil {
		return got, false, err
	}
	got.Status, got.Body = resp.StatusCode, body
	return got, !resp.Close && reader.Buffered() == 0, nil
}

// readHeader passes over interim answers.
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	resp, err := http.ReadResponse(reader, request)
	for range maxInformational {
		if err != nil || resp.StatusCode >= http.StatusOK {
			break
		}
		resp, err = http.ReadResponse(reader, request)
	}
	if err == nil && resp.StatusCode < http.StatusOK {
		return nil, errInterim
	}
	return resp, err
}

// readBody trusts the announced length only as far as presizedBytes.
func readBody(resp *http.Response, limit int) ([]byte, error) {
	if resp.ContentLength > int64(limit) {
		return nil, ErrTooLong
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= presizedBytes {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, ErrTooLong
	}
	return body, err
}

func appendRequest(b []byte, host string, r *Request) ([]byte, error) {
	b = append(append(append(b, r.Method...), ' '), r.Path...)
	if r.Query != "" {
		b = append(append(b, '?'), r.Query...)
	}
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	for name, values := range r.Header {
		for _, value := range values {
			if !plain(name) || !plain(value) {
				return b, errHeaderValue
			}
			b = append(append(append(append(b, "\r\n"...), name...), ": "...), value...)
		}
	}
	if r.Body != nil {
		b = append(b, "\r\nContent-Type: application/json"...)
	}
	if r.Body != nil || r.Method != http.MethodGet {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	}
	return append(append(b, "\r\n\r\n"...), r.Body...), nil
}

// plain tells whether a text may stand in a header.
func plain(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
