package workers_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/standin/workers"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs one worker until the test ends.
func start(t *testing.T, runTime time.Duration) *workers.Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := workers.New(ctx, workers.Options{
		Hosts:          []*pb.Host{{Name: "w1", Address: "127.0.0.1:0", Pool: "p"}},
		AdminAddress:   "127.0.0.1:0",
		DefaultRunTime: workers.RunTime{Median: runTime},
	})
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- fleet.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
	})
	return fleet
}

func send(t *testing.T, method, url, body string, header http.Header) (int, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header = http.Header{}
	if header != nil {
		request.Header = header
	}
	request.Close = true
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, got, err
}

func header(id, pool, key string) http.Header {
	return http.Header{"Agateturn-Request-Id": {id}, "Agateturn-Pool": {pool}, "Idempotency-Key": {key}}
}

func TestRecordsAndCounts(t *testing.T) {
	fleet := start(t, 0)
	url := "http://" + fleet.Address("w1")
	for i, pool := range []string{"p", "p", "q"} {
		status, body, err := send(t, http.MethodPost, url+"/?size=100", "x", header(fmt.Sprint(i), pool, "k"))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.DeepEqual(t, body, workers.Body(fmt.Sprint(i), 100))
	}
	counts := fleet.Counts()
	assert.Equal(t, counts.Complete, 3)
	assert.DeepEqual(t, counts.Doubled, map[string]int{"/k": 3})
	assert.Equal(t, counts.PoolSwitches["w1"], 1)
	assert.Equal(t, counts.PoolOverlaps["w1"], 0)
	_, listed, err := send(t, http.MethodGet, "http://"+fleet.Admin()+"/admin/records", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(listed, []byte("\n")), 3)
}

func TestOverlappingPoolsAreCounted(t *testing.T) {
	fleet := start(t, time.Hour)
	openAndWait(t, fleet, "p", 1)
	openAndWait(t, fleet, "q", 2)
	assert.Equal(t, fleet.Counts().PoolOverlaps["w1"], 1)
	assert.Equal(t, fleet.Counts().MaxConcurrent["w1"], 2)
}

// A client that has read a complete answer may send its next request at once: the previous request must not count as
// running any more.
func TestNextRequestAfterAnswerIsNotConcurrent(t *testing.T) {
	fleet := start(t, 0)
	for i := range 2000 {
		_, _, err := send(t, http.MethodGet, "http://"+fleet.Address("w1")+"/", "", header(fmt.Sprint(i), "p", ""))
		assert.NilError(t, err)
	}
	assert.Equal(t, fleet.Counts().MaxConcurrent["w1"], 1)
}

// openAndWait sends a request and returns when the worker has the given number of records.
func openAndWait(t *testing.T, fleet *workers.Fleet, pool string, records int) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", fleet.Address("w1"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: w\r\nAgateturn-Pool: %s\r\n\r\n", pool)
	assert.NilError(t, err)
	waitFor(func() bool { return len(fleet.Records()) == records })
}

// waitFor polls until the condition holds; only the time limit of the test bounds it.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func TestRebootCutsAndReturns(t *testing.T) {
	fleet := start(t, 0)
	url := "http://" + fleet.Address("w1")
	stream := make(chan error, 1)
	go func() {
		_, _, err := send(t, http.MethodGet, url+"/?stream=3600", "", header("s", "p", ""))
		stream <- err
	}()
	waitFor(func() bool { return len(fleet.Records()) == 1 })
	_, _, err := send(t, http.MethodPost, "http://"+fleet.Admin()+"/admin/reboot?host=w1&seconds=3600", "", nil)
	assert.NilError(t, err)
	assert.Assert(t, <-stream != nil)
	_, _, err = send(t, http.MethodGet, url, "", nil)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	waitFor(func() bool { return fleet.Counts().Cut == 1 })
}

// A connection attempt right after the reboot is ordered must be refused, even while requests are still being cut.
func TestARebootClosesTheAddressAtOnce(t *testing.T) {
	for range 20 {
		fleet := start(t, 0)
		_, _, err := send(t, http.MethodGet, "http://"+fleet.Address("w1"), "", header("s", "p", ""))
		assert.NilError(t, err)
		assert.Assert(t, fleet.Reboot("w1", time.Hour))
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", fleet.Address("w1"))
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v %v", conn, err)
	}
}

func TestAdminIsLoopbackOnly(t *testing.T) {
	_, err := workers.New(t.Context(), workers.Options{AdminAddress: "0.0.0.0:0"})
	assert.ErrorContains(t, err, "not a loopback address")
}
