package ctl

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

const testToken = "operator-token"

// fakeBackend is an entry host that accepts each order immediately.
type fakeBackend struct {
	status   operatorapi.Status
	document operatorapi.ConfigDocument
	err      error
	orders   []any
	accepted map[string]uint64 // generation by change id
}

func newBackend(t *testing.T) *fakeBackend {
	t.Helper()
	ini, err := os.ReadFile("../../examples/agency/deployment.ini")
	assert.NilError(t, err)
	return &fakeBackend{
		accepted: map[string]uint64{},
		document: operatorapi.ConfigDocument{Generation: 3, ChangeID: "change-3", INI: string(ini)},
		status: operatorapi.Status{
			EntryHost: "entry-1", Controller: "entry-2/5a1c", Ready: true, FleetRevision: 9, Generation: 3,
			Members: []operatorapi.MemberStatus{
				{Name: "entry-1", DataCentre: "palermo", Ready: true, FleetRevision: 9, Generation: 3},
				{Name: "entry-2", DataCentre: "modica", FleetRevision: 7, Generation: 3, HeardMSAgo: -1},
			},
			Hosts: []operatorapi.HostStatus{
				{Name: "w2", Rack: "r1", Pool: "exports", Phase: "active"},
				{Name: "w1", Rack: "r1", Pool: "exports", Phase: "draining", TargetPool: "registry", HeldBy: []operatorapi.HolderStatus{
					{Member: "entry-1", Requests: 2, OldestMS: 61000}, {Member: "entry-2", Lagging: true},
				}},
			},
			Waves:     []operatorapi.WaveStatus{{Name: "night", Phase: "stopped", Pending: 3, Done: 1, Failed: []string{"w7"}, Reason: "1 of 2 hosts failed"}},
			Pools:     []operatorapi.PoolStatus{{Name: "exports", Hosts: 2, Active: 1, Slots: 8, Running: 2, Queued: 5}},
			Measures:  operatorapi.Measures{BufferHostSeconds: 7200, RollOutSeconds: 0.25, RollOuts: 2, Moves: 4},
			Latencies: []operatorapi.Latency{{Service: "labels", Team: "ports", Class: "urgent", Count: 6, Outcomes: map[string]int64{"done": 5, "not-run": 1}, P50: 12.5, P90: 20, P99: 40}},
		},
	}
}

func (f *fakeBackend) Ready() error                              { return nil }
func (f *fakeBackend) Status(context.Context) operatorapi.Status { return f.status }
func (f *fakeBackend) Configuration(context.Context) (operatorapi.ConfigDocument, error) {
	return f.document, f.err
}

func (f *fakeBackend) ApplyConfiguration(_ context.Context, c operatorapi.ConfigChange) (operatorapi.ConfigResult, error) {
	if generation, known := f.accepted[c.ChangeID]; known {
		return operatorapi.ConfigResult{Generation: generation, Repeated: true}, f.err
	}
	if c.BaseGeneration != f.document.Generation {
		return operatorapi.ConfigResult{}, operatorapi.Conflict.New("at generation %d; look at agateturnctl config diff", f.document.Generation)
	}
	f.document.Generation++
	f.accepted[c.ChangeID] = f.document.Generation
	for i := range f.status.Members {
		f.status.Members[i].Generation = f.document.Generation
	}
	return operatorapi.ConfigResult{Generation: f.document.Generation, Changes: []string{"one change"}}, f.err
}

func (f *fakeBackend) record(order any) (operatorapi.Accepted, error) {
	f.orders = append(f.orders, order)
	return operatorapi.Accepted{FleetRevision: 10}, f.err
}

func (f *fakeBackend) MoveHost(_ context.Context, o operatorapi.MoveOrder) (operatorapi.Accepted, error) {
	return f.record(o)
}

func (f *fakeBackend) SetHostDown(_ context.Context, o operatorapi.DownOrder) (operatorapi.Accepted, error) {
	return f.record(o)
}

func (f *fakeBackend) CreateWave(_ context.Context, o operatorapi.WaveOrder) (operatorapi.Accepted, error) {
	return f.record(o)
}

func (f *fakeBackend) ControlWave(_ context.Context, o operatorapi.WaveControl) (operatorapi.Accepted, error) {
	return f.record(o)
}

// fixture serves an operator API. It executes the next answersToLose orders without answering them.
type fixture struct {
	backend       *fakeBackend
	address       string
	answersToLose atomic.Int64
	mu            sync.Mutex // held while the backend is called
}

// orders returns the orders received so far. It takes the lock, as a call whose answer was lost may still be running.
func (f *fixture) orders() []any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backend.orders
}

func serve(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{backend: newBackend(t)}
	api := operatorapi.New(f.backend, operatorapi.Options{
		Token: testToken, Logger: slog.New(slog.DiscardHandler), Metrics: http.NotFoundHandler(),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.Method == http.MethodGet || f.answersToLose.Add(-1) < 0 {
			api.ServeHTTP(w, r)
			return
		}
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// result is the exit code and the output of a run of the tool.
type result struct {
	code        int
	out, errOut string
}

func (f *fixture) run(t *testing.T, args ...string) result {
	t.Helper()
	return runTool(t, append(args, "--address", f.address, "--token", testToken)...)
}

func runTool(t *testing.T, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), args, io.LimitReader(nil, 0), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}
