package jobfront

import (
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

const (
	// finalStateTTL is how long new states are added to a generation of the cache. A state is kept for one to two of
	// these, or less if generations are full earlier.
	finalStateTTL = 20 * time.Second
	// maxFinalStates bounds the states in one generation of the cache.
	maxFinalStates = 4096
)

// jobKey identifies a job as callers of one workspace see it.
type jobKey struct {
	address, workspace string
}

// finalStateCache caches the final states of jobs in two generations. The older one is dropped when the newer one is full
// or has expired.
type finalStateCache struct {
	mu      sync.Mutex
	newer   map[jobKey]pb.JobState
	older   map[jobKey]pb.JobState
	rotated time.Time
}

func newFinalStateCache() *finalStateCache {
	return &finalStateCache{newer: map[jobKey]pb.JobState{}, rotated: time.Now()}
}

func (c *finalStateCache) get(key jobKey) (pb.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(time.Now())
	if state, ok := c.newer[key]; ok {
		return state, true
	}
	state, ok := c.older[key]
	return state, ok
}

// put caches the state if it is final.
func (c *finalStateCache) put(key jobKey, state pb.JobState) {
	if !jobstate.Final(state) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(time.Now())
	c.newer[key] = state
}

func (c *finalStateCache) rotate(now time.Time) {
	if len(c.newer) < maxFinalStates && now.Sub(c.rotated) < finalStateTTL {
		return
	}
	c.older, c.newer = c.newer, map[jobKey]pb.JobState{}
	c.rotated = now
}
