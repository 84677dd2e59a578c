package poolowner

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// startCapped runs an owner with fencing token 7 whose configuration caps workspace w, if it has workspaces.
func startCapped(t *testing.T, log *slog.Logger, workspaces []queue.Workspace) *Owner {
	owner := New(Options{
		Pool: "p", Jobs: emptyStore{}, Clock: time.Now, Log: log,
		Confirmed: func() bool { return true }, ConfirmedFrom: time.Now, Confirm: func(context.Context) bool { return true }, Replaced: func() {},
		Intents: func(context.Context) (Intents, error) { return Intents{}, nil },
		Config:  scheduler.Config{Fence: 7, Lease: time.Millisecond, MaxLease: time.Millisecond, Retention: time.Minute},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = owner.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	owner.SetQueues(ctx, &queue.Table{
		Queues: []queue.Queue{{Name: "q", Pool: "p"}}, Pools: []queue.Pool{{Name: "p"}}, Workspaces: workspaces,
	})
	owner.SetWorkers(nil)
	return owner
}

func status(t *testing.T, o *Owner, fleetFence, sequence, poolFence uint64, cpu int64) *pb.PoolStatusResponse {
	grant := &pb.WorkspaceGrant{Workspace: "w", Limit: &pb.WorkspaceResources{CpuMilli: cpu, MemoryMb: -1, Gpu: -1}}
	out, ok := o.Status(t.Context(), &pb.PoolStatusRequest{
		FleetFence: fleetFence, Sequence: sequence, PoolFence: poolFence, Grants: []*pb.WorkspaceGrant{grant},
	})
	assert.Assert(t, ok || out == nil)
	return out
}

func awaitUsageKnown(t *testing.T, o *Owner) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out, ok := o.Status(t.Context(), &pb.PoolStatusRequest{FleetFence: 1}); ok && out.GetUsageKnown() {
			return poll.Success()
		}
		return poll.Continue("use not known")
	}, poll.WithTimeout(20*time.Second))
}

func limitOf(out *pb.PoolStatusResponse) int64 {
	for _, u := range out.GetWorkspaces() {
		return u.GetLimit().GetCpuMilli()
	}
	return 0
}

// Guards against grants that are delayed, come from a replaced fleet owner, or are for another owner of the pool.
func TestOnlyCurrentGrantsAreApplied(t *testing.T) {
	owner := startCapped(t, slog.New(slog.DiscardHandler), []queue.Workspace{{Name: "w", Cap: queue.Cap{CPUMilli: 9000}}})
	awaitUsageKnown(t, owner)
	assert.Equal(t, limitOf(status(t, owner, 3, 1, 6, 5000)), int64(0), "for another owner")
	assert.Equal(t, limitOf(status(t, owner, 3, 2, 7, 4000)), int64(4000))
	assert.Assert(t, status(t, owner, 3, 1, 7, 5000) == nil, "delayed")
	assert.Assert(t, status(t, owner, 2, 9, 7, 5000) == nil, "from a replaced fleet owner")
	assert.Equal(t, limitOf(status(t, owner, 3, 3, 6, 5000)), int64(4000))
	inForce, ok := runInLoop(t.Context(), owner, func(*scheduler.Pool, time.Time) scheduler.Resources {
		return owner.workspaceLimits.inForce["w"]
	})
	assert.Assert(t, ok)
	assert.Equal(t, inForce, scheduler.Resources{CPUMilli: 4000, MemoryMB: -1, GPU: -1})
}

// Guards against limits or messages in a deployment without workspaces.
func TestNoWorkspacesNoLimits(t *testing.T) {
	owner := startCapped(t, slog.New(slog.DiscardHandler), nil)
	var out *pb.PoolStatusResponse
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out = status(t, owner, 1, 1, 7, 4000); out != nil {
			return poll.Success()
		}
		return poll.Continue("not loaded")
	})
	assert.Equal(t, len(out.GetWorkspaces()), 0)
	assert.Assert(t, !out.GetUsageKnown())
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against a line for each change of a limit.
func TestLimitsAreLoggedOnceASecond(t *testing.T) {
	var buffer lockedBuffer
	owner := startCapped(t, slog.New(slog.NewTextHandler(&buffer, nil)), []queue.Workspace{{Name: "w", Cap: queue.Cap{CPUMilli: 9000}}})
	awaitUsageKnown(t, owner)
	began := time.Now()
	for n := range 20 {
		status(t, owner, 3, uint64(n), 7, int64(1000+n))
	}
	lines := strings.Count(buffer.String(), "workspace=w")
	assert.Assert(t, lines >= 1 && lines <= 1+int(time.Since(began)/limitLogInterval), "%d lines", lines)
}
