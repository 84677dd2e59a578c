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

// maxInterim is the largest number of 1xx answers accepted before the final one.
const maxInterim = 4

// expiredDeadline is a deadline that interrupts all reads and writes of a connection.
var expiredDeadline = time.Unix(1, 0)

// readers and requests pool the read and write buffers of connections.
var (
	readers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	requests = sync.Pool{New: func() any { return new([]byte) }}
)

// byteCounts is the number of bytes that a call has sent and received.
type byteCounts struct{ sent, received int64 }

// conn is a connection that carries one call at a time.
type conn struct {
	net.Conn
	// number counts the connections of the pool in the order in which they were opened, from 1.
	number int64
	// latestKnown is Answer.Connection for the call in progress.
	latestKnown int64
	// byteCounts belongs to the call in progress.
	byteCounts *byteCounts
	// Each read of the answer moves the read deadline to maxGap from now, but not beyond latestDeadline. With a maxGap
	// of 0 the deadline is fixed.
	maxGap         time.Duration
	latestDeadline time.Time
	// interrupted is set when the context of the call has ended.
	interrupted atomic.Bool
	idleSince   time.Time
	// reused is set if the connection has carried a call before, answerStarted once a byte of the current answer has
	// been read.
	reused, answerStarted bool
	// headerBytesLeft is the number of bytes that may still be read before the end of the answer's header; negative
	// means no limit.
	headerBytesLeft int
}

// interrupt ends the call in progress.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.SetDeadline(expiredDeadline)
}

// allowLonger allows the answer to take up to r.MaxTimeout while bytes keep arriving.
func (c *conn) allowLonger(ctx context.Context, r *Request) {
	c.maxGap = 0
	if r.MaxTimeout <= r.Timeout {
		return
	}
	c.maxGap = r.Timeout
	c.latestDeadline = time.Now().Add(r.MaxTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(c.latestDeadline) {
		c.latestDeadline = end
	}
}

// extend moves the read deadline after a read. If the call was interrupted in the meantime, it sets
// expiredDeadline again, which SetReadDeadline may have overwritten.
func (c *conn) extend() {
	next := time.Now().Add(c.maxGap)
	if next.After(c.latestDeadline) {
		next = c.latestDeadline
	}
	_ = c.SetReadDeadline(next)
	if c.interrupted.Load() {
		_ = c.SetDeadline(expiredDeadline)
	}
}

func (c *conn) close() { _ = c.Close() }

// Read implements net.Conn. It counts the bytes, extends the deadline and limits the size of the answer's header.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLong
	}
	if c.headerBytesLeft > 0 && len(p) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(p)
	c.byteCounts.received += int64(n)
	c.answerStarted = c.answerStarted || n > 0
	if c.maxGap > 0 && n > 0 {
		c.extend()
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	return n, err
}

// roundTrip makes one call. It returns in keep whether the connection can carry another one.
func (c *conn) roundTrip(host string, r *Request) (got Answer, keep bool, err error) {
	buffer := requests.Get().(*[]byte)
	defer requests.Put(buffer)
	*buffer, err = appendRequest((*buffer)[:0], host, r)
	if err != nil {
		return got, true, err
	}
	got.Sent = true
	n, err := c.Write(*buffer)
	c.byteCounts.sent += int64(n)
	if err != nil {
		return got, false, err
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(c)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	c.headerBytesLeft = maxHeaderBytes
	resp, err := readHeader(reader, r.Method) //nolint:bodyclose // the body is read to its end, or the connection is closed
	if err != nil {
		return got, false, err
	}
	c.headerBytesLeft = -1
	body, err := readBody(resp, r.Limit)
	if err != nil {
		return got, false, err
	}
	got.Status, got.Body = resp.StatusCode, body
	return got, !resp.Close && reader.Buffered() == 0, nil
}

// readHeader reads the header of the final answer and skips 1xx answers.
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	resp, err := http.ReadResponse(reader, request)
	for range maxInterim {
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

// readBody reads a body of at most limit bytes. It allocates memory by the declared length only up to presizedBytes.
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
			if !isHeaderText(name) || !isHeaderText(value) {
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

// isHeaderText reports whether a text is free of control characters, so that it can be written into a header.
func isHeaderText(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
