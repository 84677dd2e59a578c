package jobplatform

import (
	"sync"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

type gangID struct {
	job  string
	step int
	run  int64
}

// gang is one run of a gang-scheduled step. It is safe for concurrent use.
type gang struct {
	size int

	mu          sync.Mutex
	joined      int
	assembledAt time.Time
	broken      bool
	finished    bool
}

// join adds a member to its gang and creates the gang for its first member.
func (h *History) join(t taskID, run int64, size int) *gang {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := gangID{t.job, t.step, run}
	g := h.gangs[id]
	if g == nil {
		g = &gang{size: size}
		h.gangs[id] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joined++
	if g.joined == g.size {
		g.assembledAt = time.Now()
	}
	return g
}

// ended records the end of one member, which the other members observe by status.
func (g *gang) ended(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == endDone {
		g.finished = true
		return
	}
	g.broken = true
}

// status returns when the last member joined, zero if some are missing, and the end that another member imposes, if any.
func (g *gang) status() (assembledAt time.Time, imposed string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.finished:
		imposed = endDone
	case g.broken:
		imposed = endBroken
	}
	return g.assembledAt, imposed
}
