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

// newScriptedClient returns a client of a server that answers each request on a connection with the next text, and closes
// the connection after the last one.
func newScriptedClient(t *testing.T, answers ...string) *httpcall.Client {
	t.Helper()
	client := httpcall.New(startScriptedServer(t, answers...), 1, nil)
	t.Cleanup(client.Close)
	return client
}

// startScriptedServer starts the server that newScriptedClient describes and returns its address.
func startScriptedServer(t *testing.T, answers ...string) string {
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
			go serveScript(conn, answers)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, answers []string) {
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

// TestAnswerForms reads answers in the forms that HTTP/1.1 allows, in two consecutive calls each.
func TestAnswerForms(t *testing.T) {
	tests := map[string]string{
		"plain":   plainAnswer,
		"last":    lastAnswer,
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + plainAnswer,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			client := newScriptedClient(t, answer, answer)
			for range 2 {
				got, err := client.Do(context.Background(), get(longTimeout))
				assert.NilError(t, err)
				assert.Equal(t, string(got.Body), "ok")
			}
		})
	}
}

// TestMalformedAnswers checks that malformed answers give an error, and that the next call uses a new connection.
func TestMalformedAnswers(t *testing.T) {
	tests := map[string]string{
		"no HTTP":               "hello\r\n\r\n",
		"endless header":        "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10),
		"only interim":          strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20),
		"shorter than declared": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			client := newScriptedClient(t, answer)
			for range 2 {
				got, err := client.Do(context.Background(), get(longTimeout))
				assert.Assert(t, err != nil && got.Sent && got.Status == 0, "%v %+v", err, got)
			}
		})
	}
}

// TestClosedWhileIdle guards against failing a POST request, which cannot be repeated, because the server closed the idle
// connection: the client must detect that before the call and open a new one.
func TestClosedWhileIdle(t *testing.T) {
	client := newScriptedClient(t, plainAnswer)
	for i := range 3 {
		got, err := client.Do(context.Background(), request("/", longTimeout))
		assert.NilError(t, err, "call %d", i)
		assert.Equal(t, got.Status, http.StatusOK)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if client.IdleConnectionsEnded() {
				return poll.Success()
			}
			return poll.Continue("the server has not closed the connection yet")
		})
	}
}

// TestHeadersCannotBeForged guards against header injection by values with control characters.
func TestHeadersCannotBeForged(t *testing.T) {
	client := newScriptedClient(t, plainAnswer, plainAnswer)
	r := request("/", longTimeout)
	r.Header = http.Header{"Expect-Instance": {"w1\r\nX: y"}}
	got, err := client.Do(context.Background(), r)
	assert.Assert(t, err != nil && !got.Sent, fmt.Sprint(err))
	r.Header = http.Header{"Expect-Instance": {"w1"}}
	_, err = client.Do(context.Background(), r)
	assert.NilError(t, err)
}
