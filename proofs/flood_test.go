package proofs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/workers"
)

const (
	floodLimits = `
[limits]
max_requests = 256
max_body_bytes = 1048576
max_held_bytes = 8388608
max_header_bytes = 8192
header_timeout = 1s
body_timeout = 2s
`
	mib = 1 << 20
	// controlBytes is the memory that an entry host may use without a flood.
	controlBytes = 32 * mib
	// connectionBytes is the memory that one connection may use: a header of maximum size, and as much again for the buffers
	// and the stack that serve it.
	connectionBytes = 2 * 8192
	// callerConnections is the connection limit of the callers' listener, twice max_requests.
	callerConnections = 2 * 256
	// floodBound is the memory that an entry host may use in a flood: the limits of the settings, doubled because the garbage
	// collector runs when the heap has doubled.
	floodBound = controlBytes + 2*(8*mib+callerConnections*connectionBytes)

	floodTime = 5 * time.Second
)

// peakBytes returns the peak resident memory of a process.
func (c *cluster) peakBytes(number int) int {
	c.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.entries[number].command.Process.Pid))
	assert.NilError(c.t, err)
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kib, err := strconv.Atoi(strings.Fields(after)[0])
	assert.NilError(c.t, err)
	return kib * 1024
}

// runRepeatedly runs a task repeatedly on n goroutines, at most total times in all, until ctx is done.
func runRepeatedly(ctx context.Context, group *sync.WaitGroup, n, total int, task func()) {
	var started atomic.Int64
	for range n {
		group.Go(func() {
			for ctx.Err() == nil && started.Add(1) <= int64(total) {
				task()
			}
		})
	}
}

// holdConnection opens a connection, sends text, and waits until the other side closes it or ctx is done.
func holdConnection(ctx context.Context, address, text string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = conn.Write([]byte(text))
	buffer := make([]byte, 1024)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

const (
	// headerTimeout is the header_timeout of floodLimits.
	headerTimeout = time.Second
	// runTimeout is the Agateturn-Timeout of the flood's requests.
	runTimeout = 2 * time.Second
)

// sendTimes records when a request was sent. It is safe for concurrent use.
type sendTimes struct {
	mu             sync.Mutex
	dialled, wrote time.Time
}

// trace returns a context that records the times of its request.
func (s *sendTimes) trace(ctx context.Context) context.Context {
	record := func(at *time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*at = time.Now()
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { record(&s.dialled) },
		WroteRequest: func(httptrace.WroteRequestInfo) { record(&s.wrote) },
	})
}

// isLate reports whether the request was not sent within header_timeout after dialling. On a busy machine the callers of this
// process are slow themselves, and an entry host may close the connections of slow callers.
func (s *sendTimes) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialled.IsZero() {
		return false
	}
	end := s.wrote
	if end.IsZero() {
		end = time.Now()
	}
	return end.Sub(s.dialled) >= headerTimeout
}

// tally counts the answers to callers. late counts unanswered requests that were sent too late.
type tally struct {
	complete, rejected, late, unanswered, wrong atomic.Int64
	t                                           *testing.T

	mu sync.Mutex
	// unknown holds the start times, by request id, of the requests that were answered with unknown at their deadline.
	unknown map[string]time.Time
}

// addUnknown keeps a request that checkUnknown compares with the workers' records.
func (a *tally) addUnknown(id string, began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unknown == nil {
		a.unknown = map[string]time.Time{}
	}
	a.unknown[id] = began
}

// checkUnknown checks that each unknown request reached a worker that had not answered by the deadline.
func (a *tally) checkUnknown(records []workers.Record) {
	byID := lo.KeyBy(records, func(r workers.Record) string { return r.RequestID })
	for id, began := range a.unknown {
		r, reached := byID[id]
		inTime := r.Complete && r.End.Sub(began) < runTimeout
		assert.Check(a.t, reached && !inTime, "answered as unknown, started %s: %+v", began, r)
	}
}

// send sends one request. A rejection must be a not-run with a retry delay. An answer of unknown is kept for checkUnknown.
func (a *tally) send(client *http.Client, address, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/left/job", strings.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		a.wrong.Add(1)
		return
	}
	req.Header.Set("Agateturn-Team", "orders")
	req.Header.Set("Agateturn-Timeout", runTimeout.String())
	id := uuid.NewString()
	req.Header.Set("Agateturn-Request-Id", id)
	began := time.Now()
	var sent sendTimes
	resp, err := client.Do(req.WithContext(sent.trace(context.Background())))
	if err != nil && sent.isLate() {
		a.late.Add(1)
		return
	}
	if err != nil {
		a.unanswered.Add(1)
		a.t.Logf("%d bytes, no answer after %s: %v", len(body), time.Since(began), err)
		return
	}
	_ = resp.Body.Close()
	header := resp.Header
	switch {
	case resp.StatusCode == http.StatusOK && header.Get("Agateturn-Outcome") == "done":
		a.complete.Add(1)
	case header.Get("Agateturn-Outcome") == "not-run" && header.Get("Retry-After") != "":
		a.rejected.Add(1)
	case resp.StatusCode == http.StatusGatewayTimeout && header.Get("Agateturn-Outcome") == "unknown":
		a.addUnknown(id, began)
	default:
		a.wrong.Add(1)
		a.t.Logf("%d bytes, answer outside the contract after %s: %s %v", len(body), time.Since(began), resp.Status, header)
	}
}

// A flood includes idle and slow callers and callers with large bodies. Every small request gets a final answer, operators
// are served, memory stays within the bound, and the entry host serves afterwards.
func TestFloodOfCallers(t *testing.T) {
	c := newClusterWith(t, 2, floodLimits)
	ctx, cancel := context.WithTimeout(t.Context(), floodTime)
	defer cancel()
	address := c.entries[1].at(7000)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	small, large := tally{t: t}, tally{t: t}
	body := strings.Repeat("a", mib)
	runRepeatedly(ctx, &group, 300, 3000, func() { holdConnection(ctx, address, "") })
	runRepeatedly(ctx, &group, 300, 3000, func() { holdConnection(ctx, address, "POST /v1/services/left/job HTTP/1.1\r\nX-Slow: "+body[:4000]) })
	runRepeatedly(ctx, &group, 100, 1000, func() { holdConnection(ctx, address, request("Content-Length: 1000000\r\n", body[:64*1024])) })
	runRepeatedly(ctx, &group, 64, 1000, func() { large.send(client, address, body) })
	runRepeatedly(ctx, &group, 64, 4000, func() { small.send(client, address, "ok") })
	operated := 0
	for ctx.Err() == nil {
		var sent sendTimes
		status := c.callWith(sent.trace(context.Background()), 1, http.MethodGet, "/v1/status", nil, nil)
		assert.Assert(t, status == http.StatusOK || status == 0 && sent.isLate(), "%d", status)
		operated++
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	peak := c.peakBytes(1)
	t.Logf("unknown at the deadline: small %d large %d", len(small.unknown), len(large.unknown))
	t.Logf("small: complete %d rejected %d late %d unanswered %d wrong %d; large: complete %d rejected %d late %d unanswered %d wrong %d; operators %d; peak %d MiB of %d",
		small.complete.Load(), small.rejected.Load(), small.late.Load(), small.unanswered.Load(), small.wrong.Load(),
		large.complete.Load(), large.rejected.Load(), large.late.Load(), large.unanswered.Load(), large.wrong.Load(), operated, peak/mib, floodBound/mib)
	assert.Equal(t, small.wrong.Load()+large.wrong.Load(), int64(0))
	records := c.workers.Records()
	small.checkUnknown(records)
	large.checkUnknown(records)
	assert.Equal(t, small.unanswered.Load(), int64(0))
	answered := small.complete.Load() + small.rejected.Load()
	assert.Assert(t, small.late.Load()*10 <= answered, "the callers were too slow for a valid result")
	assert.Assert(t, int64(len(small.unknown))*20 <= answered, "the workers were too slow for a valid result")
	assert.Assert(t, small.rejected.Load() > 0, "the load did not cause any rejection")
	assert.Assert(t, large.complete.Load()+large.rejected.Load() > 0)
	assert.Assert(t, peak <= floodBound, "%d MiB, the bound is %d", peak/mib, floodBound/mib)
	c.assertRunning(1)
	after := c.startLoad(c.loadConfig(3*time.Second, 1, 2))()
	c.checkGuarantees(after, 0)
	assert.Equal(t, after.NotRun+after.NoAnswer+after.Cut, 0)
}

// A flood of the peers' and the operators' listeners does not affect callers.
func TestFloodOfPeersAndOperators(t *testing.T) {
	c := newClusterWith(t, 2, floodLimits)
	load := c.loadConfig(floodTime, 1, 2)
	load.KeyedShare = 0
	report := c.startLoad(load)
	ctx, cancel := context.WithTimeout(t.Context(), floodTime)
	defer cancel()
	var group sync.WaitGroup
	for _, port := range []int{7001, 7002} {
		address := c.entries[1].at(port)
		runRepeatedly(ctx, &group, 1200, 4000, func() { holdConnection(ctx, address, "") })
		runRepeatedly(ctx, &group, 32, 2000, func() {
			holdConnection(ctx, address, "GET /v1/status HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
		})
	}
	group.Wait()
	result := report()
	c.checkGuarantees(result, 0)
	assert.Equal(t, result.NoAnswer+result.Cut+result.Unknown, 0)
	assert.Equal(t, result.NotRun, 0)
	peak := c.peakBytes(1)
	bound := controlBytes + 2*(8*mib+(callerConnections+1024+256)*connectionBytes)
	t.Logf("peak %d MiB of %d", peak/mib, bound/mib)
	assert.Assert(t, peak <= bound, "%d MiB, the bound is %d", peak/mib, bound/mib)
	c.await("operators served", func() bool { return c.call(1, http.MethodGet, "/v1/status", nil, nil) == http.StatusOK })
	c.awaitReady(2)
}

// Callers that request large answers and do not read them release their slots: an answer that makes no progress for
// body_timeout is aborted, for ordinary requests and sessions alike. Afterwards the same job runs for a caller that reads.
func TestCallersThatDoNotRead(t *testing.T) {
	c := newClusterWith(t, 2, floodLimits)
	job := func(class string) string {
		return fmt.Sprintf("GET /v1/services/left/job?size=%d HTTP/1.1\r\nHost: entry\r\nAgateturn-Team: orders\r\n"+
			"Agateturn-Timeout: 3s\r\nAgateturn-Class: %s\r\n\r\n", 32*mib, class)
	}
	for i := range 40 {
		class := []string{"normal", "session"}[i%2]
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.entries[1].at(7000))
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(job(class)))
		assert.NilError(t, err)
	}
	c.await("slots in use", func() bool { return c.status(1).Slots.InUse > 10 })
	c.await("no slot in use", func() bool { return c.status(1).Slots.InUse == 0 })
	status, text := sendRaw(t, c.entries[1].at(7000), job("normal"))
	assert.Equal(t, status, http.StatusOK, "%.200s", text)
	c.assertServes(1)
}
