package jobfront

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against a job that is answered as unknown, run again by another pool, or not cancelled, once a new version of the
// configuration sends its host and path to another pool. The entry host that is asked has not seen the version before.
func TestRouteThatMovesToAnotherPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		kv := memtxn.New()
		host := func(name, queueName, pool string) (*Front, *fakeBackend) {
			b := newFakeBackend()
			b.table = &queue.Table{Version: 1, Queues: []queue.Queue{{Name: queueName, Host: "h.example", Prefix: "/a/", Pool: pool}}}
			jobs := jobstore.New(kv.Client(name), time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
			go func() { _ = jobs.Run(ctx) }()
			f := New(Options{
				Codec: codec{}, Store: jobs, Owners: b, Tables: b, IsNotAccepted: isNotStored,
				IsOtherWorkspace: jobstore.OtherWorkspace.Has, IsStoredElsewhere: jobstore.StoredElsewhere.Has,
			})
			go f.Run(ctx)
			return f, b
		}
		const body = `{"payload":"x"}`
		before, ownerBefore := host("before", "q", "a")
		assert.Equal(t, do(before, http.MethodPost, "/a/0001", body).Code, http.StatusOK)
		after, ownerAfter := host("after", "q2", "b")
		got := do(after, http.MethodGet, "/a/0001", "")
		assert.Equal(t, got.Code, http.StatusOK)
		assert.Equal(t, got.Body.String(), queued.String())
		assert.Equal(t, do(after, http.MethodPost, "/a/0001", body).Code, http.StatusOK)
		assert.Equal(t, len(kv.Items(jobkeys.Job("a", "0001"))), 1)
		assert.Equal(t, len(kv.Items(jobkeys.Job("b", "0001"))), 0)
		assert.Equal(t, do(after, http.MethodDelete, "/a/0001", "").Code, http.StatusOK)
		assert.Equal(t, len(kv.Items(jobkeys.Cancel("a", "0001"))), 1)
		got = do(before, http.MethodGet, "/a/0001", "")
		assert.Equal(t, got.Body.String(), pb.JobState_JOB_STATE_CANCELLED.String())
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, ownerBefore.notified, []string{"a 0001"})
		assert.DeepEqual(t, ownerAfter.notified, []string{"a -0001"})
		assert.Equal(t, do(after, http.MethodGet, "/a/0002", "").Code, http.StatusGone)
	})
}

// Guards against jobs whose attempts, priority, objective or advice follow from a later version of the configuration.
func TestSubmissionRecordsTheTermsOfItsQueue(t *testing.T) {
	b := newFakeBackend()
	b.table = &queue.Table{Version: 1, Queues: []queue.Queue{{
		Name: "q", Host: "h.example", Prefix: "/a/", Pool: "p", Priority: 2, MaxAttempts: 5, Stretch: 1.5, TargetDuration: 600 * time.Millisecond,
		Advice: &queue.Advice{TicketLifetime: 3 * time.Second},
	}}}
	assert.Equal(t, do(b.front(), http.MethodPost, "/a/0001", `{"payload":"x"}`).Code, http.StatusOK)
	want := &pb.JobTerms{Priority: 2, MaxAttempts: 5, Stretch: 1.5, TargetDurationMs: 600, Advised: true, TicketLifetimeMs: 3000}
	assert.Assert(t, proto.Equal(b.records[0].GetTerms(), want), "%v", b.records[0].GetTerms())
}
