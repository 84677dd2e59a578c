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

// grace is that of a planned stop.
const grace = 3 * time.Second

// rig is two entry hosts, one pool of four workers and a store.
type rig struct {
	kv      *memtxn.Store
	workers *fakeWorkers
	log     *lines
	hosts   map[string]*Host
	callers map[string]string
	// stop begins the planned stop of a host.
	stop map[string]context.CancelFunc
}

func startRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		kv: memtxn.New(), workers: newFakeWorkers(), log: &lines{},
		hosts: map[string]*Host{}, callers: map[string]string{}, stop: map[string]context.CancelFunc{},
	}
	operator := r.kv.Client("operator")
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
		r.start(t, name)
	}
	r.await(t, "workers_changed pool=exports", func() bool { return r.owner("exports") != "" })
	return r
}

func (r *rig) start(t *testing.T, name string) {
	t.Helper()
	s := &pb.JobSettings{
		JobHost: &pb.JobHostSettings{
			Name: name, DataCentre: "modica", Ip: "127.0.0.1", CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t),
			PeerAddress: freeAddress(t), MetricsAddress: freeAddress(t),
		},
		JobBounds: &pb.JobBoundSettings{
			MaxLease: durationpb.New(10 * time.Second), StopTime: durationpb.New(time.Second),
			Retention: durationpb.New(time.Minute), Grace: durationpb.New(grace),
		},
	}
	pipe := logpipe.New(r.log)
	logger := pipe.Logger(func(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }).With("entry_host", name)
	i := injector(s, logger)
	do.OverrideValue[store.Transactor](i, r.kv.Client(name))
	do.OverrideValue[poolowner.Workers](i, r.workers)
	h := do.MustInvoke[*Host](i)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		pipe.Close(context.Background())
	})
	r.stop[name] = cancel
	r.hosts[name], r.callers[name] = h, s.GetJobHost().GetCallerAddress()
}

// owner is the host that owns the pool and has read its records.
func (r *rig) owner(pool string) string {
	for name, h := range r.hosts {
		if h.pools.owner(pool) == nil {
			continue
		}
		if _, ok := h.pools.Pending(pool, "tiles"); ok {
			return name
		}
	}
	return ""
}

func (r *rig) await(t *testing.T, text string, also func() bool) {
	t.Helper()
	found := regexp.MustCompile(strings.ReplaceAll(regexp.QuoteMeta(text), " ", ".*"))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if found.MatchString(r.log.String()) && (also == nil || also()) {
			return
		}
		assert.Assert(t, time.Now().Before(end), "no %s in\n%s", text, r.log)
	}
}

// handIn returns the status of a hand-in.
func (r *rig) handIn(t *testing.T, host, id, payload string) int {
	t.Helper()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":6,"cpu":1000,"memMb":256,"estimateMs":400},`+
		`{"count":2,"cpu":1000,"memMb":256,"estimateMs":400,"after":[0]}]}`, payload)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.callers[host]+"/tiles/"+id, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "maps.example"
	req.Header.Set("Deadline-Ms", "2000")
	answer, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusServiceUnavailable {
		assert.Equal(t, answer.Header.Get("Retry-After"), "1")
	}
	return answer.StatusCode
}

// explain is the first step of the page: the time line of an id from the logs alone.
func (r *rig) explain(t *testing.T, id string) string {
	t.Helper()
	time.Sleep(100 * time.Millisecond) // decisions are gathered before they are written
	var out, problems bytes.Buffer
	code := ctl.Run(t.Context(), []string{"--address", freeAddress(t), "jobs", "explain", id, "--logs", "-"},
		strings.NewReader(r.log.String()), &out, &problems)
	assert.Equal(t, code, ctl.ExitOK, problems.String())
	if file := os.Getenv("AGATETURN_TIMELINE"); file != "" {
		assert.NilError(t, os.WriteFile(file+"."+id, out.Bytes(), 0o600))
	}
	return out.String()
}

// followPage checks that the page's time line of that heading is what the tool shows: the same events with the same
// fields in the same order, where the page may leave lines out. Events of duties that run beside the owner's decisions,
// which are the answer to the caller and the wait for the store, may stand anywhere.
func followPage(t *testing.T, heading, shown string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(page), "### "+heading+"\n")
	assert.Assert(t, ok, "the page has no %q", heading)
	_, block, _ := strings.Cut(section, "```\n")
	_, block, _ = strings.Cut(block, "```\n") // the command comes first
	_, block, _ = strings.Cut(block, "```\n")
	block, _, _ = strings.Cut(block, "```")
	rest := strings.Split(shown, "\n")
	steps := 0
	for line := range strings.Lines(block) {
		want, ok := shapeOf(line)
		if !ok {
			continue
		}
		steps++
		if strings.HasPrefix(want, "907 ") || strings.HasPrefix(want, "918 ") {
			assert.Assert(t, slices.ContainsFunc(strings.Split(shown, "\n"), func(line string) bool {
				got, _ := shapeOf(line)
				return got == want
			}), "the page's %q is not in\n%s", want, shown)
			continue
		}
		at := 0
		for at < len(rest) {
			if got, _ := shapeOf(rest[at]); got == want {
				break
			}
			at++
		}
		assert.Assert(t, at < len(rest), "the page's %q is not in\n%s", want, shown)
		rest = rest[at+1:]
	}
	assert.Assert(t, steps >= 3, "the page's time line of %q has %d events", heading, steps)
}

var shape = regexp.MustCompile(`^\S+Z \S+ (\d+ \w+): (.*)`)

// shapeOf is a line's event and the names of its fields.
func shapeOf(line string) (string, bool) {
	m := shape.FindStringSubmatch(line)
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

// freeAddress is a free port of a loopback address that no other test process uses, nor the clients of any: a port that
// is closed here stays free until the host under test opens it. No port is given twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+pid>>16%200, pid>>8%256, pid%256)
	for {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", ip+":0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// givenAddresses are those that freeAddress has returned.
var givenAddresses sync.Map

func TestRefusedThoughWorkersWereIdle(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	r := startRig(t)
	r.kv.SetFaults(memtxn.Faults{Plan: func(_ string, c memtxn.Call) memtxn.Outcome {
		if c == memtxn.CallCommit {
			return memtxn.Refuse
		}
		return memtxn.Serve
	}})
	assert.Equal(t, r.handIn(t, "entry-1", id, "ok"), http.StatusServiceUnavailable)
	r.kv.SetFaults(memtxn.Faults{})
	shown := r.explain(t, id)
	followPage(t, "Refused though workers were idle", shown)
	assert.Assert(t, strings.Contains(shown, "reason=not stored"), shown)
}

// TestCompletedLateAfterATakeover cuts the owner off the store. An owner whose process was paused meanwhile may not decide:
// that is another failure than the page's, so it is made again.
func TestCompletedLateAfterATakeover(t *testing.T) {
	const maxPaused = 3
	for range maxPaused {
		shown, paused := "", false
		assert.Assert(t, t.Run("takeover", func(t *testing.T) { shown, paused = completeLate(t) }))
		if !paused {
			followPage(t, "Completed late after a takeover", shown)
			return
		}
		t.Logf("the process was paused:\n%s", shown)
	}
	t.Fatalf("the process was paused %d times", maxPaused)
}

// completeLate returns the time line, and whether the hosts detected a pause of their process.
func completeLate(t *testing.T) (shown string, paused bool) {
	t.Helper()
	const id = "5c0e7a21d94b36f9"
	r := startRig(t)
	owner := r.owner("exports")
	assert.Equal(t, r.handIn(t, owner, id, "ok"), http.StatusOK)
	r.await(t, "tasks_started job="+id, nil)
	r.kv.SetFaults(memtxn.Faults{Cut: map[string]bool{owner: true}})
	r.await(t, "job_completed job="+id, func() bool { return r.owner("exports") != owner })
	r.await(t, "records_loaded pool=exports", func() bool { return strings.Count(r.log.String(), "name=records_loaded") >= 2 })
	r.kv.SetFaults(memtxn.Faults{})
	r.await(t, "job_durable job="+id, nil)
	shown = r.explain(t, id)
	return shown, strings.Contains(r.log.String(), "name=pause_detected")
}

func TestFailedAfterItsAttempts(t *testing.T) {
	const id = "5c0e7a21d94b36fa"
	r := startRig(t)
	assert.Equal(t, r.handIn(t, "entry-2", id, "fail"), http.StatusOK)
	r.await(t, "job_durable job="+id, nil)
	shown := r.explain(t, id)
	followPage(t, "Failed after its attempts", shown)
	assert.Assert(t, strings.Contains(shown, "attempt=2 attempts_allowed=2"), shown)
}
