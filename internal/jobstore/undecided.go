package jobstore

import (
	"sync"
	"time"
)

// maxUndecided bounds the ids remembered in one generation.
const maxUndecided = 1 << 16

// undecidedIDs remembers ids whose write may have happened, in two generations. It is safe for concurrent use.
type undecidedIDs struct {
	mu         sync.Mutex
	remember   time.Duration
	turned     time.Time
	young, old map[string]struct{}
	// overflow means that an id was not remembered: until it would have been forgotten, every id counts as undecided.
	overflow time.Time
}

func newUndecidedIDs(remember time.Duration) *undecidedIDs {
	return &undecidedIDs{remember: remember, young: make(map[string]struct{})}
}

func (u *undecidedIDs) add(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turnLocked(now)
	if len(u.young) >= maxUndecided {
		u.overflow = now
		return
	}
	u.young[id] = struct{}{}
}

func (u *undecidedIDs) has(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turnLocked(now)
	if !u.overflow.IsZero() && now.Sub(u.overflow) <= u.remember {
		return true
	}
	_, young := u.young[id]
	_, old := u.old[id]
	return young || old
}

func (u *undecidedIDs) turnLocked(now time.Time) {
	if now.Sub(u.turned) < u.remember {
		return
	}
	u.old, u.young = u.young, make(map[string]struct{})
	u.turned = now
}
