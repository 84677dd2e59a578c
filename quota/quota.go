// Package quota divides the caps of workspaces over pools: how much a workspace may have running on all workers of all pools.
//
// An Allocator, on the fleet owner, grants each pool a limit for each workspace. Limits, on the owner of a pool, holds the
// limits granted to it. The sum of what the pools hold, or may hold because of a grant without a confirmation, never grows
// beyond the cap. Neither does I/O, starts goroutines or reads a clock, and neither is safe for concurrent use.
package quota

import (
	"time"

	"github.com/agateturn/agateturn/queue"
)

// NoLimit is the value, in a limit, of a resource that has no cap.
const NoLimit = -1

// Resources are resources summed over tasks.
type Resources struct {
	CPUMilli int64
	MemoryMB int64
	GPU      int64
}

// Usage is what a pool reports about one workspace.
type Usage struct {
	Workspace string
	// Limit is the limit in force. It is ignored unless HasLimit is set.
	Limit    Resources
	HasLimit bool
	// Used is the need of all runs that may execute.
	Used Resources
	// Waiting is the need of the tasks that could start now but for a lack of room or the limit.
	Waiting Resources
	// Next is what must be met at once before the first task that waits for the limit can start; zero if none waits for it.
	Next      Resources
	WaitedFor time.Duration
}

// Grant is the limit of one workspace in one pool.
type Grant struct {
	Workspace string
	Limit     Resources
}

// Batch holds the grants of a pool that it has not confirmed. Repeating a batch has no further effect.
type Batch struct {
	// Fence is the fencing token of the pool's owner that the grants are for.
	Fence uint64
	// Version identifies the batch in the report of the request that carried it. It never decreases.
	Version uint64
	Grants  []Grant
}

// Report is a pool owner's answer to a request.
type Report struct {
	// Fence is the fencing token of the owner that answered.
	Fence uint64
	// Sequence orders the requests of this fleet owner, Version is that of the batch which the answered request carried.
	Sequence, Version uint64
	// UsageKnown means that Usage includes all runs that an earlier owner of the pool may have left.
	UsageKnown bool
	// Usage lists the workspaces that have a limit, runs or waiting tasks.
	Usage []Usage
}

const resourceCount = 3

// vector holds one value for each resource, in the order of the fields of Resources.
type vector [resourceCount]int64

func (r Resources) vector() vector { return vector{r.CPUMilli, r.MemoryMB, r.GPU} }

func (v vector) resources() Resources { return Resources{CPUMilli: v[0], MemoryMB: v[1], GPU: v[2]} }

func capVector(c queue.Cap) vector { return vector{c.CPUMilli, c.MemoryMB, c.GPU} }

func (v vector) isZero() bool { return v == vector{} }

func (v vector) plus(o vector) vector {
	for r := range v {
		v[r] += o[r]
	}
	return v
}

func (v vector) max(o vector) vector {
	for r := range v {
		v[r] = max(v[r], o[r])
	}
	return v
}
