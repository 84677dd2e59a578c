package jobplatform

import (
	"fmt"
	"sync"
	"time"
)

// states of machines.
const (
	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

const (
	moveTime   = time.Second
	upkeepTime = 1500 * time.Millisecond
	// restartTime is how long a crashed machine is away.
	restartTime = 2 * time.Second
	// clockStep keeps the clocks of machines apart, in ms.
	clockStep = 100_000
)

// machine has one worker at a time, or none while it is away or in a spare pool.
type machine struct {
	id, zone, rack, address string
	number                  int
	capacity                capacity
	history                 *History
	pools                   map[string]PoolOptions
	faults                  *faults

	mu     sync.Mutex
	pool   string
	state  string
	backAt time.Time
	life   *worker
	lives  int
	fence  uint64
	holder string
	// begun are the waves for which its upkeep has begun.
	begun map[int64]bool
}

// beginLifeLocked starts a worker if the machine's pool has any.
func (m *machine) beginLifeLocked() {
	m.state = stateUp
	pool := m.pools[m.pool]
	if pool.Spare {
		return
	}
	m.lives++
	m.life = &worker{
		id: fmt.Sprintf("%s-%d", m.id, m.lives), pool: m.pool, capacity: m.capacity, enforces: pool.EnforcesCapacity,
		history: m.history, born: time.Now(), clockBase: int64(m.number) * clockStep,
		highest: make(map[taskID]int64), changed: make(chan struct{}),
	}
}

// leaveLocked ends the present life, if any.
func (m *machine) leaveLocked(state string, away time.Duration) {
	m.state, m.backAt = state, time.Now().Add(away)
	if m.life != nil {
		m.life.die(state != stateDown)
		m.life = nil
	}
}

// tick lets the worker go on, or the machine come back.
func (m *machine) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		m.life.tick(now)
		return
	}
	if m.state != stateUp && now.After(m.backAt) {
		m.beginLifeLocked()
	}
}

func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == stateUp {
		m.leaveLocked(stateDown, restartTime)
	}
}

// fencedLocked tells whether a holder's fence is too low, and keeps the highest.
func (m *machine) fencedLocked(holder string, fence uint64) bool {
	if fence < m.fence {
		return true
	}
	if fence == m.fence && m.holder != holder {
		m.history.Broken("machine %s is ordered by %s and %s with fence %d", m.id, m.holder, holder, fence)
	}
	m.fence, m.holder = fence, holder
	return false
}

// move returns the reason of a refusal, empty if it has begun.
func (m *machine) move(pool, holder string, fence uint64) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.fencedLocked(holder, fence):
		return "fence"
	case m.pool == pool && (m.state == stateUp || m.state == stateMoving):
		return ""
	case m.state != stateUp:
		return "busy"
	}
	m.pool = pool
	m.leaveLocked(stateMoving, moveTime)
	m.history.count(func(t *Totals) { t.Moves++ })
	return ""
}

// upkeep returns the reason of a refusal, empty if it has begun. allowed tells whether one more may be down.
func (m *machine) upkeep(wave int64, holder string, fence uint64, allowed func() bool) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.fencedLocked(holder, fence):
		return "fence"
	case m.begun[wave]:
		return ""
	case m.state != stateUp:
		return "busy"
	}
	if !allowed() {
		m.history.Broken("upkeep of machine %s began while as many as wave %d allows were down", m.id, wave)
	}
	m.begun[wave] = true
	m.leaveLocked(stateUpkeep, upkeepTime)
	m.history.count(func(t *Totals) { t.Upkeeps++ })
	return ""
}
