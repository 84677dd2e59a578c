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

// smallLimits are limits that a test reaches quickly.
const smallLimits = `
[limits]
max_body_bytes = 65536
max_header_bytes = 8192
header_timeout = 500ms
body_timeout = 1s
`

// rejectionBound is the time within which a faulty request must be answered or closed: header_timeout and body_timeout, and
// as much again for a busy machine.
const rejectionBound = 3 * time.Second

// sendRaw sends parts on a new connection, half a second apart, and returns the status and the text of the answer. The status
// is 0 if the connection was closed without an answer.
func sendRaw(t *testing.T, address string, parts ...string) (status int, text string) {
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
	_ = conn.SetReadDeadline(time.Now().Add(rejectionBound + time.Duration(len(parts))*500*time.Millisecond))
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

// request returns a caller's request with additional header lines and a body.
func request(header, body string) string {
	return "POST /v1/services/left/job HTTP/1.1\r\nHost: entry\r\nAgateturn-Team: orders\r\n" + header + "\r\n" + body
}

// faultyInput is an input and its expected status.
type faultyInput struct {
	status int
	parts  []string
}

func (c *cluster) assertRunning(number int) {
	c.t.Helper()
	select {
	case <-c.entries[number].exited:
		c.t.Fatalf("entry-%d has exited", number)
	default:
	}
}

// assertServes checks that a valid request is answered.
func (c *cluster) assertServes(number int) {
	c.t.Helper()
	status, text := sendRaw(c.t, c.entries[number].at(7000), request("Content-Length: 2\r\n", "ok"))
	assert.Equal(c.t, status, http.StatusOK, text)
}

// assertRejects sends each faulty input to a listener, followed by a valid request to the callers' listener, and checks that
// only the valid requests reach the workers.
func (c *cluster) assertRejects(port int, inputs map[string]faultyInput) {
	c.t.Helper()
	for name, input := range inputs {
		c.t.Logf("port %d: %s", port, name)
		before := c.workers.Counts().Requests
		status, text := sendRaw(c.t, c.entries[1].at(port), input.parts...)
		c.assertRunning(1)
		c.assertServes(1)
		if status != input.status {
			c.t.Errorf("%s: %d %s, want %d", name, status, text, input.status)
		}
		if ran := c.workers.Counts().Requests - before; ran != 1 {
			c.t.Errorf("%s: %d requests at the workers, want only the valid one", name, ran)
		}
	}
}

// atOnce returns a faulty input that is sent in one part.
func atOnce(status int, text string) faultyInput {
	return faultyInput{status: status, parts: []string{text}}
}

// withHeader returns a request that is valid except for the given header lines.
func withHeader(lines string) faultyInput {
	return atOnce(http.StatusBadRequest, request(lines+"Content-Length: 2\r\n", "ok"))
}

func slowly(status int, first string, n int) faultyInput {
	return faultyInput{status: status, parts: append([]string{first}, strings.Split(strings.Repeat("a", n), "")...)}
}

func TestFaultyInput(t *testing.T) {
	c := newClusterWith(t, 2, smallLimits)
	chunked := "Transfer-Encoding: chunked\r\n"
	c.assertRejects(7000, map[string]faultyInput{
		"no HTTP":               atOnce(http.StatusBadRequest, "\x16\x03\x01 hello\r\n\r\n"),
		"huge header":           atOnce(http.StatusRequestHeaderFieldsTooLarge, request("X-Fill: "+strings.Repeat("a", 20000)+"\r\n", "")),
		"slow header":           slowly(0, "POST /v1/services/left/job HTTP/1.1\r\nX-Slow: ", 4),
		"huge body":             atOnce(http.StatusRequestEntityTooLarge, request("Content-Length: 70000\r\n", strings.Repeat("a", 70000))),
		"huge body announced":   atOnce(http.StatusRequestEntityTooLarge, request("Content-Length: 9223372036854775807\r\n", "a")),
		"huge body in chunks":   atOnce(http.StatusRequestEntityTooLarge, request(chunked, "11170\r\n"+strings.Repeat("a", 70000)+"\r\n0\r\n\r\n")),
		"slow body":             slowly(http.StatusRequestTimeout, request("Content-Length: 100\r\n", ""), 6),
		"rejected, slow body":   slowly(http.StatusForbidden, strings.Replace(request("Content-Length: 100\r\n", ""), "orders", "nobody", 1), 6),
		"chunk without size":    atOnce(http.StatusBadRequest, request(chunked, "zz\r\nok\r\n0\r\n\r\n")),
		"chunk of huge size":    atOnce(http.StatusBadRequest, request(chunked, "fffffffffffffffff\r\nok\r\n0\r\n\r\n")),
		"unknown encoding":      atOnce(http.StatusNotImplemented, request("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")),
		"negative length":       atOnce(http.StatusBadRequest, request("Content-Length: -1\r\n", "ok")),
		"length is no number":   atOnce(http.StatusBadRequest, request("Content-Length: two\r\n", "ok")),
		"two lengths":           atOnce(http.StatusBadRequest, request("Content-Length: 2\r\nContent-Length: 3\r\n", "oki")),
		"negative timeout":      withHeader("Agateturn-Timeout: -5s\r\n"),
		"overflowing timeout":   withHeader("Agateturn-Timeout: 99999999999999999999h\r\n"),
		"timeout of centuries":  withHeader("Agateturn-Timeout: 2562047h\r\n"),
		"timeout without unit":  withHeader("Agateturn-Timeout: 5\r\n"),
		"two timeouts":          withHeader("Agateturn-Timeout: 5s\r\nAgateturn-Timeout: 6s\r\n"),
		"unknown class":         withHeader("Agateturn-Class: royal\r\n"),
		"key with control byte": withHeader("Idempotency-Key: a\x01b\r\n"),
		"key with tab":          withHeader("Idempotency-Key: a\tb\r\n"),
		"key that is no text":   withHeader("Idempotency-Key: a\xff\r\n"),
		"long key":              withHeader("Idempotency-Key: " + strings.Repeat("k", 129) + "\r\n"),
		"empty key":             withHeader("Idempotency-Key:\r\n"),
		"two keys":              withHeader("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
		"id that is no text":    withHeader("Agateturn-Request-Id: a\xff\r\n"),
		"unknown team":          atOnce(http.StatusForbidden, strings.Replace(request("Content-Length: 0\r\n", ""), "orders", "nobody", 1)),
	})
	c.assertRejects(7001, map[string]faultyInput{
		"no HTTP":          atOnce(http.StatusBadRequest, "hello\r\n\r\n"),
		"huge header":      atOnce(http.StatusRequestHeaderFieldsTooLarge, peerRequest("X-Fill: "+strings.Repeat("a", 20000)+"\r\n", "")),
		"slow header":      slowly(0, "POST /x HTTP/1.1\r\nX-Slow: ", 4),
		"no protobuf":      atOnce(http.StatusBadRequest, peerRequest("Content-Type: application/proto\r\nContent-Length: 4\r\n", "\xff\xff\xff\xff")),
		"no JSON":          atOnce(http.StatusBadRequest, peerRequest("Content-Type: application/json\r\nContent-Length: 4\r\n", "{\"a\"")),
		"huge message":     atOnce(http.StatusTooManyRequests, peerRequest("Content-Type: application/proto\r\nContent-Length: 5000000\r\n", strings.Repeat("a", 5000000))),
		"no gzip":          atOnce(http.StatusBadRequest, peerRequest("Content-Type: application/proto\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n", "abcd")),
		"unknown encoding": atOnce(http.StatusUnsupportedMediaType, peerRequest("Content-Type: text/plain\r\nContent-Length: 2\r\n", "ok")),
		"slow body":        slowly(http.StatusGatewayTimeout, peerRequest("Content-Type: application/proto\r\nContent-Length: 100\r\n", ""), 8),
	})
	config := "PUT /v1/config HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nAuthorization: Bearer " + operatorToken + "\r\n"
	c.assertRejects(7002, map[string]faultyInput{
		"no HTTP":     atOnce(http.StatusBadRequest, "hello\r\n\r\n"),
		"huge header": atOnce(http.StatusRequestHeaderFieldsTooLarge, config+"X-Fill: "+strings.Repeat("a", 20000)+"\r\n\r\n"),
		"slow header": slowly(0, config+"X-Slow: ", 4),
		"no JSON":     atOnce(http.StatusBadRequest, config+"Content-Length: 4\r\n\r\n{\"a\""),
		"wrong types": atOnce(http.StatusUnprocessableEntity, config+"Content-Length: 24\r\n\r\n{\"base_generation\":-1.5}"),
		"huge body":   atOnce(http.StatusRequestEntityTooLarge, config+"Content-Length: 3000000\r\n\r\n"+strings.Repeat("a", 3000000)),
		"slow body":   slowly(http.StatusRequestTimeout, config+"Content-Length: 100\r\n\r\n", 8),
	})
	assert.Equal(t, c.status(1).Generation, uint64(1))
	c.awaitSettled(2)
}

// peerRequest returns a heartbeat call as a peer sends it.
func peerRequest(header, body string) string {
	return "POST /agateturn.v1.PeerService/Exchange HTTP/1.1\r\nHost: entry\r\n" + header + "\r\n" + body
}

// Unusual but valid requests are served exactly once: trailers, and a length that the transfer encoding overrides.
func TestUnusualInputIsServedOnce(t *testing.T) {
	c := newCluster(t, 2)
	for _, text := range []string{
		request("Transfer-Encoding: chunked\r\nTrailer: Agateturn-Class\r\n", "2\r\nok\r\n0\r\nAgateturn-Class: royal\r\n\r\n"),
		request("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "2\r\nok\r\n0\r\n\r\n"),
	} {
		before := c.workers.Counts().Requests
		status, answer := sendRaw(t, c.entries[1].at(7000), text)
		assert.Equal(t, status, http.StatusOK, answer)
		assert.Equal(t, c.workers.Counts().Requests-before, 1)
	}
}

// sendCredential sends a request with a credential and returns the status and the answer.
func sendCredential(t *testing.T, method, address, credential string) (status int, text string) {
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

// Every call of the operator API is rejected without the token, and each rejection is logged without the credential.
func TestOperatorAPIRequiresToken(t *testing.T) {
	c := newCluster(t, 2)
	address := "http://" + c.entries[1].at(7002)
	_, text := sendCredential(t, http.MethodGet, address+"/openapi.json", "")
	var document struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &document))
	assert.Assert(t, len(document.Paths) >= 5)
	const wrong = "wrong-operator-token"
	credentials := []string{"", "Bearer ", "Bearer " + wrong, "Basic " + operatorToken, operatorToken, "Bearer " + operatorToken + "x"}
	output := text
	rejected := 0
	for path, methods := range document.Paths {
		path = strings.NewReplacer("{host}", "w1", "{wave}", "wave").Replace(path)
		for method := range methods {
			for _, credential := range credentials {
				status, text := sendCredential(t, strings.ToUpper(method), address+path, credential)
				assert.Equal(t, status, http.StatusUnauthorized, "%s %s with %q", method, path, credential)
				output += text
				rejected++
			}
		}
	}
	for _, open := range []string{"/metrics", "/healthz", "/readyz"} {
		status, text := sendCredential(t, http.MethodGet, address+open, "")
		assert.Equal(t, status, http.StatusOK, open)
		output += text
	}
	for _, path := range []string{"/v1/config", "/v1/status"} {
		status, text := sendCredential(t, http.MethodGet, address+path, "Bearer "+operatorToken)
		assert.Equal(t, status, http.StatusOK, path)
		output += text
	}
	log, err := os.ReadFile(filepath.Join(c.dir, "entry-1.log"))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(log), "operator_refused"), rejected)
	for _, secret := range []string{operatorToken, wrong} {
		assert.Assert(t, !strings.Contains(string(log)+output, secret), "a token was disclosed")
	}
	status := c.status(1)
	assert.Equal(t, status.Generation, uint64(1))
	assert.Equal(t, lo.CountBy(status.Hosts, func(h operatorapi.HostStatus) bool { return h.Pool == "left" }), 4)
}
