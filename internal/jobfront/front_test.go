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
	"github.com/agateturn/agateturn/queue"
)

const (
	queued    = pb.JobState_JOB_STATE_QUEUED
	running   = pb.JobState_JOB_STATE_RUNNING
	completed = pb.JobState_JOB_STATE_COMPLETED
)

var (
	errNotAccepted = errors.New("not accepted")
	errUndecided   = errors.New("undecided")
	errDown        = errors.New("down")
)

type codec struct{}

func (codec) DecodeJob(body []byte) (*pb.JobSpec, error) {
	spec := &pb.JobSpec{}
	return spec, json.Unmarshal(body, spec)
}
func (codec) EncodeState(s pb.JobState) []byte { return []byte(s.String()) }
func (codec) EncodePending(n int64) []byte     { return strconv.AppendInt(nil, n, 10) }
func (codec) ValidJobID(id string) bool        { return len(id) == 4 }

// world fakes all that a front needs. Its fields are set between requests.
type world struct {
	mu       sync.Mutex
	table    *queue.Table
	stale    bool
	storeErr error
	ownerErr error
	owner    map[string]pb.JobState
	stored   map[string]pb.JobState
	records  []*pb.JobRecord
	told     []string
	counted  int64
	asked    int
	wait     time.Duration
	// busy is what owners say a new job would wait.
	busy time.Duration
}

func newWorld() *world {
	return &world{
		owner: map[string]pb.JobState{}, stored: map[string]pb.JobState{},
		table: &queue.Table{Version: 1, Queues: []queue.Queue{
			{Name: "wide", Host: "h.example", Prefix: "/a/", Pool: "p"},
			{Name: "narrow", Host: "h.example", Prefix: "/a/b/", Pool: "r"},
		}},
	}
}

func (w *world) Table() *queue.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// limit puts a table with other limits in force.
func (w *world) limit(limits queue.Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = &queue.Table{Version: w.table.Version + 1, Queues: w.table.Queues, Limits: limits}
}

func (w *world) Current() bool { return !w.stale }
func (w *world) StoreAge() time.Duration {
	if w.stale {
		return time.Hour
	}
	return 0
}

func (w *world) Accept(ctx context.Context, job *pb.JobRecord) error {
	if w.wait > 0 {
		select {
		case <-time.After(w.wait):
		case <-ctx.Done():
			return errUndecided
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeErr == nil {
		w.stored[job.GetId()] = queued
		w.records = append(w.records, job)
	}
	return w.storeErr
}

func (w *world) Cancel(_ context.Context, _, id string) (bool, error) {
	_, known := w.stored[id]
	return known && w.storeErr == nil, w.storeErr
}

func (w *world) Lookup(_ context.Context, _, id string) (pb.JobState, bool, error) {
	state, known := w.stored[id]
	return state, known, w.storeErr
}

func (w *world) States(ctx context.Context, _ string, ids []string) ([]pb.JobState, error) {
	if errors.Is(w.ownerErr, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	return []pb.JobState{w.owner[ids[0]]}, w.ownerErr
}

func (w *world) Offer(_ context.Context, pool string, jobs []*pb.JobRecord, cancelled []string) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, job := range jobs {
		w.told = append(w.told, pool+" "+job.GetId())
	}
	for _, id := range cancelled {
		w.told = append(w.told, pool+" -"+id)
	}
	return w.busy, w.ownerErr == nil
}

func (w *world) Pending(context.Context, string, string) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	return w.counted, w.ownerErr
}

func (w *world) front() *Front {
	return New(Options{
		Codec: codec{}, Store: w, Owners: w, Tables: w, ContentType: "application/json",
		IsNotAccepted: func(err error) bool { return errors.Is(err, errNotAccepted) },
	})
}

func do(f *Front, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, "http://h.example"+path, strings.NewReader(body))
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, r)
	return w
}

func TestHandIn(t *testing.T) {
	cases := []struct {
		name, path, body string
		arrange          func(*world)
		status           int
		repeat           bool
	}{
		{name: "stored", path: "/a/0001", status: 200},
		{name: "longest prefix", path: "/a/b/0001", status: 200},
		{name: "bad body", path: "/a/0001", body: "{", status: 400},
		{name: "bad id", path: "/a/1", status: 400},
		{name: "no queue", path: "/b/0001", status: 404},
		{name: "no queue in an old table", path: "/b/0001", arrange: func(w *world) { w.stale = true }, status: 503, repeat: true},
		{name: "no table", path: "/a/0001", arrange: func(w *world) { w.table = nil }, status: 503, repeat: true},
		{name: "not accepted", path: "/a/0001", arrange: func(w *world) { w.storeErr = errNotAccepted }, status: 503, repeat: true},
		{name: "undecided", path: "/a/0001", arrange: func(w *world) { w.storeErr = errUndecided }, status: 504},
		{name: "another error", path: "/a/0001", arrange: func(w *world) { w.storeErr = errDown }, status: 504},
		{
			name: "too large", path: "/a/0001", body: `{"payload":"123456789"}`,
			arrange: func(w *world) { w.table.Limits.MaxBodyBytes = 10 }, status: 413,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			if c.arrange != nil {
				c.arrange(w)
			}
			if c.body == "" {
				c.body = `{"payload":"x"}`
			}
			got := do(w.front(), http.MethodPost, c.path, c.body)
			assert.Equal(t, got.Code, c.status)
			assert.Equal(t, got.Header().Get("Retry-After") != "", c.repeat)
			assert.Equal(t, len(w.records) == 1, c.status == 200)
		})
	}
}

func TestHandInTellsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		f := w.front()
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		do(f, http.MethodPost, "/a/0001", "{}")
		do(f, http.MethodPost, "/a/b/0002", "{}")
		do(f, http.MethodDelete, "/a/0001", "")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(w.told), 3)
		assert.Assert(t, bytes.Contains([]byte(strings.Join(w.told, ",")), []byte("p 0001,p -0001")))
	})
}

func TestState(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*world)
		status  int
		body    string
	}{
		{name: "owner knows", arrange: func(w *world) { w.owner["0001"] = running }, status: 200, body: running.String()},
		{name: "owner does not know yet", arrange: func(w *world) { w.stored["0001"] = queued }, status: 200, body: queued.String()},
		{
			name: "owner silent", status: 200, body: queued.String(),
			arrange: func(w *world) { w.stored["0001"], w.ownerErr = queued, context.DeadlineExceeded },
		},
		{name: "no such job", arrange: func(*world) {}, status: 410},
		{name: "store down is not gone", arrange: func(w *world) { w.storeErr = errDown }, status: 503},
		{
			name: "store and owner down", status: 503,
			arrange: func(w *world) { w.storeErr, w.ownerErr = errDown, errDown },
		},
		{
			name: "store down, owner knows", status: 200, body: running.String(),
			arrange: func(w *world) { w.storeErr, w.owner["0001"] = errDown, running },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				c.arrange(w)
				got := do(w.front(), http.MethodGet, "/a/0001", "")
				assert.Equal(t, got.Code, c.status)
				assert.Equal(t, got.Body.String(), c.body)
			})
		})
	}
}

func TestEndedStateIsRemembered(t *testing.T) {
	w := newWorld()
	w.owner["0001"] = completed
	f := w.front()
	do(f, http.MethodGet, "/a/0001", "")
	w.ownerErr, w.storeErr = errDown, errDown
	assert.Equal(t, do(f, http.MethodGet, "/a/0001", "").Body.String(), completed.String())
	assert.Equal(t, w.asked, 1)
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
			w := newWorld()
			if c.stored {
				w.stored["0001"] = queued
			}
			w.storeErr = c.err
			assert.Equal(t, do(w.front(), http.MethodDelete, "/a/0001", "").Code, c.status)
		})
	}
}

// TestCallersDeadline checks that the answer comes within the time that the caller waits, and within the queue's.
func TestCallersDeadline(t *testing.T) {
	cases := []struct {
		deadline string
		timeout  time.Duration
		wait     time.Duration
	}{
		{deadline: "800", wait: 800 * time.Millisecond},
		{deadline: "800", timeout: 500 * time.Millisecond, wait: 500 * time.Millisecond},
		{deadline: "800", timeout: time.Minute, wait: 800 * time.Millisecond},
		{deadline: "3600000", wait: maxWait},
		{deadline: "-1", wait: maxWait},
		{deadline: "", wait: maxWait},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			w.wait = time.Hour
			w.table.Queues[0].Timeout = c.timeout
			f := w.front()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/a/0001", strings.NewReader("{}"))
			r.Header.Set("Deadline-Ms", c.deadline)
			began := time.Now()
			got := httptest.NewRecorder()
			f.Handler().ServeHTTP(got, r)
			assert.Equal(t, got.Code, http.StatusGatewayTimeout)
			assert.Equal(t, time.Since(began), c.wait-answerMargin)
		})
	}
}

// TestPendingAge checks how old a count may be: while the owner answers, and while it cannot be asked.
func TestPendingAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		f := w.front()
		read := func() string {
			synctest.Wait()
			got := do(f, http.MethodGet, "/a/", "")
			return strconv.Itoa(got.Code) + " " + got.Body.String()
		}
		w.counted = 1
		assert.Equal(t, read(), "200 1")
		w.counted = 2
		assert.Equal(t, read(), "200 1")
		time.Sleep(pendingFresh + time.Millisecond)
		assert.Equal(t, read(), "200 2")
		assert.Equal(t, w.asked, 2)
		w.ownerErr = errDown
		time.Sleep(pendingOldest - time.Millisecond)
		assert.Equal(t, read(), "200 2")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, read(), "503 ")
		w.ownerErr, w.counted = nil, 3
		assert.Equal(t, read(), "200 3")
	})
}

func TestReady(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*world, *Front)
		status  int
	}{
		{name: "ready", arrange: func(*world, *Front) {}, status: 200},
		{name: "no table", arrange: func(w *world, _ *Front) { w.table = nil }, status: 503},
		{name: "store silent", arrange: func(w *world, _ *Front) { w.stale = true }, status: 503},
		{name: "told so", arrange: func(_ *world, f *Front) { f.SetReady(false) }, status: 503},
		{name: "stopping", arrange: func(_ *world, f *Front) { f.BeginStop() }, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			f := w.front()
			c.arrange(w, f)
			got := httptest.NewRecorder()
			f.ReadyHandler().ServeHTTP(got, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/ready", nil))
			assert.Equal(t, got.Code, c.status)
		})
	}
}
