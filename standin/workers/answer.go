package workers

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/agateturn/agateturn/wait"
)

const (
	requestIDHeader = "Agateturn-Request-Id"
	workerHeader    = "Agateturn-Worker"
	// defaultSize and maxSize are the default and the largest size of an answer's body, in bytes.
	defaultSize = 64
	maxSize     = 64 << 20
	// lateAnswerDelay is the delay between an answer and its late repetition.
	lateAnswerDelay = time.Millisecond
	// streamPeriod is the time between two lines of a streamed session.
	streamPeriod = time.Second
)

// Faults configures the faults of a worker. The zero value is a healthy worker.
type Faults struct {
	// Late sends each answer again a millisecond later.
	Late bool `json:"late,omitempty"`
	// Twice sends each answer twice at once.
	Twice bool `json:"twice,omitempty"`
	// Crossed sends the answer that belongs to the previous request.
	Crossed bool `json:"crossed,omitempty"`
	// Cut closes the connection in the middle of the answer's body.
	Cut bool `json:"cut,omitempty"`
	// WrongLength declares half of the answer's length in Content-Length.
	WrongLength bool `json:"wrongLength,omitempty"`
	// HangAfterHeader sends the header and no body.
	HangAfterHeader bool `json:"hangAfterHeader,omitempty"`
	// CloseAfterRead runs the request and closes the connection without an answer.
	CloseAfterRead bool `json:"closeAfterRead,omitempty"`
	// FailFast answers 500 at once.
	FailFast bool `json:"failFast,omitempty"`
	// Frozen accepts connections and reads nothing until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// Share is the share of requests that are affected; 0 means all. Frozen affects all.
	Share float64 `json:"share,omitempty"`
}

// Body returns the body of the answer to a request: size bytes that are unique to the request id.
func Body(requestID string, size int) []byte {
	line := StreamLine(requestID)
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// StreamLine returns one line of a streamed session.
func StreamLine(requestID string) []byte {
	sum := sha256.Sum256([]byte(requestID))
	return append(hex.AppendEncode(nil, sum[:]), '\n')
}

// exchange is one request at a worker.
type exchange struct {
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	faults  Faults
	lastID  string
	worker  string
	// free is called immediately before the write that completes the answer, since the client may send its next request
	// as soon as it has read that write. complete is false if the answer is cut.
	free func(complete bool)
}

// answer writes the answer; an error closes the connection.
func (ex *exchange) answer(alive context.Context) error {
	id := ex.request.Header.Get(requestIDHeader)
	if ex.faults.Crossed {
		id = ex.lastID
	}
	query := ex.request.URL.Query()
	if ex.request.Header.Get("Upgrade") != "" {
		return ex.upgrade(id)
	}
	if seconds, err := strconv.Atoi(query.Get("stream")); err == nil && !ex.faults.FailFast {
		return ex.stream(alive, id, seconds)
	}
	size, err := strconv.Atoi(query.Get("size"))
	if err != nil {
		size = defaultSize
	}
	size = min(max(size, 0), maxSize)
	if ex.faults.FailFast {
		return ex.write(alive, http.StatusInternalServerError, id, []byte("failed\n"))
	}
	return ex.write(alive, http.StatusOK, id, Body(id, size))
}

// head returns an answer's header without the blank line that ends it.
func (ex *exchange) head(status int, id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n",
		status, http.StatusText(status), requestIDHeader, id, workerHeader, ex.worker)
	if ex.request.Close && status != http.StatusSwitchingProtocols {
		head += "Connection: close\r\n"
	}
	return head
}

// write writes an answer of known length, with the configured faults.
func (ex *exchange) write(alive context.Context, status int, id string, body []byte) error {
	length := len(body)
	if ex.faults.WrongLength {
		length /= 2
	}
	head := ex.head(status, id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	if ex.faults.HangAfterHeader {
		return ex.hang(alive, head)
	}
	message := append([]byte(head), body...)
	if ex.faults.Cut {
		message = message[:len(message)-(len(body)+1)/2]
	}
	if ex.faults.Twice {
		message = append(message, message...)
	}
	ex.free(!ex.faults.Cut)
	if _, err := ex.conn.Write(message); err != nil {
		return err
	}
	if ex.faults.Cut {
		return errClose
	}
	if ex.faults.Late {
		_ = wait.For(alive, lateAnswerDelay)
		_, err := ex.conn.Write(message)
		return err
	}
	return nil
}

// hang writes the header and waits until the worker goes down or the connection is closed.
func (ex *exchange) hang(alive context.Context, head string) error {
	if _, err := io.WriteString(ex.conn, head); err != nil {
		return err
	}
	// The read returns when either side closes the connection.
	_, _ = ex.reader.ReadByte()
	if err := alive.Err(); err != nil {
		return err
	}
	return errClose
}

// stream writes one line per second.
func (ex *exchange) stream(alive context.Context, id string, seconds int) error {
	head := ex.head(http.StatusOK, id) + "Transfer-Encoding: chunked\r\n\r\n"
	if ex.faults.HangAfterHeader {
		return ex.hang(alive, head)
	}
	if _, err := io.WriteString(ex.conn, head); err != nil {
		return err
	}
	chunks := httputil.NewChunkedWriter(ex.conn)
	for i := range seconds {
		if ex.faults.Cut && i >= seconds/2 {
			return errClose
		}
		if _, err := chunks.Write(StreamLine(id)); err != nil {
			return err
		}
		if err := wait.For(alive, streamPeriod); err != nil {
			return err
		}
	}
	ex.free(true)
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(ex.conn, "\r\n")
	return err
}

// upgrade switches protocols and echoes all data until the client closes the connection.
func (ex *exchange) upgrade(id string) error {
	head := ex.head(http.StatusSwitchingProtocols, id) +
		fmt.Sprintf("Connection: Upgrade\r\nUpgrade: %s\r\n\r\n", ex.request.Header.Get("Upgrade"))
	if _, err := io.WriteString(ex.conn, head); err != nil {
		return err
	}
	if _, err := io.Copy(ex.conn, ex.reader); err != nil {
		return err
	}
	ex.request.Close = true
	return nil
}
