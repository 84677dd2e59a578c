package httpcall_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/agateturn/agateturn/httpcall"
)

// raw answers each request on a connection with the next text, and closes the connection after the last one.
func raw(t *testing.T, answers ...string) *httpcall.Client {
	t.Helper()
	client := httpcall.New(answering(t, answers...), 1, nil)
	t.Cleanup(client.Close)
	return client
}

// answering returns the address of a listener that answers each request on a connection with the next text.
func answering(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, answers)
		}
	}()
	return listener.Addr().String()
}

func answerAll(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
	}
}

const (
	plainAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	lastAnswer  = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
)

func get(timeout time.Duration) httpcall.Request {
	return httpcall.Request{Name: "call", Method: http.MethodGet, Path: "/", Timeout: timeout, Limit: 64}
}

// TestForms reads answers in the forms that HTTP/1.1 allows, two calls after each other.
func TestForms(t *testing.T) {
	tests := map[string]string{
		"plain":   plainAnswer,
		"last":    lastAnswer,
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + plainAnswer,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			client := raw(t, answer, answer)
			for range 2 {
				got, err := client.Do(context.Background(), get(patience))
				assert.NilError(t, err)
				assert.Equal(t, string(got.Body), "ok")
			}
		})
	}
}

// TestOddAnswers reads what is no answer, and calls again on another connection.
func TestOddAnswers(t *testing.T) {
	tests := map[string]string{
		"no HTTP":              "hello\r\n\r\n",
		"endless header":       "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10),
		"only interim":         strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20),
		"shorter than it says": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			client := raw(t, answer)
			for range 2 {
				got, err := client.Do(context.Background(), get(patience))
				assert.Assert(t, err != nil && got.Sent && got.Status == 0, "%v %+v", err, got)
			}
		})
	}
}

// TestClosedWhileIdle finds before a call that the other side has closed the idle connection: an order is sent once, on
// another one.
func TestClosedWhileIdle(t *testing.T) {
	client := raw(t, plainAnswer)
	for i := range 3 {
		got, err := client.Do(context.Background(), request("/", patience))
		assert.NilError(t, err, "call %d", i)
		assert.Equal(t, got.Status, http.StatusOK)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if client.IdleConnectionsEnded() {
				return poll.Success()
			}
			return poll.Continue("the other side has not closed yet")
		})
	}
}

// TestHeadersCannotBeForged refuses values that would end the header field.
func TestHeadersCannotBeForged(t *testing.T) {
	client := raw(t, plainAnswer, plainAnswer)
	r := request("/", patience)
	r.Header = http.Header{"Expect-Instance": {"w1\r\nX: y"}}
	got, err := client.Do(context.Background(), r)
	assert.Assert(t, err != nil && !got.Sent, fmt.Sprint(err))
	r.Header = http.Header{"Expect-Instance": {"w1"}}
	_, err = client.Do(context.Background(), r)
	assert.NilError(t, err)
}
