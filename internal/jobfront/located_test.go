package jobfront

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/store/memtxn"
)

const jobBody = `{"payload":"x"}`

// nestedFixture is an entry host with a store of its own, whose configuration the test changes.
type nestedFixture struct {
	*Front
	backend *fakeBackend
	kv      *memtxn.Store
}

// withNested calls test with a fixture. The queues get the host of requests.
func withNested(t *testing.T, workspaces []queue.Workspace, test func(f *nestedFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := &nestedFixture{backend: newFakeBackend(), kv: memtxn.New()}
		f.backend.table = &queue.Table{Workspaces: workspaces}
		jobs := jobstore.New(f.kv.Client("h"), time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		go func() { _ = jobs.Run(ctx) }()
		f.Front = New(Options{
			Codec: codec{}, Store: jobs, Owners: f.backend, Tables: f.backend, IsNotAccepted: isNotStored,
			IsOtherWorkspace: jobstore.OtherWorkspace.Has, IsStoredElsewhere: jobstore.StoredElsewhere.Has,
			KeyHeader: "Api-Key", MaxTableAge: func() time.Duration { return 9 * time.Second },
		})
		test(f)
	})
}

// configure puts a version with these queues in force.
func (f *nestedFixture) configure(queues ...queue.Queue) {
	f.backend.mu.Lock()
	defer f.backend.mu.Unlock()
	for i := range queues {
		queues[i].Name, queues[i].Host = queues[i].Prefix, "h.example"
	}
	f.backend.table = &queue.Table{Version: f.backend.table.Version + 1, Workspaces: f.backend.table.Workspaces, Queues: queues}
}

func (f *nestedFixture) call(key, method, path, body string) *httptest.ResponseRecorder {
	if key == "" {
		return do(f.Front, method, path, body)
	}
	return doWithKeys(f.Front, method, path, body, key)
}

// Failure: a route below another one was removed. Its jobs ran on and were answered with 410, also to DELETE, and could not be
// cancelled any more; the repetition of an accepted submission was rejected.
func TestJobsOfARemovedNestedRouteAreFound(t *testing.T) {
	withNested(t, nil, func(f *nestedFixture) {
		outer, nested := queue.Queue{Prefix: "/q/", Pool: "a"}, queue.Queue{Prefix: "/q/x/", Pool: "b"}
		f.configure(outer, nested)
		assert.Equal(t, f.call("", http.MethodPost, "/q/x/0001", jobBody).Code, http.StatusOK)
		f.configure(outer)
		got := f.call("", http.MethodGet, "/q/x/0001", "")
		assert.Equal(t, got.Code, http.StatusOK)
		assert.Equal(t, got.Body.String(), queued.String())
		assert.Equal(t, f.call("", http.MethodPost, "/q/x/0001", jobBody).Code, http.StatusOK)
		assert.Equal(t, len(f.kv.Items("agateturn/in/")), 1)
		assert.Equal(t, f.call("", http.MethodDelete, "/q/x/0001", "").Code, http.StatusOK)
		assert.Equal(t, len(f.kv.Items(jobkeys.Cancel("b", "0001"))), 1)
		assert.Equal(t, f.call("", http.MethodGet, "/q/x/0001", "").Body.String(), pb.JobState_JOB_STATE_CANCELLED.String())
	})
}

// Failure: a job that was accepted below a shorter prefix was unknown once a longer one covered a part of its id.
func TestJobBelowANewLongerPrefixIsFound(t *testing.T) {
	withNested(t, nil, func(f *nestedFixture) {
		outer := queue.Queue{Prefix: "/q/", Pool: "a"}
		f.configure(outer)
		assert.Equal(t, f.call("", http.MethodPost, "/q/0001", jobBody).Code, http.StatusOK)
		f.configure(outer, queue.Queue{Prefix: "/q/00", Pool: "b"})
		assert.Equal(t, f.call("", http.MethodGet, "/q/0001", "").Code, http.StatusOK)
		assert.Equal(t, f.call("", http.MethodDelete, "/q/0001", "").Code, http.StatusOK)
		assert.Equal(t, len(f.kv.Items(jobkeys.Cancel("a", "0001"))), 1)
	})
}

// Pattern: requests at paths that no queue has accepted a job at, beside jobs with the same id at other paths.
func TestNoJobIsFoundAtAPathWhereNoneWasSubmitted(t *testing.T) {
	withNested(t, nil, func(f *nestedFixture) {
		outer, nested := queue.Queue{Prefix: "/q/", Pool: "a"}, queue.Queue{Prefix: "/q/x/", Pool: "a"}
		f.configure(outer, nested)
		assert.Equal(t, f.call("", http.MethodPost, "/q/0001", jobBody).Code, http.StatusOK)
		f.configure(outer)
		for _, path := range []string{"/q/x/0001", "/q/x/", "/q/x"} {
			assert.Equal(t, f.call("", http.MethodGet, path, "").Code, http.StatusGone, path)
			assert.Equal(t, f.call("", http.MethodDelete, path, "").Code, http.StatusGone, path)
			assert.Equal(t, f.call("", http.MethodPost, path, jobBody).Code, http.StatusBadRequest, path)
		}
		assert.Equal(t, len(f.kv.Items(jobkeys.Cancel("a", "0001"))), 0)
		assert.Equal(t, f.call("", http.MethodGet, "/q/0001", "").Body.String(), queued.String())
	})
}

// Failure: as in TestJobsOfARemovedNestedRouteAreFound, where the shorter route is public or the removed one was. Only the workspace of a
// job sees it and cancels it.
func TestJobsOfARemovedNestedRouteBelongToTheirWorkspace(t *testing.T) {
	workspaces := []queue.Workspace{{Name: "v", Keys: []string{"key-v"}}, {Name: "w", Keys: []string{"key-w"}}}
	for name, public := range map[string]struct{ outer, nested bool }{
		"both private": {}, "shorter one public": {outer: true}, "removed one public": {nested: true},
	} {
		t.Run(name, func(t *testing.T) {
			withNested(t, workspaces, func(f *nestedFixture) {
				outer := queue.Queue{Prefix: "/q/", Pool: "a", Public: public.outer}
				f.configure(outer, queue.Queue{Prefix: "/q/x/", Pool: "a", Public: public.nested})
				assert.Equal(t, f.call("key-w", http.MethodPost, "/q/x/0001", jobBody).Code, http.StatusOK)
				f.configure(outer)
				if !public.nested {
					assert.Equal(t, f.call("key-v", http.MethodGet, "/q/x/0001", "").Code, http.StatusGone)
					assert.Equal(t, f.call("key-v", http.MethodDelete, "/q/x/0001", "").Code, http.StatusGone)
					assert.Equal(t, f.call("key-v", http.MethodPost, "/q/x/0001", jobBody).Code, http.StatusConflict)
				}
				without := http.StatusUnauthorized
				if public.outer {
					without = http.StatusGone
				}
				assert.Equal(t, f.call("", http.MethodGet, "/q/x/0001", "").Code, without)
				assert.Equal(t, f.call("key-w", http.MethodGet, "/q/x/0001", "").Code, http.StatusOK)
				assert.Equal(t, f.call("key-w", http.MethodPost, "/q/x/0001", jobBody).Code, http.StatusOK)
				assert.Equal(t, len(f.kv.Items(jobkeys.Cancel("a", "0001"))), 0)
				assert.Equal(t, f.call("key-w", http.MethodDelete, "/q/x/0001", "").Code, http.StatusOK)
				assert.Equal(t, len(f.kv.Items(jobkeys.Cancel("a", "0001"))), 1)
			})
		})
	}
}

// Failure: a store that did not answer was taken for one without the job, and the repetition of an accepted submission was rejected.
func TestRemovedNestedRouteBesideAStoreThatDoesNotAnswer(t *testing.T) {
	b := newFakeBackend()
	b.storeErr = errDown
	f := b.front()
	assert.Equal(t, do(f, http.MethodGet, "/a/gone/0001", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, do(f, http.MethodDelete, "/a/gone/0001", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, do(f, http.MethodPost, "/a/gone/0001", jobBody).Code, http.StatusGatewayTimeout)
}
