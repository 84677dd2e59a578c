package jobfront

import (
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

const (
	// endedKept is the least and half of the longest time that an ended state is remembered.
	endedKept = 20 * time.Second
	// endedLimit bounds the states remembered in one half of the cache.
	endedLimit = 4096
)

type jobKey struct {
	pool, id string
}

// endedStates remembers the states that are final. It has two halves: the older is dropped when the newer is full or old.
type endedStates struct {
	mu     sync.Mutex
	newer  map[jobKey]pb.JobState
	older  map[jobKey]pb.JobState
	turned time.Time
}

func newEndedStates() *endedStates {
	return &endedStates{newer: map[jobKey]pb.JobState{}, turned: time.Now()}
}

func (e *endedStates) get(key jobKey) (pb.JobState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turn(time.Now())
	if state, ok := e.newer[key]; ok {
		return state, true
	}
	state, ok := e.older[key]
	return state, ok
}

// put remembers the state if it is final.
func (e *endedStates) put(key jobKey, state pb.JobState) {
	if !jobstate.Final(state) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turn(time.Now())
	e.newer[key] = state
}

func (e *endedStates) turn(now time.Time) {
	if len(e.newer) < endedLimit && now.Sub(e.turned) < endedKept {
		return
	}
	e.older, e.newer = e.newer, map[jobKey]pb.JobState{}
	e.turned = now
}
