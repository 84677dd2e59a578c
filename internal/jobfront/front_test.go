package jobfront

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/queue"
)

const (
	queued    = pb.JobState_JOB_STATE_QUEUED
	running   = pb.JobState_JOB_STATE_RUNNING
	completed = pb.JobState_JOB_STATE_COMPLETED
)

var (
	errNotAccepted    = errors.New("not accepted")
	errUndecided      = errors.New("undecided")
	errOtherWorkspace = errors.New("other workspace")
	errDown           = errors.New("down")
)

type codec struct{}

func (codec) DecodeJob(body []byte) (*pb.JobSpec, error) {
	spec := &pb.JobSpec{}
	return spec, json.Unmarshal(body, spec)
}
func (codec) EncodeState(s pb.JobState) []byte { return []byte(s.String()) }
func (codec) EncodePending(n int64) []byte     { return strconv.AppendInt(nil, n, 10) }
func (codec) ValidJobID(id string) bool        { return len(id) == 4 }

// fakeBackend fakes the store, the owners and the tables of a front. Its fields are set between requests.
type fakeBackend struct {
	mu       sync.Mutex
	table    *queue.Table
	stale    bool
	storeErr error
	ownerErr error
	// owner and stored are the states of jobs by id, as returned by owners and by the store.
	owner    map[string]pb.JobState
	stored   map[string]pb.JobState
	records  []*pb.JobRecord
	notified []string
	pending  int64
	// queries counts the calls to owners for states and counts.
	queries    int
	storeDelay time.Duration
	// ownerDelay is the delay of new jobs that owners report.
	ownerDelay time.Duration
	// confirmedAge is the time since the table was confirmed.
	confirmedAge time.Duration
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{
		owner: map[string]pb.JobState{}, stored: map[string]pb.JobState{},
		table: &queue.Table{Version: 1, Queues: []queue.Queue{
			{Name: "wide", Host: "h.example", Prefix: "/a/", Pool: "p"},
			{Name: "narrow", Host: "h.example", Prefix: "/a/b/", Pool: "r"},
		}},
	}
}

func (b *fakeBackend) Table() *queue.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// setLimits replaces the table by one with other limits.
func (b *fakeBackend) setLimits(limits queue.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = &queue.Table{Version: b.table.Version + 1, Queues: b.table.Queues, Limits: limits}
}

func (b *fakeBackend) Current() bool { return !b.stale }
func (b *fakeBackend) StoreAge() time.Duration {
	if b.stale {
		return time.Hour
	}
	return 0
}

func (b *fakeBackend) Accept(ctx context.Context, job *pb.JobRecord) error {
	if b.storeDelay > 0 {
		select {
		case <-time.After(b.storeDelay):
		case <-ctx.Done():
			return errUndecided
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, stored := b.stored[job.GetId()]; stored && !b.mayAccess(job.GetId(), jobstate.Requester{Workspace: job.GetWorkspace()}) {
		return errOtherWorkspace
	}
	if b.storeErr == nil {
		b.stored[job.GetId()] = queued
		b.records = append(b.records, job)
	}
	return b.storeErr
}

func (b *fakeBackend) setStoreErr(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeErr = err
}

func (b *fakeBackend) ConfirmedRecently() bool     { return b.ConfirmedAge() < 8500*time.Millisecond }
func (b *fakeBackend) ConfirmedAge() time.Duration { return b.confirmedAge }

// mayAccess reports whether by may access the job; jobs that were not submitted in the test have no workspace.
func (b *fakeBackend) mayAccess(id string, by jobstate.Requester) bool {
	for _, job := range b.records {
		if job.GetId() == id {
			return by.MayAccess(job.GetWorkspace())
		}
	}
	return by.MayAccess("")
}

func (b *fakeBackend) Cancel(_ context.Context, ref jobstate.Ref, _ jobstate.Requester) (bool, error) {
	_, known := b.stored[ref.ID]
	return known && b.storeErr == nil, b.storeErr
}

func (b *fakeBackend) CancelOwn(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (bool, error) {
	if !b.mayAccess(ref.ID, by) {
		return false, b.storeErr
	}
	return b.Cancel(ctx, ref, by)
}

func (b *fakeBackend) Locate(context.Context, string) (jobstate.Ref, bool, error) {
	return jobstate.Ref{}, false, b.storeErr
}

func (b *fakeBackend) Lookup(_ context.Context, _, id string, by jobstate.Requester) (pb.JobState, bool, error) {
	state, known := b.stored[id]
	return state, known && b.mayAccess(id, by), b.storeErr
}

func (b *fakeBackend) States(ctx context.Context, _, _ string, ids []string) ([]pb.JobState, error) {
	if errors.Is(b.ownerErr, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queries++
	return []pb.JobState{b.owner[ids[0]]}, b.ownerErr
}

func (b *fakeBackend) Offer(_ context.Context, pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, job := range jobs {
		b.notified = append(b.notified, pool+" "+job.GetId())
	}
	for _, c := range cancelled {
		b.notified = append(b.notified, strings.TrimSpace(pool+" -"+c.GetId()+" "+c.GetWorkspace()))
	}
	return b.ownerDelay, b.ownerErr == nil
}

func (b *fakeBackend) Pending(context.Context, string, string) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queries++
	return b.pending, b.ownerErr
}

func (b *fakeBackend) front() *Front {
	return New(Options{
		Codec: codec{}, Store: b, Owners: b, Tables: b, ContentType: "application/json",
		IsNotAccepted:    func(err error) bool { return errors.Is(err, errNotAccepted) },
		IsOtherWorkspace: func(err error) bool { return errors.Is(err, errOtherWorkspace) },
		KeyHeader:        "Api-Key", MaxTableAge: func() time.Duration { return 9 * time.Second },
	})
}

func do(f *Front, method, path, body string) *httptest.ResponseRecorder {
	return doWithin(f, "", method, path, body)
}

// doWithin is do with a Deadline-Ms header; empty for none.
func doWithin(f *Front, deadline, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, "http://h.example"+path, strings.NewReader(body))
	if deadline != "" {
		r.Header.Set(headerDeadline, deadline)
	}
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, r)
	return w
}

func TestSubmit(t *testing.T) {
	cases := []struct {
		name, path, body string
		arrange          func(*fakeBackend)
		status           int
		retry            bool
	}{
		{name: "stored", path: "/a/0001", status: 200},
		{name: "longest prefix", path: "/a/b/0001", status: 200},
		{name: "bad body", path: "/a/0001", body: "{", status: 400},
		{name: "bad id", path: "/a/1", status: 400},
		{name: "no queue", path: "/b/0001", status: 404},
		{name: "no queue in a stale table", path: "/b/0001", arrange: func(b *fakeBackend) { b.stale = true }, status: 503, retry: true},
		{name: "no table", path: "/a/0001", arrange: func(b *fakeBackend) { b.table = nil }, status: 503, retry: true},
		{name: "not accepted", path: "/a/0001", arrange: func(b *fakeBackend) { b.storeErr = errNotAccepted }, status: 503, retry: true},
		{name: "undecided", path: "/a/0001", arrange: func(b *fakeBackend) { b.storeErr = errUndecided }, status: 504},
		{name: "another error", path: "/a/0001", arrange: func(b *fakeBackend) { b.storeErr = errDown }, status: 504},
		{
			name: "too large", path: "/a/0001", body: `{"payload":"123456789"}`,
			arrange: func(b *fakeBackend) { b.table.Limits.MaxBodyBytes = 10 }, status: 413,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFakeBackend()
			if c.arrange != nil {
				c.arrange(b)
			}
			if c.body == "" {
				c.body = `{"payload":"x"}`
			}
			got := doWithin(b.front(), "400", http.MethodPost, c.path, c.body)
			assert.Equal(t, got.Code, c.status)
			assert.Equal(t, got.Header().Get("Retry-After") != "", c.retry)
			assert.Equal(t, len(b.records) == 1, c.status == 200)
		})
	}
}

func TestSubmitNotifiesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeBackend()
		f := b.front()
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		do(f, http.MethodPost, "/a/0001", "{}")
		do(f, http.MethodPost, "/a/b/0002", "{}")
		do(f, http.MethodDelete, "/a/0001", "")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(b.notified), 3)
		assert.Assert(t, bytes.Contains([]byte(strings.Join(b.notified, ",")), []byte("p 0001,p -0001")))
	})
}

func TestState(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*fakeBackend)
		status  int
		body    string
	}{
		{name: "owner knows", arrange: func(b *fakeBackend) { b.owner["0001"] = running }, status: 200, body: running.String()},
		{name: "owner does not know yet", arrange: func(b *fakeBackend) { b.stored["0001"] = queued }, status: 200, body: queued.String()},
		{
			name: "owner silent", status: 200, body: queued.String(),
			arrange: func(b *fakeBackend) { b.stored["0001"], b.ownerErr = queued, context.DeadlineExceeded },
		},
		{name: "no such job", arrange: func(*fakeBackend) {}, status: 410},
		{name: "store down is not reported as gone", arrange: func(b *fakeBackend) { b.storeErr = errDown }, status: 503},
		{
			name: "store and owner down", status: 503,
			arrange: func(b *fakeBackend) { b.storeErr, b.ownerErr = errDown, errDown },
		},
		{
			name: "store down, owner knows", status: 200, body: running.String(),
			arrange: func(b *fakeBackend) { b.storeErr, b.owner["0001"] = errDown, running },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFakeBackend()
				c.arrange(b)
				got := do(b.front(), http.MethodGet, "/a/0001", "")
				assert.Equal(t, got.Code, c.status)
				assert.Equal(t, got.Body.String(), c.body)
			})
		})
	}
}

func TestFinalStateIsCached(t *testing.T) {
	b := newFakeBackend()
	b.owner["0001"] = completed
	f := b.front()
	do(f, http.MethodGet, "/a/0001", "")
	b.ownerErr, b.storeErr = errDown, errDown
	assert.Equal(t, do(f, http.MethodGet, "/a/0001", "").Body.String(), completed.String())
	assert.Equal(t, b.queries, 1)
}

func TestCancel(t *testing.T) {
	cases := []struct {
		name   string
		stored bool
		err    error
		status int
	}{
		{name: "known", stored: true, status: 200},
		{name: "unknown", status: 410},
		{name: "not written", stored: true, err: errNotAccepted, status: 503},
		{name: "undecided", stored: true, err: errUndecided, status: 504},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFakeBackend()
			if c.stored {
				b.stored["0001"] = queued
			}
			b.storeErr = c.err
			assert.Equal(t, doWithin(b.front(), "400", http.MethodDelete, "/a/0001", "").Code, c.status)
		})
	}
}

// TestCallersDeadline checks that the answer comes within the caller's deadline and the queue's timeout.
func TestCallersDeadline(t *testing.T) {
	cases := []struct {
		deadline string
		timeout  time.Duration
		want     time.Duration
	}{
		{deadline: "800", want: 800 * time.Millisecond},
		{deadline: "800", timeout: 500 * time.Millisecond, want: 500 * time.Millisecond},
		{deadline: "800", timeout: time.Minute, want: 800 * time.Millisecond},
		{deadline: "3600000", want: maxStoreWait},
		{deadline: "-1", want: maxStoreWait},
		{deadline: "", want: maxStoreWait},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			b := newFakeBackend()
			b.storeDelay = time.Hour
			b.table.Queues[0].Timeout = c.timeout
			f := b.front()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/a/0001", strings.NewReader("{}"))
			r.Header.Set("Deadline-Ms", c.deadline)
			began := time.Now()
			got := httptest.NewRecorder()
			f.Handler().ServeHTTP(got, r)
			assert.Equal(t, got.Code, http.StatusGatewayTimeout)
			assert.Equal(t, time.Since(began), c.want-responseMargin)
		})
	}
}

// TestPendingAge checks the largest age of a count, both while the owner answers and while it cannot be reached.
func TestPendingAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeBackend()
		f := b.front()
		read := func() string {
			synctest.Wait()
			got := do(f, http.MethodGet, "/a/", "")
			return strconv.Itoa(got.Code) + " " + got.Body.String()
		}
		b.pending = 1
		assert.Equal(t, read(), "200 1")
		b.pending = 2
		assert.Equal(t, read(), "200 1")
		time.Sleep(pendingFreshFor + time.Millisecond)
		assert.Equal(t, read(), "200 2")
		assert.Equal(t, b.queries, 2)
		b.ownerErr = errDown
		time.Sleep(pendingMaxAge - time.Millisecond)
		assert.Equal(t, read(), "200 2")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, read(), "503 ")
		b.ownerErr, b.pending = nil, 3
		assert.Equal(t, read(), "200 3")
	})
}
