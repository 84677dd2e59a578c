package proofs

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/standin/jobplatform"
)

// A crowd are clients that send what they should not, all at once, and keep their connections open.
type crowd struct {
	name string
	// clients is the number of connections.
	clients int
	// send writes the input of one client, of whose header begin are the first lines. It may fail once the entry host rejects it.
	send func(c net.Conn, begin string)
	// everywhere means that the crowd presses on all listeners, and not on that for callers alone.
	everywhere bool
}

const (
	// crowdMemory is the memory in MiB of the machine of an entry host beside a crowd.
	crowdMemory = 96
	// crowdDescriptors is the number of descriptors that an entry host may use besides those of its clients' connections.
	crowdDescriptors = 200
	// crowdTime is how long a crowd stays. It covers the time that an entry host allows for headers and bodies.
	crowdTime = 4 * time.Second
	// legalHeader and legalBody are the sizes of a header and of a body inside the limits of the configuration.
	legalHeader = 15 << 10
	legalBody   = 256 << 10
	jobHostName = "jobs.example"
	jobPrefix   = "/crowd/"
)

// beginHeader returns the first lines of a header.
func beginHeader(path, contentType string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + jobHostName + "\r\nContent-Type: " + contentType + "\r\n"
}

// write writes the text in parts, so that what arrives is processed while more follows.
func write(c net.Conn, text string) {
	const part = 8 << 10
	for len(text) > 0 {
		n := min(part, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// distinctLines returns header lines with distinct names, of about size bytes in all.
func distinctLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// chunks returns a body of chunks, of about size bytes in all, that stops short of its end.
func chunks(size, chunk int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk))
	return strings.Repeat(one, max(1, size/chunk))[:max(1, size/chunk)*len(one)-3]
}

func crowds() []crowd {
	head := func(lines string) func(net.Conn, string) {
		return func(c net.Conn, begin string) { write(c, begin+lines) }
	}
	legal := func(lines string) func(net.Conn, string) {
		return func(c net.Conn, begin string) { write(c, begin+"Content-Length: 100\r\n"+lines+"\r\n{") }
	}
	body := func(text string) func(net.Conn, string) {
		return func(c net.Conn, begin string) { write(c, begin+"Transfer-Encoding: chunked\r\n\r\n"+text) }
	}
	return []crowd{
		{"legal headers of short lines", 400, legal(strings.Repeat("a:\r\n", legalHeader/4)), false},
		{"legal headers of distinct lines", 400, legal(distinctLines(legalHeader)), false},
		{"large headers of short lines", 120, head(strings.Repeat("a:\r\n", 60_000)), false},
		{"large headers of distinct lines", 120, head(distinctLines(240 << 10)), true},
		{"folded lines", 120, head("a: b\r\n" + strings.Repeat(" c\r\n", 60_000)), false},
		{"lines without a colon", 120, head(strings.Repeat("a\r\n", 80_000)), false},
		{"headers without end", 120, head("X: " + strings.Repeat("a", 2<<20)), true},
		{"empty lines without end", 120, func(c net.Conn, _ string) { write(c, strings.Repeat("\r\n", 1<<20)) }, false},
		{"large chunks", 400, body(chunks(legalBody-(4<<10), legalBody-(4<<10))), true},
		{"tiny chunks", 400, body(chunks(legalBody-(4<<10), 1)), false},
	}
}

// press has the crowd send its input and stay for crowdTime. It returns once all connections are closed.
func (w *crowd) press(t *testing.T, address, begin string) {
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
			w.send(c, begin)
			_, _ = io.Copy(io.Discard, c)
			<-ctx.Done()
		})
	}
	group.Wait()
}

// crowdedHost is an entry host that serves jobs, alone, on a machine with little memory.
type crowdedHost struct {
	t *testing.T
	*entry
}

// crowdAddress returns an address of the entry host, or of the platform.
func crowdAddress(host, port int) string { return fmt.Sprintf("%s.8.%d:%d", network, host, port) }

// The ports of the listeners of an entry host that serves jobs.
var crowdListeners = map[string]int{"callers": 7000, "peers": 7001, "operators": 7002, "readiness": 7003, "metrics": 7004}

// startCrowdedHost starts a platform and one entry host that serves jobs, and waits until it is ready.
func startCrowdedHost(t *testing.T) *crowdedHost {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	platform, err := jobplatform.New(ctx, jobplatform.Options{
		Address: crowdAddress(100, 18500), Network: network + ".8", WorkerPort: 9100,
		Pools: []jobplatform.PoolOptions{{Name: "crowd", Machines: 2}},
	})
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- platform.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-served)
	})
	assert.NilError(t, platform.Configure(ctx, 1, []jobplatform.Queue{{Name: "crowd", Host: jobHostName, Prefix: jobPrefix, Pool: "crowd"}}, nil))
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.ini")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `
[job_host]
name = entry-1
data_centre = zone-1
ip = %s.8.1
memory_mb = %d
caller_address = %s
peer_address = %s
operator_address = %s
ready_address = %s
metrics_address = %s
operator_token = %s
[job_store]
address = %s
[host_api]
address = %s
`, network, crowdMemory, crowdAddress(1, 7000), crowdAddress(1, 7001), crowdAddress(1, 7002), crowdAddress(1, 7003), crowdAddress(1, 7004),
		operatorToken, crowdAddress(100, 18500), crowdAddress(100, 18500)), 0o600))
	log, err := os.Create(filepath.Join(dir, "entry.log"))
	assert.NilError(t, err)
	h := &crowdedHost{t: t, entry: &entry{
		number: 1, command: exec.CommandContext(context.Background(), daemonPath, "--config", path), exited: make(chan struct{}),
	}}
	h.command.Stdout, h.command.Stderr = log, log
	assert.NilError(t, h.command.Start())
	go func() {
		_ = h.command.Wait()
		_ = log.Close()
		close(h.exited)
	}()
	t.Cleanup(func() {
		_ = h.command.Process.Kill()
		<-h.exited
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%.20000s", text)
		}
	})
	h.await("readiness", func() bool { return h.get("readiness", "/-/ready") == http.StatusOK })
	return h
}

func (h *crowdedHost) await(what string, done func() bool) {
	h.t.Helper()
	for begin := time.Now(); !done(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(h.t, time.Since(begin) < waitTimeout, "%s", what)
	}
}

// get returns the status of a request to a listener, 0 if it got no answer.
func (h *crowdedHost) get(listener, path string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(h.t.Context(), http.MethodGet, "http://"+crowdAddress(1, crowdListeners[listener])+path, nil)
	assert.NilError(h.t, err)
	r.Host = jobHostName
	if listener == "operators" {
		r.Header.Set("Authorization", "Bearer "+operatorToken)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// submit submits a job and returns the status of the answer.
func (h *crowdedHost) submit() int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://"+crowdAddress(1, 7000)+jobPrefix+"00000000000000d0",
		strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`))
	assert.NilError(h.t, err)
	r.Host = jobHostName
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// checkProcess checks that the process lives, that its memory has stayed within that of its machine, and that its descriptors
// have come back.
func checkProcess(t *testing.T, e *entry, clients int) {
	t.Helper()
	select {
	case <-e.exited:
		t.Fatal("the entry host has ended")
	default:
	}
	c := &cluster{t: t, entries: map[int]*entry{e.number: e}}
	peak := c.peakBytes(e.number)
	t.Logf("peak %d MiB of %d", peak/mib, crowdMemory)
	assert.Check(t, peak <= crowdMemory*mib, "%d MiB, the machine has %d", peak/mib, crowdMemory)
	assert.Check(t, descriptors(t, e) <= crowdDescriptors+clients)
}

// descriptors returns the number of open descriptors of a process.
func descriptors(t *testing.T, e *entry) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.command.Process.Pid))
	assert.NilError(t, err)
	return len(open)
}

// testCrowd lets one crowd press on one listener of an entry host that serves jobs.
func testCrowd(t *testing.T, listener string, w *crowd) {
	t.Helper()
	h := startCrowdedHost(t)
	begin := beginHeader(jobPrefix+"00000000000000c0", "application/json")
	if listener == "peers" {
		begin = beginHeader(agateturnv1connect.JobPeerServiceOfferTableProcedure, "application/proto")
	}
	w.press(t, crowdAddress(1, crowdListeners[listener]), begin)
	checkProcess(t, h.entry, w.clients)
	h.await("descriptors", func() bool { return descriptors(t, h.entry) <= crowdDescriptors })
	h.await("an ordinary request", func() bool { return h.submit() == http.StatusOK })
	h.await("an operator's request", func() bool { return h.get("operators", "/v1/jobs") == http.StatusOK })
	h.await("a readiness check", func() bool { return h.get("readiness", "/-/ready") == http.StatusOK })
}

// Guards against an entry host that serves jobs and ends for want of memory, because clients send requests that use many times their
// size, or do not finish them.
func TestCrowdsOnAJobHost(t *testing.T) {
	for listener := range crowdListeners {
		t.Run(listener, func(t *testing.T) {
			for _, w := range crowds() {
				if w.everywhere || listener == "callers" {
					t.Run(strings.ReplaceAll(w.name, " ", "-"), func(t *testing.T) { testCrowd(t, listener, &w) })
				}
			}
		})
	}
}
