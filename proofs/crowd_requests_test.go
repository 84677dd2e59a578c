package proofs

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

const (
	// requestLimits let an entry host hold little: 8 MiB of bodies, and headers of 16 KiB on each connection.
	requestLimits = `
[limits]
max_requests = 512
max_body_bytes = 262144
max_held_bytes = 8388608
max_header_bytes = 16384
header_timeout = 2s
body_timeout = 2s
` + requestHeaderLimit
	// requestHeaderLimit is the setting that limits the memory of headers.
	requestHeaderLimit = "max_held_header_bytes = 4194304\n"

	// requestCrowd and operatorCrowd are numbers of connections below the limits of the listeners.
	requestCrowd  = 400
	operatorCrowd = 200
	// operatorBody is the size of a body within the limit of the operators' listener, which no setting lowers.
	operatorBody = 1 << 20
)

// requestListener is a listener of an entry host that serves requests.
type requestListener struct {
	name string
	port int
	// head is the beginning of a request's header.
	head   string
	crowds func(head string) []crowd
}

func requestListeners() []requestListener {
	open := func(request string) string { return strings.TrimSuffix(request, "\r\n") }
	return []requestListener{
		{"callers", 7000, open(request("", "")), callerCrowds},
		{
			"operators", 7002, "PUT /v1/config HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nAuthorization: Bearer " + operatorToken + "\r\n",
			func(head string) []crowd { return serviceCrowds(head, operatorCrowd, operatorBody) },
		},
		{
			"peers", 7001, open(peerRequest("Content-Type: application/proto\r\n", "")),
			func(head string) []crowd { return serviceCrowds(head, requestCrowd, legalBody-(4<<10)) },
		},
	}
}

func sender(text string) func(net.Conn, string) {
	return func(c net.Conn, _ string) { write(c, text) }
}

// chunked returns a request with a body of chunks that stops short of its end.
func chunked(head string, size, chunk int) string {
	return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(size, chunk)
}

// callerCrowds returns the crowds on the callers' listener. A request with a legal header leaves its body unfinished.
func callerCrowds(head string) []crowd {
	legal := func(lines string) string { return head + "Content-Length: 100\r\n" + lines + "\r\n{" }
	return []crowd{
		{"legal headers of short lines", requestCrowd, sender(legal(strings.Repeat("a:\r\n", legalHeader/4))), false},
		{"legal headers of distinct lines", requestCrowd, sender(legal(distinctLines(legalHeader))), false},
		{"large headers of distinct lines", requestCrowd, sender(head + distinctLines(240<<10) + "\r\n"), false},
		{"headers without end", requestCrowd, sender(head + "X: " + strings.Repeat("a", 2<<20)), false},
		{"folded lines", requestCrowd, sender(head + "a: b\r\n" + strings.Repeat(" c\r\n", 60_000)), false},
		{"empty lines without end", requestCrowd, sender(strings.Repeat("\r\n", 1<<20)), false},
		{"large chunks", requestCrowd, sender(chunked(head, legalBody-(4<<10), legalBody-(4<<10))), false},
		{"tiny chunks", requestCrowd, sender(chunked(head, legalBody-(4<<10), 1)), false},
	}
}

// serviceCrowds returns the crowds on the other listeners.
func serviceCrowds(head string, clients, body int) []crowd {
	return []crowd{
		{"unfinished headers of distinct lines", clients, sender(head + distinctLines(legalHeader)), false},
		{"headers without end", clients, sender(head + "X: " + strings.Repeat("a", 2<<20)), false},
		{"large chunks", clients, sender(chunked(head, body, body)), false},
	}
}

// pressOnce has each client of the crowd send its input, and stay until the entry host closes its connection or crowdTime has
// passed.
func (w *crowd) pressOnce(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var group sync.WaitGroup
	for range w.clients {
		group.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			w.send(c, "")
			_, _ = io.Copy(io.Discard, c)
		})
	}
	group.Wait()
}

// testRequestCrowd lets one crowd press on one listener of an entry host that serves requests.
func testRequestCrowd(t *testing.T, l *requestListener, w *crowd) {
	t.Helper()
	c := newClusterWith(t, 2, requestLimits)
	e := c.entries[1]
	w.pressOnce(t, e.at(l.port))
	checkProcess(t, e, w.clients)
	c.await("descriptors", func() bool { return descriptors(t, e) <= crowdDescriptors })
	c.await("an ordinary request", func() bool {
		status, _ := sendRaw(t, e.at(7000), request("Content-Length: 2\r\n", "ok"))
		return status == http.StatusOK
	})
	c.await("an operator's request", func() bool { return c.call(1, http.MethodGet, "/v1/status", nil, nil) == http.StatusOK })
}

// Guards against an entry host that serves requests and ends for want of memory, because clients send requests that use many times
// their size, or do not finish them.
func TestCrowdsOnARequestHost(t *testing.T) {
	for _, l := range requestListeners() {
		t.Run(l.name, func(t *testing.T) {
			for _, w := range l.crowds(l.head) {
				t.Run(strings.ReplaceAll(w.name, " ", "-"), func(t *testing.T) { testRequestCrowd(t, &l, &w) })
			}
		})
	}
}
