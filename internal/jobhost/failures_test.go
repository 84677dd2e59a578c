package jobhost

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ctl"
	"github.com/agateturn/agateturn/internal/logpipe"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

const table = `{"version":7,"routes":[{"name":"tiles","host":"maps.example","prefix":"/tiles/","timeoutMs":3000,
	"targetDurationMs":600,"priority":1,"service":"exports","maxAttempts":2,"stretch":1.6}],
	"services":[{"name":"exports","maxConns":64}],"limits":{"maxBodyBytes":262144}}`

// grace is the grace period of a planned stop.
const grace = 3 * time.Second

// testCluster has two entry hosts, one pool of four workers and a store.
type testCluster struct {
	kv      *memtxn.Store
	workers *fakeWorkers
	log     *logBuffer
	hosts   map[string]*Host
	callers map[string]string
	// stop starts the planned stop of a host.
	stop map[string]context.CancelFunc
}

func startCluster(t *testing.T) *testCluster {
	t.Helper()
	return startClusterWith(t, table)
}

// startClusterWith starts a cluster with a configuration.
func startClusterWith(t *testing.T, table string) *testCluster {
	t.Helper()
	tc := &testCluster{
		kv: memtxn.New(), workers: newFakeWorkers(), log: &logBuffer{},
		hosts: map[string]*Host{}, callers: map[string]string{}, stop: map[string]context.CancelFunc{},
	}
	operator := tc.kv.Client("operator")
	put := func(key, value string) {
		_, err := operator.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: key, Data: []byte(value)}}})
		assert.NilError(t, err)
	}
	put("op/config", table)
	for i := range 4 {
		put(fmt.Sprintf("servers/modica-w%d", i), fmt.Sprintf(`{"service":"exports","address":"127.0.0.1:%d","zone":"modica","version":"v1","slots":8,
			"state":"ready","coldRemainingMs":0,"seq":1,"capacity":{"cpu":4000,"memMb":4096,"gpu":0},"labels":["m","r1"]}`, i+1))
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		tc.startHost(t, name)
	}
	tc.waitForLog(t, "workers_changed pool=exports", func() bool { return tc.owner() != "" })
	return tc
}

func (tc *testCluster) startHost(t *testing.T, name string) {
	t.Helper()
	s := &pb.JobSettings{
		JobHost: &pb.JobHostSettings{
			Name: name, DataCentre: "modica", Ip: "127.0.0.1", CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t),
			PeerAddress: freeAddress(t), MetricsAddress: freeAddress(t),
		},
		JobBounds: &pb.JobBoundSettings{
			MaxLease: durationpb.New(10 * time.Second), StopTime: durationpb.New(time.Second),
			Retention: durationpb.New(time.Minute), Grace: durationpb.New(grace),
			ApplyTime: durationpb.New(3 * time.Second), ApplyStretch: durationpb.New(6 * time.Second),
		},
	}
	pipe := logpipe.New(tc.log)
	logger := pipe.Logger(func(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }).With("entry_host", name)
	i := injector(s, logger)
	do.OverrideValue[store.Transactor](i, tc.kv.Client(name))
	do.OverrideValue[poolowner.Workers](i, tc.workers)
	h := do.MustInvoke[*Host](i)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		pipe.Close(context.Background())
	})
	tc.stop[name] = cancel
	tc.hosts[name], tc.callers[name] = h, s.GetJobHost().GetCallerAddress()
}

// owner returns the host that owns the pool of the cluster and has loaded its records.
func (tc *testCluster) owner() string {
	const pool = "exports"
	for name, h := range tc.hosts {
		if h.pools.owner(pool) == nil {
			continue
		}
		if _, ok := h.pools.Pending(pool, "tiles"); ok {
			return name
		}
	}
	return ""
}

func (tc *testCluster) waitForLog(t *testing.T, text string, condition func() bool) {
	t.Helper()
	pattern := regexp.MustCompile(strings.ReplaceAll(regexp.QuoteMeta(text), " ", ".*"))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if pattern.MatchString(tc.log.String()) && (condition == nil || condition()) {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no %s in\n%s", text, tc.log)
	}
}

// submitJob submits a job and returns the HTTP status.
func (tc *testCluster) submitJob(t *testing.T, host, id, payload string) int {
	t.Helper()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":6,"cpu":1000,"memMb":256,"estimateMs":400},`+
		`{"count":2,"cpu":1000,"memMb":256,"estimateMs":400,"after":[0]}]}`, payload)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+tc.callers[host]+"/tiles/"+id, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "maps.example"
	req.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable {
		assert.Equal(t, response.Header.Get("Retry-After"), "1")
	}
	return response.StatusCode
}

// timeline performs the first step of the documented procedure: it builds the timeline of a job from the logs alone.
func (tc *testCluster) timeline(t *testing.T, id string) string {
	t.Helper()
	time.Sleep(100 * time.Millisecond) // decisions are batched before they are logged
	var out, problems bytes.Buffer
	code := ctl.Run(t.Context(), []string{"--address", freeAddress(t), "jobs", "explain", id, "--logs", "-"},
		strings.NewReader(tc.log.String()), &out, &problems)
	assert.Equal(t, code, ctl.ExitOK, problems.String())
	if file := os.Getenv("AGATETURN_TIMELINE"); file != "" {
		assert.NilError(t, os.WriteFile(file+"."+id, out.Bytes(), 0o600))
	}
	return out.String()
}

// checkDocumentedTimeline checks that the timeline below a heading of docs/OPERATIONS.md matches the tool's output: the same
// events with the same fields in the same order, where the page may omit lines. Events that are logged concurrently with
// the owner's decisions, which are the response to the caller and the wait for the store, may appear anywhere.
func checkDocumentedTimeline(t *testing.T, heading, actual string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(page), "### "+heading+"\n")
	assert.Assert(t, ok, "the page has no %q", heading)
	_, block, _ := strings.Cut(section, "```\n")
	_, block, _ = strings.Cut(block, "```\n") // the command comes first
	_, block, _ = strings.Cut(block, "```\n")
	block, _, _ = strings.Cut(block, "```")
	remaining := strings.Split(actual, "\n")
	steps := 0
	for line := range strings.Lines(block) {
		want, ok := eventShape(line)
		if !ok {
			continue
		}
		steps++
		if strings.HasPrefix(want, "907 ") || strings.HasPrefix(want, "918 ") {
			assert.Assert(t, slices.ContainsFunc(strings.Split(actual, "\n"), func(line string) bool {
				got, _ := eventShape(line)
				return got == want
			}), "the page's %q is not in\n%s", want, actual)
			continue
		}
		i := 0
		for i < len(remaining) {
			if got, _ := eventShape(remaining[i]); got == want {
				break
			}
			i++
		}
		assert.Assert(t, i < len(remaining), "the page's %q is not in\n%s", want, actual)
		remaining = remaining[i+1:]
	}
	assert.Assert(t, steps >= 3, "the documented timeline of %q has %d events", heading, steps)
}

var eventPattern = regexp.MustCompile(`^\S+Z \S+ (\d+ \w+): (.*)`)

// eventShape returns the event of a line and the names of its fields.
func eventShape(line string) (string, bool) {
	m := eventPattern.FindStringSubmatch(line)
	if m == nil {
		return "", false
	}
	keys := regexp.MustCompile(`(?:^| )(\w+)=`).FindAllStringSubmatch(m[2], -1)
	out := m[1]
	for _, k := range keys {
		out += " " + k[1]
	}
	return out, true
}

// freeAddress returns a free port of a loopback address that no other test process uses, not even for client connections,
// so that a port that is closed here stays free until the host under test opens it. No port is returned twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+pid>>16%200, pid>>8%256, pid%256)
	for {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", ip+":0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

func TestRefusedThoughWorkersWereIdle(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	tc := startCluster(t)
	tc.kv.SetFaults(memtxn.Faults{Plan: func(_ string, c memtxn.Call) memtxn.Outcome {
		if c == memtxn.CallCommit {
			return memtxn.Refuse
		}
		return memtxn.Serve
	}})
	assert.Equal(t, tc.submitJob(t, "entry-1", id, "ok"), http.StatusServiceUnavailable)
	tc.kv.SetFaults(memtxn.Faults{})
	shown := tc.timeline(t, id)
	checkDocumentedTimeline(t, "Refused though workers were idle", shown)
	assert.Assert(t, strings.Contains(shown, "reason=not stored"), shown)
}

// TestCompletedLateAfterATakeover partitions the owner from the store. If the test process is paused meanwhile, the
// owner is not allowed to make decisions. That is a different failure from the documented one, so the test then repeats
// the takeover.
func TestCompletedLateAfterATakeover(t *testing.T) {
	const maxPaused = 3
	for range maxPaused {
		shown, paused := "", false
		assert.Assert(t, t.Run("takeover", func(t *testing.T) { shown, paused = completeAfterTakeover(t) }))
		if !paused {
			checkDocumentedTimeline(t, "Completed late after a takeover", shown)
			return
		}
		t.Logf("the process was paused:\n%s", shown)
	}
	t.Fatalf("the process was paused %d times", maxPaused)
}

// completeAfterTakeover returns the timeline, and whether the hosts detected a pause of their process.
func completeAfterTakeover(t *testing.T) (shown string, paused bool) {
	t.Helper()
	const id = "5c0e7a21d94b36f9"
	tc := startCluster(t)
	owner := tc.owner()
	assert.Equal(t, tc.submitJob(t, owner, id, "ok"), http.StatusOK)
	tc.waitForLog(t, "tasks_started job="+id, nil)
	tc.kv.SetFaults(memtxn.Faults{Cut: map[string]bool{owner: true}})
	tc.waitForLog(t, "job_completed job="+id, func() bool { return tc.owner() != owner })
	tc.waitForLog(t, "records_loaded pool=exports", func() bool { return strings.Count(tc.log.String(), "name=records_loaded") >= 2 })
	tc.kv.SetFaults(memtxn.Faults{})
	tc.waitForLog(t, "job_durable job="+id, nil)
	shown = tc.timeline(t, id)
	return shown, strings.Contains(tc.log.String(), "name=pause_detected")
}

func TestFailedAfterItsAttempts(t *testing.T) {
	const id = "5c0e7a21d94b36fa"
	tc := startCluster(t)
	assert.Equal(t, tc.submitJob(t, "entry-2", id, "fail"), http.StatusOK)
	tc.waitForLog(t, "job_durable job="+id, nil)
	shown := tc.timeline(t, id)
	checkDocumentedTimeline(t, "Failed after its attempts", shown)
	assert.Assert(t, strings.Contains(shown, "attempt=2 attempts_allowed=2"), shown)
}
