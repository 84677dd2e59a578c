package jobpeer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// member fakes an entry host that owns the named pools.
type member struct {
	owned   []string
	mu      sync.Mutex
	calls   int
	offered []string
	version int64
	// workspace is the workspace of all jobs.
	workspace string
	raw       []byte
	// release blocks answers to queries for states until it is closed; nil does not block.
	release atomic.Pointer[chan struct{}]
}

func (m *member) owns(pool string) bool { return slices.Contains(m.owned, pool) }

// States returns RUNNING for ids that end in an even digit; they belong to the member's workspace.
func (m *member) States(pool string, ids, workspaces []string) ([]pb.JobState, bool) {
	if release := m.release.Load(); release != nil {
		<-*release
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	states := make([]pb.JobState, len(ids))
	for i, id := range ids {
		if id[len(id)-1]%2 == 0 && lo.NthOrEmpty(workspaces, i) == m.workspace {
			states[i] = pb.JobState_JOB_STATE_RUNNING
		}
	}
	return states, m.owns(pool)
}

func (m *member) Wait(string) time.Duration { return 1500 * time.Millisecond }

func (m *member) Offer(pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, job := range jobs {
		m.offered = append(m.offered, job.GetId())
	}
	for _, c := range cancelled {
		m.offered = append(m.offered, strings.TrimSpace(c.GetId()+" "+c.GetWorkspace()))
	}
	return m.owns(pool)
}

func (m *member) Pending(pool, _ string) (int64, bool) { return 7, m.owns(pool) }

func (m *member) Status(req *pb.PoolStatusRequest) (*pb.PoolStatusResponse, bool) {
	return &pb.PoolStatusResponse{Fence: 5}, m.owns(req.GetPool())
}

func (m *member) Describe(req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool) {
	return []*pb.JobDescription{{Id: "0001"}}, m.owns(req.GetPool())
}

type tables struct{ *member }

func (t tables) Offer(_ context.Context, version int64, raw []byte) int64 {
	if len(raw) > 0 && version > t.version {
		t.version, t.raw = version, raw
	}
	return t.version
}

func (t tables) Confirmed() (version int64, raw []byte, age time.Duration, ok bool) {
	return t.version, t.raw, 1500 * time.Millisecond, t.version > 0
}

func (m *member) StoreJob(_ context.Context, req *pb.StoreJobRequest) pb.StoreResult {
	if req.GetJob() != nil {
		return pb.StoreResult_STORE_RESULT_STORED
	}
	return pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
}

// start serves a member on loopback.
func start(t *testing.T, owned ...string) (*member, string) {
	t.Helper()
	m := &member{owned: owned}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(m, tables{m}, m))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return m, server.Listener.Addr().String()
}

// client returns a client that resolves each pool to the address; no pool has an owner if the address is empty.
func client(t *testing.T, address string) *Client {
	t.Helper()
	c := New(func(string) (string, bool, bool) { return address, false, address != "" }, &member{})
	t.Cleanup(c.Close)
	return c
}

func TestCallsOnTheOwner(t *testing.T) {
	m, address := start(t, "p")
	for name, c := range map[string]*Client{
		"peer":  client(t, address),
		"local": New(func(string) (string, bool, bool) { return "", true, true }, m),
	} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			states, err := c.States(ctx, "p", "", []string{"0001", "0002"})
			assert.NilError(t, err)
			assert.DeepEqual(t, states, []pb.JobState{0, pb.JobState_JOB_STATE_RUNNING})
			n, err := c.Pending(ctx, "p", "q")
			assert.NilError(t, err)
			assert.Equal(t, n, int64(7))
			status, err := c.PoolStatus(ctx, &pb.PoolStatusRequest{Pool: "p"})
			assert.NilError(t, err)
			assert.Equal(t, status.GetFence(), uint64(5))
			jobs, err := c.DescribeJobs(ctx, &pb.DescribeJobsRequest{Pool: "p"})
			assert.NilError(t, err)
			assert.Equal(t, len(jobs), 1)
			m.offered = nil
			wait, ok := c.Offer(ctx, "p", []*pb.JobRecord{{Id: "0003"}},
				[]*pb.JobCancel{{Id: "0004"}, {Id: "0005", Workspace: "north"}})
			assert.Assert(t, ok && wait == 1500*time.Millisecond, wait)
			assert.DeepEqual(t, m.offered, []string{"0003", "0004", "0005 north"})
		})
	}
}

// TestAnswerOfNonOwnerIsError checks that calls fail with NoOwner if the host called no longer owns the pool, or if no
// owner is known.
func TestAnswerOfNonOwnerIsError(t *testing.T) {
	_, address := start(t, "other")
	for name, c := range map[string]*Client{
		"peer":       client(t, address),
		"local":      New(func(string) (string, bool, bool) { return "", true, true }, &member{}),
		"none known": client(t, ""),
	} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			_, err := c.States(ctx, "p", "", []string{"0001"})
			assert.Assert(t, NoOwner.Has(err), "%v", err)
			_, err = c.Pending(ctx, "p", "q")
			assert.Assert(t, NoOwner.Has(err), "%v", err)
			_, err = c.PoolStatus(ctx, &pb.PoolStatusRequest{Pool: "p"})
			assert.Assert(t, NoOwner.Has(err), "%v", err)
			_, err = c.DescribeJobs(ctx, &pb.DescribeJobsRequest{Pool: "p"})
			assert.Assert(t, NoOwner.Has(err), "%v", err)
		})
	}
}

// TestStateQueriesAreBatched queries many jobs at once: each caller gets its own states, and a call holds up to maxIDs
// ids.
func TestStateQueriesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &member{owned: []string{"p"}}
		b := newBatcher(func(pool string, ids, workspaces []string) ([]pb.JobState, error) {
			states, _ := m.States(pool, ids, workspaces)
			return states, nil
		})
		for i := range maxIDs + 1 {
			go func() {
				states, err := b.query(t.Context(), "p", "", []string{fmt.Sprintf("%04d", i)})
				assert.Check(t, err)
				assert.Check(t, len(states) == 1 && (states[0] == pb.JobState_JOB_STATE_RUNNING) == (i%2 == 0))
			}()
		}
		time.Sleep(time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Equal(t, m.calls, 2)
	})
}

// TestUnresponsiveOwner checks that queries to an owner that does not answer time out, and fail at once when the owner has
// become suspect.
func TestUnresponsiveOwner(t *testing.T) {
	m, address := start(t, "p")
	release := make(chan struct{})
	m.release.Store(&release)
	c := client(t, address)
	query := func() (time.Duration, error) {
		began := time.Now()
		_, err := c.States(t.Context(), "p", "", []string{"0002"})
		return time.Since(began), err
	}
	for range suspectAfter {
		took, err := query()
		assert.Assert(t, err != nil)
		assert.Assert(t, took >= statesTimeout, "%s", took)
	}
	took, err := query()
	assert.Assert(t, errSuspect.Has(err), "%v", err)
	assert.Assert(t, took < statesTimeout/2, "%s", took)
	m.release.Store(nil)
	close(release)
	time.Sleep(probeInterval)
	_, err = query()
	assert.NilError(t, err)
}

// TestStalledConnections stalls all connections without a reset. Calls must soon succeed on new ones.
func TestStalledConnections(t *testing.T) {
	_, address := start(t, "p")
	proxy := newStallingProxy(t, address)
	c := client(t, proxy.address)
	_, err := c.Pending(t.Context(), "p", "q")
	assert.NilError(t, err)
	proxy.stall()
	began := time.Now()
	for err = errSuspect.New(""); err != nil; {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err = c.Pending(ctx, "p", "q")
		cancel()
		assert.Assert(t, time.Since(began) < 3*time.Second)
	}
}

func TestOfferTable(t *testing.T) {
	m, address := start(t)
	c := client(t, address)
	has, err := c.OfferTable(t.Context(), address, 3, nil)
	assert.NilError(t, err)
	assert.Equal(t, has, int64(0))
	has, err = c.OfferTable(t.Context(), address, 3, make([]byte, 1<<20))
	assert.NilError(t, err)
	assert.Equal(t, has, int64(3))
	assert.Equal(t, len(m.raw), 1<<20)
}

// TestStatesOfWorkspacesInOneBatch mixes callers with and without a workspace: each must be told of its own workspace's jobs
// only, and of the right ones.
func TestStatesOfWorkspacesInOneBatch(t *testing.T) {
	m, address := start(t, "p")
	m.workspace = "north"
	c := client(t, address)
	var callers sync.WaitGroup
	for i, workspace := range []string{"", "north", "south", "north", ""} {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Microsecond)
			states, err := c.States(t.Context(), "p", workspace, []string{"0001", "0002"})
			assert.Check(t, err)
			assert.Check(t, states[0] == 0 && (states[1] == pb.JobState_JOB_STATE_RUNNING) == (workspace == "north"), "%q: %v", workspace, states)
		})
	}
	callers.Wait()
}

// TestAskTable checks that a peer tells the age of its confirmation, and sends its table only when asked for.
func TestAskTable(t *testing.T) {
	m, address := start(t)
	c := client(t, address)
	answer, err := c.AskTable(t.Context(), address, 3, true)
	assert.NilError(t, err)
	assert.Assert(t, !answer.GetConfirmed(), "the peer has no table")
	_, err = c.OfferTable(t.Context(), address, 4, []byte("x"))
	assert.NilError(t, err)
	for _, sendRaw := range []bool{false, true} {
		answer, err = c.AskTable(t.Context(), address, 3, sendRaw)
		assert.NilError(t, err)
		assert.Assert(t, answer.GetConfirmed() && answer.GetVersion() == 4)
		assert.Assert(t, answer.GetConfirmedMs() >= 1500, "a confirmation must not become more recent")
		assert.Equal(t, len(answer.GetRaw()) > 0, sendRaw)
	}
	assert.Equal(t, m.version, int64(4))
}

// TestStoreJob distinguishes jobs that are certainly not stored from those that may be.
func TestStoreJob(t *testing.T) {
	_, address := start(t)
	c := client(t, address)
	job := &pb.StoreJobRequest{Job: &pb.JobRecord{Id: "0001"}}
	assert.Equal(t, c.StoreJob(t.Context(), address, job), pb.StoreResult_STORE_RESULT_STORED)
	assert.Equal(t, c.StoreJob(t.Context(), address, &pb.StoreJobRequest{CancelId: "0002"}), pb.StoreResult_STORE_RESULT_UNKNOWN_JOB)
	closed, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	assert.Equal(t, c.StoreJob(t.Context(), closed.Addr().String(), job), pb.StoreResult_STORE_RESULT_NOT_STORED)
	proxy := newStallingProxy(t, address)
	proxy.stall()
	proxy.stallNew.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Equal(t, c.StoreJob(ctx, proxy.address, job), pb.StoreResult_STORE_RESULT_UNDECIDED)
}
