package proofs

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

// smallLimits are settings under which a bound is met soon.
const smallLimits = `
[limits]
max_body_bytes = 65536
max_header_bytes = 8192
header_timeout = 500ms
body_timeout = 1s
`

// answerBound is how long a faulty request may be left without its end: header_timeout and body_timeout, and as much
// again for a busy machine.
const answerBound = 3 * time.Second

// speak sends parts on a connection of their own, half a second apart, and returns the answer's status and text: 0 for
// a connection that was closed without an answer.
func speak(t *testing.T, address string, parts ...string) (status int, text string) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i, part := range parts {
			if i > 0 {
				time.Sleep(500 * time.Millisecond)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(answerBound + time.Duration(len(parts))*500*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "neither answered nor closed")
		return 0, ""
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	_ = conn.Close()
	<-sent
	return resp.StatusCode, string(body)
}

// ask is a caller's request with more header lines and a body.
func ask(header, body string) string {
	return "POST /v1/services/left/job HTTP/1.1\r\nHost: entry\r\nAgateturn-Team: orders\r\n" + header + "\r\n" + body
}

// faulty is one faulty input and the status that answers it.
type faulty struct {
	status int
	parts  []string
}

func (c *cluster) alive(number int) {
	c.t.Helper()
	select {
	case <-c.entries[number].exited:
		c.t.Fatalf("entry-%d has ended", number)
	default:
	}
}

// serves checks that a proper request is answered.
func (c *cluster) serves(number int) {
	c.t.Helper()
	status, text := speak(c.t, c.entries[number].at(7000), ask("Content-Length: 2\r\n", "ok"))
	assert.Equal(c.t, status, http.StatusOK, text)
}

// refuses sends each faulty input to a listener, a proper request to the callers' listener after it, and checks that the
// proper ones alone came to the workers.
func (c *cluster) refuses(port int, inputs map[string]faulty) {
	c.t.Helper()
	for name, input := range inputs {
		c.t.Logf("port %d: %s", port, name)
		before := c.workers.Counts().Requests
		status, text := speak(c.t, c.entries[1].at(port), input.parts...)
		c.alive(1)
		c.serves(1)
		if status != input.status {
			c.t.Errorf("%s: %d %s, want %d", name, status, text, input.status)
		}
		if ran := c.workers.Counts().Requests - before; ran != 1 {
			c.t.Errorf("%s: %d requests at the workers, want the proper one alone", name, ran)
		}
	}
}

// one is a faulty input sent at once.
func one(status int, text string) faulty { return faulty{status: status, parts: []string{text}} }

// header is a request that is whole but for the header lines.
func header(lines string) faulty {
	return one(http.StatusBadRequest, ask(lines+"Content-Length: 2\r\n", "ok"))
}

func slow(status int, first string, n int) faulty {
	return faulty{status: status, parts: append([]string{first}, strings.Split(strings.Repeat("a", n), "")...)}
}

func TestFaultyInput(t *testing.T) {
	c := newClusterWith(t, 2, smallLimits)
	chunked := "Transfer-Encoding: chunked\r\n"
	c.refuses(7000, map[string]faulty{
		"no HTTP":               one(http.StatusBadRequest, "\x16\x03\x01 hello\r\n\r\n"),
		"huge header":           one(http.StatusRequestHeaderFieldsTooLarge, ask("X-Fill: "+strings.Repeat("a", 20000)+"\r\n", "")),
		"slow header":           slow(0, "POST /v1/services/left/job HTTP/1.1\r\nX-Slow: ", 4),
		"huge body":             one(http.StatusRequestEntityTooLarge, ask("Content-Length: 70000\r\n", strings.Repeat("a", 70000))),
		"huge body announced":   one(http.StatusRequestEntityTooLarge, ask("Content-Length: 9223372036854775807\r\n", "a")),
		"huge body in chunks":   one(http.StatusRequestEntityTooLarge, ask(chunked, "11170\r\n"+strings.Repeat("a", 70000)+"\r\n0\r\n\r\n")),
		"slow body":             slow(http.StatusRequestTimeout, ask("Content-Length: 100\r\n", ""), 6),
		"refused, slow body":    slow(http.StatusForbidden, strings.Replace(ask("Content-Length: 100\r\n", ""), "orders", "nobody", 1), 6),
		"chunk without size":    one(http.StatusBadRequest, ask(chunked, "zz\r\nok\r\n0\r\n\r\n")),
		"chunk of huge size":    one(http.StatusBadRequest, ask(chunked, "fffffffffffffffff\r\nok\r\n0\r\n\r\n")),
		"unknown encoding":      one(http.StatusNotImplemented, ask("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")),
		"negative length":       one(http.StatusBadRequest, ask("Content-Length: -1\r\n", "ok")),
		"length is no number":   one(http.StatusBadRequest, ask("Content-Length: two\r\n", "ok")),
		"two lengths":           one(http.StatusBadRequest, ask("Content-Length: 2\r\nContent-Length: 3\r\n", "oki")),
		"negative timeout":      header("Agateturn-Timeout: -5s\r\n"),
		"overflowing timeout":   header("Agateturn-Timeout: 99999999999999999999h\r\n"),
		"timeout of centuries":  header("Agateturn-Timeout: 2562047h\r\n"),
		"timeout without unit":  header("Agateturn-Timeout: 5\r\n"),
		"two timeouts":          header("Agateturn-Timeout: 5s\r\nAgateturn-Timeout: 6s\r\n"),
		"unknown class":         header("Agateturn-Class: royal\r\n"),
		"key with control byte": header("Idempotency-Key: a\x01b\r\n"),
		"key with tab":          header("Idempotency-Key: a\tb\r\n"),
		"key that is no text":   header("Idempotency-Key: a\xff\r\n"),
		"long key":              header("Idempotency-Key: " + strings.Repeat("k", 129) + "\r\n"),
		"empty key":             header("Idempotency-Key:\r\n"),
		"two keys":              header("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
		"id that is no text":    header("Agateturn-Request-Id: a\xff\r\n"),
		"unknown team":          one(http.StatusForbidden, strings.Replace(ask("Content-Length: 0\r\n", ""), "orders", "nobody", 1)),
	})
	c.refuses(7001, map[string]faulty{
		"no HTTP":          one(http.StatusBadRequest, "hello\r\n\r\n"),
		"huge header":      one(http.StatusRequestHeaderFieldsTooLarge, exchange("X-Fill: "+strings.Repeat("a", 20000)+"\r\n", "")),
		"slow header":      slow(0, "POST /x HTTP/1.1\r\nX-Slow: ", 4),
		"no protobuf":      one(http.StatusBadRequest, exchange("Content-Type: application/proto\r\nContent-Length: 4\r\n", "\xff\xff\xff\xff")),
		"no JSON":          one(http.StatusBadRequest, exchange("Content-Type: application/json\r\nContent-Length: 4\r\n", "{\"a\"")),
		"huge message":     one(http.StatusTooManyRequests, exchange("Content-Type: application/proto\r\nContent-Length: 5000000\r\n", strings.Repeat("a", 5000000))),
		"no gzip":          one(http.StatusBadRequest, exchange("Content-Type: application/proto\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n", "abcd")),
		"unknown encoding": one(http.StatusUnsupportedMediaType, exchange("Content-Type: text/plain\r\nContent-Length: 2\r\n", "ok")),
		"slow body":        slow(http.StatusGatewayTimeout, exchange("Content-Type: application/proto\r\nContent-Length: 100\r\n", ""), 8),
	})
	config := "PUT /v1/config HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nAuthorization: Bearer " + operatorToken + "\r\n"
	c.refuses(7002, map[string]faulty{
		"no HTTP":     one(http.StatusBadRequest, "hello\r\n\r\n"),
		"huge header": one(http.StatusRequestHeaderFieldsTooLarge, config+"X-Fill: "+strings.Repeat("a", 20000)+"\r\n\r\n"),
		"slow header": slow(0, config+"X-Slow: ", 4),
		"no JSON":     one(http.StatusBadRequest, config+"Content-Length: 4\r\n\r\n{\"a\""),
		"wrong types": one(http.StatusUnprocessableEntity, config+"Content-Length: 24\r\n\r\n{\"base_generation\":-1.5}"),
		"huge body":   one(http.StatusRequestEntityTooLarge, config+"Content-Length: 3000000\r\n\r\n"+strings.Repeat("a", 3000000)),
		"slow body":   slow(http.StatusRequestTimeout, config+"Content-Length: 100\r\n\r\n", 8),
	})
	assert.Equal(t, c.status(1).Generation, uint64(1))
	c.awaitSettled(2)
}

// exchange is a heartbeat call as a peer would send it.
func exchange(header, body string) string {
	return "POST /agateturn.v1.PeerService/Exchange HTTP/1.1\r\nHost: entry\r\n" + header + "\r\n" + body
}

// What is unusual and right is served, once: trailers, a length that the encoding overrules.
func TestUnusualInputIsServedOnce(t *testing.T) {
	c := newCluster(t, 2)
	for _, text := range []string{
		ask("Transfer-Encoding: chunked\r\nTrailer: Agateturn-Class\r\n", "2\r\nok\r\n0\r\nAgateturn-Class: royal\r\n\r\n"),
		ask("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "2\r\nok\r\n0\r\n\r\n"),
	} {
		before := c.workers.Counts().Requests
		status, answer := speak(t, c.entries[1].at(7000), text)
		assert.Equal(t, status, http.StatusOK, answer)
		assert.Equal(t, c.workers.Counts().Requests-before, 1)
	}
}

// present sends a request with a credential and returns the status and the answer.
func present(t *testing.T, method, address, credential string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, address, strings.NewReader("{}"))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	if credential != "" {
		req.Header.Set("Authorization", credential)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, errors.Join(err, resp.Body.Close()))
	return resp.StatusCode, string(data)
}

// Every call of the operators' API is refused without the token, and each refusal is logged without what was presented.
func TestOnlyOperatorsOperate(t *testing.T) {
	c := newCluster(t, 2)
	address := "http://" + c.entries[1].at(7002)
	_, text := present(t, http.MethodGet, address+"/openapi.json", "")
	var document struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &document))
	assert.Assert(t, len(document.Paths) >= 5)
	const wrong = "wrong-operator-token"
	credentials := []string{"", "Bearer ", "Bearer " + wrong, "Basic " + operatorToken, operatorToken, "Bearer " + operatorToken + "x"}
	shown := text
	refused := 0
	for path, methods := range document.Paths {
		path = strings.NewReplacer("{host}", "w1", "{wave}", "wave").Replace(path)
		for method := range methods {
			for _, credential := range credentials {
				status, text := present(t, strings.ToUpper(method), address+path, credential)
				assert.Equal(t, status, http.StatusUnauthorized, "%s %s with %q", method, path, credential)
				shown += text
				refused++
			}
		}
	}
	for _, open := range []string{"/metrics", "/healthz", "/readyz"} {
		status, text := present(t, http.MethodGet, address+open, "")
		assert.Equal(t, status, http.StatusOK, open)
		shown += text
	}
	for _, path := range []string{"/v1/config", "/v1/status"} {
		status, text := present(t, http.MethodGet, address+path, "Bearer "+operatorToken)
		assert.Equal(t, status, http.StatusOK, path)
		shown += text
	}
	log, err := os.ReadFile(filepath.Join(c.dir, "entry-1.log"))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(log), "operator_refused"), refused)
	for _, secret := range []string{operatorToken, wrong} {
		assert.Assert(t, !strings.Contains(string(log)+shown, secret), "a token was shown")
	}
	status := c.status(1)
	assert.Equal(t, status.Generation, uint64(1))
	assert.Equal(t, lo.CountBy(status.Hosts, func(h operatorapi.HostStatus) bool { return h.Pool == "left" }), 4)
}
