package jobplatform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"
)

// States of machines, as the machine API reports them.
const (
	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

const (
	moveTime   = time.Second
	upkeepTime = 1500 * time.Millisecond
	// restartTime is how long a crashed machine is down.
	restartTime = 2 * time.Second
	// returnTime is the downtime of a crashed worker that returns under its id.
	returnTime = 400 * time.Millisecond
	// clockOffsetMs is the difference between the clocks of consecutive machines, in milliseconds.
	clockOffsetMs = 100_000
	// The clocks of consecutive machines are slow by 0 to clockLags-1 hundredths, as the contract allows.
	clockLags = 3
)

// machine runs one worker at a time, or none while it is out of service or in a spare pool.
type machine struct {
	id, zone, rack, address string
	number                  int
	capacity                capacity
	history                 *History
	pools                   map[string]PoolOptions
	faults                  *faults

	mu           sync.Mutex
	pool         string
	state        string
	backAt       time.Time
	current      *worker
	incarnations int
	// returns is set while the machine restarts with a worker of the same id.
	returns     bool
	connections map[net.Conn]bool
	fence       uint64
	holder      string
	// upkeepWaves holds the waves for which the upkeep of the machine has started.
	upkeepWaves map[int64]bool
}

// startWorkerLocked starts a worker unless the machine is in a spare pool.
func (m *machine) startWorkerLocked() {
	m.state = stateUp
	pool := m.pools[m.pool]
	if pool.Spare {
		return
	}
	if !m.returns {
		m.incarnations++
	}
	m.returns = false
	m.current = &worker{
		id: fmt.Sprintf("%s-%d", m.id, m.incarnations), pool: m.pool, capacity: m.capacity, enforces: pool.EnforcesCapacity,
		history: m.history, born: time.Now(), clockBase: int64(m.number) * clockOffsetMs,
		clockLag: int64(m.number%clockLags) * thousandths / percent,
		highest:  make(map[taskID]int64), changed: make(chan struct{}),
	}
}

// stopWorkerLocked terminates the current worker, if any, and takes the machine out of service for a time.
func (m *machine) stopWorkerLocked(state string, downtime time.Duration) {
	m.state, m.backAt = state, time.Now().Add(downtime)
	if m.current != nil {
		m.current.terminate(state != stateDown)
		m.current = nil
	}
}

// tick advances the worker, or returns the machine to service.
func (m *machine) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil {
		m.current.tick(now)
		return
	}
	if m.state != stateUp && now.After(m.backAt) {
		m.startWorkerLocked()
	}
}

// crash terminates the worker and closes its connections. If it returns, the next worker has its id.
func (m *machine) crash(returns bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != stateUp || m.current == nil {
		return
	}
	m.returns = returns
	m.stopWorkerLocked(stateDown, lo.Ternary(returns, returnTime, restartTime))
	for c := range m.connections {
		_ = c.Close() // it is of no further use
	}
}

// trackConnection is a callback of the machine's server that keeps connections up to date.
func (m *machine) trackConnection(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(m.connections, c)
	default:
	}
}

// executeLate executes a call after lateDelay on the worker that then has the id, if any.
func (m *machine) executeLate(id string, call func(*worker)) {
	time.AfterFunc(lateDelay, func() {
		m.mu.Lock()
		target := m.current
		m.mu.Unlock()
		if target != nil && target.id == id {
			call(target)
		}
	})
}

// fencedLocked reports whether a holder's fencing token is too low, and keeps the highest.
func (m *machine) fencedLocked(holder string, fence uint64) bool {
	if fence < m.fence {
		return true
	}
	if fence == m.fence && m.holder != holder {
		m.history.ReportViolation("machine %s is ordered by %s and %s with fence %d", m.id, m.holder, holder, fence)
	}
	m.fence, m.holder = fence, holder
	return false
}

// move returns the reason of a rejection, empty if the move has started.
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
	m.stopWorkerLocked(stateMoving, moveTime)
	m.history.count(func(t *Totals) { t.Moves++ })
	return ""
}

// upkeep returns the reason of a rejection, empty if the upkeep has started. allowed reports whether one more machine may
// be down.
func (m *machine) upkeep(wave int64, holder string, fence uint64, allowed func() bool) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.fencedLocked(holder, fence):
		return "fence"
	case m.upkeepWaves[wave]:
		return ""
	case m.state != stateUp:
		return "busy"
	}
	if !allowed() {
		m.history.ReportViolation("upkeep of machine %s began while as many as wave %d allows were down", m.id, wave)
	}
	m.upkeepWaves[wave] = true
	m.stopWorkerLocked(stateUpkeep, upkeepTime)
	m.history.count(func(t *Totals) { t.Upkeeps++ })
	return ""
}
