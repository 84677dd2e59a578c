package jobplatform

import (
	"sync"
	"time"
)

// gangTime is how long a member of a gang waits for the others.
const gangTime = 3 * time.Second

type gangID struct {
	job  string
	step int
	run  int64
}

// gang is one run of a step whose tasks work only together. It is safe for concurrent use.
type gang struct {
	size int

	mu       sync.Mutex
	present  int
	together time.Time
	broken   bool
	finished bool
}

// join adds a member to its gang.
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
	g.present++
	if g.present == g.size {
		g.together = time.Now()
	}
	return g
}

// ended tells the other members of an end.
func (g *gang) ended(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == endDone {
		g.finished = true
		return
	}
	g.broken = true
}

// look returns when the members began to work, zero if they have not, and the end that the others impose, if any.
func (g *gang) look() (together time.Time, imposed string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.finished:
		imposed = endDone
	case g.broken:
		imposed = endBroken
	}
	return g.together, imposed
}
