package jobfront

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
)

// Keys of the workspaces in the tests, and one that no configuration contains.
const (
	northKey = "key-of-north-5d1a"
	southKey = "key-of-south-77b0"
	noKey    = "key-of-nobody-c3e9"
)

// withKeys returns a backend whose queue /a/ needs a key and whose queue /a/b/ is public.
func withKeys() *fakeBackend {
	b := newFakeBackend()
	b.table.Queues[1].Public = true
	b.table.Queues[1].Pool = "p"
	b.table.Workspaces = []queue.Workspace{
		{Name: "north", Keys: []string{northKey}, Cap: queue.Cap{CPUMilli: 8000, MemoryMB: 0, GPU: 2}},
		{Name: "south", Keys: []string{southKey, northKey}},
	}
	return b
}

func doWithKeys(f *Front, method, path, body string, keys ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, "http://h.example"+path, strings.NewReader(body))
	for _, key := range keys {
		r.Header.Add("Api-Key", key)
	}
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, r)
	return w
}

// calls are all calls of callers, on a job that exists.
var calls = []struct{ method, id string }{
	{http.MethodPost, "0009"}, {http.MethodGet, "0001"}, {http.MethodDelete, "0001"}, {http.MethodGet, ""}, {http.MethodPut, "0001"},
}

// TestUnknownKeysAreNeverServed guards against any call that is served, or that reaches the store or an owner, with a key that
// the configuration does not contain.
func TestUnknownKeysAreNeverServed(t *testing.T) {
	credentials := map[string][]string{
		"none": nil, "empty": {""}, "unknown": {noKey}, "two": {northKey, southKey}, "known and unknown": {northKey, noKey},
		"prefix": {northKey[:8]}, "list": {northKey + "," + southKey}, "scheme": {"Bearer " + northKey}, "other case": {strings.ToUpper(northKey)},
	}
	for name, keys := range credentials {
		for _, age := range []time.Duration{0, 8499 * time.Millisecond, 8500 * time.Millisecond, time.Hour} {
			for _, call := range calls {
				t.Run(fmt.Sprint(name, age, call), func(t *testing.T) {
					b := withKeys()
					b.stored["0001"] = running
					b.confirmedAge = age
					f := b.front()
					got := doWithKeys(f, call.method, "/a/"+call.id, "{}", keys...)
					want, retry := http.StatusUnauthorized, ""
					if age >= 8500*time.Millisecond { // the key may have been added just now
						want, retry = http.StatusServiceUnavailable, "1"
					}
					assert.Equal(t, got.Code, want)
					assert.Equal(t, got.Header().Get("Retry-After"), retry)
					assert.Equal(t, got.Body.Len(), 0)
					assert.Equal(t, len(b.records)+b.queries+len(f.offers.queue.Items()), 0)
				})
			}
		}
	}
}

// TestKnownKeysOnUnconfirmedHost guards against jobs accepted and cancelled with a key that may have been removed, on a host
// that is cut off or was paused. States and counts are still served.
func TestKnownKeysOnUnconfirmedHost(t *testing.T) {
	for _, call := range calls[:4] {
		for _, age := range []time.Duration{9 * time.Second, 9001 * time.Millisecond} {
			b := withKeys()
			f := b.front()
			assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/0001", "{}", northKey).Code, http.StatusOK)
			b.confirmedAge = age
			got := doWithKeys(f, call.method, "/a/"+call.id, "{}", northKey)
			rejected := age > 9*time.Second && call.method != http.MethodGet
			assert.Equal(t, got.Code == http.StatusServiceUnavailable, rejected, "%v at %s: %d", call, age, got.Code)
			assert.Equal(t, got.Code == http.StatusOK, !rejected, "%v at %s: %d", call, age, got.Code)
			assert.Equal(t, got.Header().Get("Retry-After") == "1", rejected)
		}
	}
}

// TestKeyOfReplacedTable guards against a request that found the table before a pause, and its age after it.
func TestKeyOfReplacedTable(t *testing.T) {
	b := withKeys()
	f := b.front()
	old := f.currentTable()
	b.setLimits(queue.Limits{})
	for key, reason := range map[string]string{northKey: reasonKeyMayBeRemoved, noKey: reasonKeyMayBeNew} {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/a/0001", nil)
		r.Header.Set("Api-Key", key)
		got := f.authenticate(t.Context(), old, r, &request{queue: &old.table.Queues[0]})
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.reason, reason)
	}
}

// TestWithoutKeys checks that public queues, and configurations without a list of workspaces, need no key, whatever the caller
// sends and however old the table is, and that their jobs belong to no workspace. An empty list means that no key is valid.
func TestWithoutKeys(t *testing.T) {
	for name, arrange := range map[string]func(*fakeBackend) (path string){
		"no list":                     func(b *fakeBackend) string { b.table.Workspaces = nil; return "/a/" },
		"no list, public":             func(b *fakeBackend) string { b.table.Workspaces = nil; return "/a/b/" },
		"public":                      func(*fakeBackend) string { return "/a/b/" },
		"public with an empty list":   func(b *fakeBackend) string { b.table.Workspaces = []queue.Workspace{}; return "/a/b/" },
		"public, table not confirmed": func(b *fakeBackend) string { b.confirmedAge = time.Hour; return "/a/b/" },
	} {
		t.Run(name, func(t *testing.T) {
			b := withKeys()
			path := arrange(b)
			f := b.front()
			for _, key := range []string{northKey, noKey} {
				assert.Equal(t, doWithKeys(f, http.MethodPost, path+"0001", "{}", key).Code, http.StatusOK)
				assert.Equal(t, doWithKeys(f, http.MethodGet, path+"0001", "", key).Code, http.StatusOK)
				assert.Equal(t, doWithKeys(f, http.MethodDelete, path+"0001", "", key).Code, http.StatusOK)
				assert.Equal(t, doWithKeys(f, http.MethodGet, path, "", key).Code, http.StatusOK)
			}
			assert.Equal(t, b.records[0].GetWorkspace(), "")
		})
	}
	b := withKeys()
	b.table.Workspaces = []queue.Workspace{}
	assert.Equal(t, doWithKeys(b.front(), http.MethodPost, "/a/0001", "{}", northKey).Code, http.StatusUnauthorized)
	assert.Equal(t, doWithKeys(b.front(), http.MethodPost, "/x/0001", "{}", noKey).Code, http.StatusNotFound, "an unknown queue comes first")
}

// TestWorkspacesSeeOnlyTheirJobs guards against states shown to, and cancellations taken from, another workspace, also from the
// cache of final states, and against a submission that replaces another workspace's job.
func TestWorkspacesSeeOnlyTheirJobs(t *testing.T) {
	b := withKeys()
	f := b.front()
	assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/0001", "{}", northKey).Code, http.StatusOK)
	assert.Equal(t, b.records[0].GetWorkspace(), "north", "a key that two workspaces have belongs to the first")
	b.stored["0001"] = completed
	for range 2 {
		assert.Equal(t, doWithKeys(f, http.MethodGet, "/a/0001", "", northKey).Code, http.StatusOK)
		assert.Equal(t, doWithKeys(f, http.MethodGet, "/a/0001", "", southKey).Code, http.StatusGone)
		assert.Equal(t, doWithKeys(f, http.MethodGet, "/a/b/0001", "").Code, http.StatusGone, "through a public queue of the pool")
	}
	assert.Equal(t, doWithKeys(f, http.MethodDelete, "/a/0001", "", southKey).Code, http.StatusGone)
	assert.Equal(t, doWithKeys(f, http.MethodDelete, "/a/b/0001", "").Code, http.StatusGone)
	assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/0001", "{}", southKey).Code, http.StatusConflict)
	assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/b/0001", "{}").Code, http.StatusConflict)
	assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/0001", "{}", northKey).Code, http.StatusOK, "the same job again")
	assert.Equal(t, f.offers.queue.Len(), 2, "only the owner's submissions are offered")
}

// TestConflictThroughAPeer guards against a submission repeated at a second peer, or answered as undecided, although the first
// peer found that the id belongs to another workspace.
func TestConflictThroughAPeer(t *testing.T) {
	b := withKeys()
	b.storeErr = errNotAccepted
	f := b.front()
	r := &relays{order: []string{"1", "2"}, answers: map[string]pb.StoreResult{"1": pb.StoreResult_STORE_RESULT_OTHER_WORKSPACE}, calls: map[string]int{}}
	f.relay = newRelay(r, NewMetrics(nil), slog.New(slog.DiscardHandler))
	assert.Equal(t, doWithKeys(f, http.MethodPost, "/a/0001", "{}", northKey).Code, http.StatusConflict)
	assert.DeepEqual(t, r.calls, map[string]int{"1": 1})
}

// TestJobsLargerThanTheCap guards against accepted jobs that could never run, and against rejected ones that could.
func TestJobsLargerThanTheCap(t *testing.T) {
	cases := map[string]bool{
		`{"cpu_milli":8000,"count":50}`:                           true,
		`{"cpu_milli":8001,"count":1}`:                            false,
		`{"cpu_milli":8001,"count":1,"fills":true}`:               true,
		`{"cpu_milli":2000,"count":4,"gang":true}`:                true,
		`{"cpu_milli":2000,"count":5,"gang":true}`:                false,
		`{"memory_mb":100000000,"count":5,"gang":true}`:           true,
		`{"gpu":1,"count":3}`:                                     true,
		`{"gpu":1,"count":3,"gang":true}`:                         false,
		`{"cpu_milli":1,"count":1},{"cpu_milli":9000,"count":1}`:  false,
		`{"cpu_milli":4611686018427387904,"count":4,"gang":true}`: false,
	}
	for steps, accepted := range cases {
		b := withKeys()
		body := `{"steps":[` + steps + `]}`
		got := doWithKeys(b.front(), http.MethodPost, "/a/0001", body, northKey)
		want := http.StatusBadRequest
		if accepted {
			want = http.StatusOK
		}
		assert.Equal(t, got.Code, want, steps)
		assert.Equal(t, len(b.records) == 1, accepted, steps)
		assert.Equal(t, strings.Contains(got.Body.String(), "cap"), !accepted, steps)
		assert.Equal(t, doWithKeys(b.front(), http.MethodPost, "/a/0002", body, southKey).Code, http.StatusOK, steps)
	}
}

// TestKeysAreNotLogged guards against keys in log lines and metrics.
func TestKeysAreNotLogged(t *testing.T) {
	var log strings.Builder
	b := withKeys()
	f := b.front()
	f.options.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	for _, age := range []time.Duration{0, time.Hour, 0} {
		b.confirmedAge = age
		for _, key := range []string{northKey, noKey} {
			for _, call := range calls {
				doWithKeys(f, call.method, "/a/"+call.id, "{}", key)
			}
		}
	}
	w := httptest.NewRecorder()
	f.MetricsHandler().ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/metrics", nil))
	for _, want := range []string{"workspace=north", reasonUnknownKey, reasonKeyMayBeNew, reasonKeyMayBeRemoved, "keys_unconfirmed", "keys_confirmed"} {
		assert.Assert(t, strings.Contains(log.String(), want), want)
	}
	assert.Assert(t, strings.Contains(w.Body.String(), `reason="unknown key"`), w.Body.String())
	assert.Assert(t, !strings.Contains(log.String()+w.Body.String(), "key-of-"))
}
