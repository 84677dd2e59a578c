package jobstore

import (
	"sync"
	"time"
)

// maxUndecided bounds the ids remembered in one generation.
const maxUndecided = 1 << 16

// undecidedIDs remembers the ids whose write may have taken effect or may do so later, each for at least retention. It
// has two generations, of which the older one is dropped after retention. It is safe for concurrent use.
type undecidedIDs struct {
	mu         sync.Mutex
	retention  time.Duration
	rotated    time.Time
	young, old map[string]struct{}
	// lastOverflow is when an id was last dropped because the generation was full. Every id counts as undecided until the
	// dropped one would have been forgotten.
	lastOverflow time.Time
}

func newUndecidedIDs(retention time.Duration) *undecidedIDs {
	return &undecidedIDs{retention: retention, young: make(map[string]struct{})}
}

func (u *undecidedIDs) add(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotateLocked(now)
	if len(u.young) >= maxUndecided {
		u.lastOverflow = now
		return
	}
	u.young[id] = struct{}{}
}

func (u *undecidedIDs) has(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotateLocked(now)
	if !u.lastOverflow.IsZero() && now.Sub(u.lastOverflow) <= u.retention {
		return true
	}
	_, young := u.young[id]
	_, old := u.old[id]
	return young || old
}

func (u *undecidedIDs) rotateLocked(now time.Time) {
	if now.Sub(u.rotated) < u.retention {
		return
	}
	u.old, u.young = u.young, make(map[string]struct{})
	u.rotated = now
}
