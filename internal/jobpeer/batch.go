package jobpeer

import (
	"context"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// batchDelay is how long a query for states waits for others about the same pool.
const batchDelay = 2 * time.Millisecond

// batcher combines concurrent queries for the states of a pool's jobs into one call.
type batcher struct {
	call func(pool string, ids, workspaces []string) ([]pb.JobState, error)

	mu sync.Mutex
	// open holds the batch of each pool that still accepts ids.
	open map[string]*batch
}

// batch is the ids and the result of one call. states and err are set before done is closed.
type batch struct {
	ids []string
	// workspaces is empty, or has the workspace of the caller for each of ids.
	workspaces []string
	done       chan struct{}

	states []pb.JobState
	err    error
}

func newBatcher(call func(pool string, ids, workspaces []string) ([]pb.JobState, error)) *batcher {
	return &batcher{call: call, open: map[string]*batch{}}
}

// query returns the states of ids for a caller of the workspace, or ctx's error if ctx ends first.
func (b *batcher) query(ctx context.Context, pool, workspace string, ids []string) ([]pb.JobState, error) {
	joined, first := b.join(pool, workspace, ids)
	select {
	case <-ctx.Done():
		return nil, errCall.Wrap(ctx.Err())
	case <-joined.done:
	}
	if joined.err != nil {
		return nil, joined.err
	}
	return joined.states[first : first+len(ids)], nil
}

// join adds ids to the pool's open batch, and opens one if there is none or it is full. first is the index of the first
// of ids in the batch.
func (b *batcher) join(pool, workspace string, ids []string) (joined *batch, first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	joined = b.open[pool]
	if joined == nil || len(joined.ids)+len(ids) > maxIDs {
		joined = &batch{done: make(chan struct{})}
		b.open[pool] = joined
		go b.send(pool, joined)
	}
	first = len(joined.ids)
	joined.ids = append(joined.ids, ids...)
	if workspace != "" || len(joined.workspaces) > 0 {
		joined.workspaces = append(joined.workspaces, make([]string, first-len(joined.workspaces))...)
		joined.workspaces = append(joined.workspaces, repeatUnlessEmpty(workspace, len(ids))...)
		joined.workspaces = append(joined.workspaces, make([]string, len(joined.ids)-len(joined.workspaces))...)
	}
	return joined, first
}

func (b *batcher) send(pool string, sent *batch) {
	time.Sleep(batchDelay)
	b.mu.Lock()
	if b.open[pool] == sent {
		delete(b.open, pool)
	}
	b.mu.Unlock()
	sent.states, sent.err = b.call(pool, sent.ids, sent.workspaces)
	close(sent.done)
}
