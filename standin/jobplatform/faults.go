package jobplatform

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/store/memtxn"
)

// entryHostClients begins the names of the store clients of entry hosts, which end with the network of their view. Faults apply to
// these clients only.
const entryHostClients = "hosts of "

// lateDelay is the delay after which a late order or write is executed.
const lateDelay = 2 * time.Second

// faults decides which answers are lost and which orders, holds and writes are executed late.
type faults struct {
	lostAnswers, lateOrders, lateHolds, lateWrites everyNth
}

// everyNth selects every nth call, none if the interval is 0.
type everyNth struct{ interval, calls atomic.Int64 }

func (e *everyNth) next() bool {
	interval := e.interval.Load()
	return interval > 0 && e.calls.Add(1)%interval == 0
}

// shouldLoseAnswer reports whether the answer to the current call is lost.
func (f *faults) shouldLoseAnswer() bool { return f.lostAnswers.next() }

func (m *machine) shouldLoseAnswer() bool { return m.faults.shouldLoseAnswer() }

// LoseAnswers drops every nth answer of workers, machines and store writes, although the calls take effect; 0 stops this.
func (p *Platform) LoseAnswers(every int) { p.faults.lostAnswers.interval.Store(int64(every)) }

// DelayOrders leaves every nth order without an answer; the worker that then has the id executes it 2 s later. 0 stops this.
func (p *Platform) DelayOrders(every int) { p.faults.lateOrders.interval.Store(int64(every)) }

// DelayHolds does the same to every nth hold.
func (p *Platform) DelayHolds(every int) { p.faults.lateHolds.interval.Store(int64(every)) }

// SilenceStore leaves store calls of entry hosts without an answer for the duration d.
func (p *Platform) SilenceStore(d time.Duration) { p.silentUntil.Store(time.Now().Add(d).UnixNano()) }

// CrashBusiest terminates the worker with the most runs, ends these runs and returns the id of its machine. The machine
// restarts after restartTime.
func (p *Platform) CrashBusiest() string {
	busiest := p.machines[0]
	for _, m := range p.machines[1:] {
		if m.load() > busiest.load() {
			busiest = m
		}
	}
	busiest.crash(false)
	return busiest.id
}

// ReturnBusiest crashes the workers with the most runs. Each returns under its id after returnTime.
func (p *Platform) ReturnBusiest(count int) {
	machines := slices.Clone(p.machines)
	slices.SortStableFunc(machines, func(a, b *machine) int { return cmp.Compare(b.load(), a.load()) })
	for _, m := range machines[:min(count, len(machines))] {
		m.crash(true)
	}
}

// LapseEntries removes the registry entries of all workers. Each is back within maxLapse.
func (p *Platform) LapseEntries() { p.lapse.Store(true) }

// UnacknowledgedEnds returns the number of ended runs that no owner has acknowledged.
func (p *Platform) UnacknowledgedEnds() int {
	left := 0
	for _, m := range p.machines {
		left += m.unacknowledgedEnds()
	}
	return left
}

func (m *machine) unacknowledgedEnds() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return 0
	}
	m.current.mu.Lock()
	defer m.current.mu.Unlock()
	return len(m.current.ended)
}

// load returns the number of runs of the machine, -1 if it has no worker.
func (m *machine) load() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return -1
	}
	m.current.mu.Lock()
	defer m.current.mu.Unlock()
	return len(m.current.runs)
}

// plan decides the outcome of a call to the store.
func (p *Platform) plan(client string, call memtxn.Call) memtxn.Outcome {
	if !strings.HasPrefix(client, entryHostClients) {
		return memtxn.Serve
	}
	p.traffic.note(call, time.Now())
	if time.Now().UnixNano() < p.silentUntil.Load() {
		return memtxn.Hang
	}
	if call == memtxn.CallCommit && p.faults.shouldLoseAnswer() {
		return memtxn.LoseAnswer
	}
	if call == memtxn.CallCommit && p.faults.lateWrites.next() {
		return memtxn.ApplyLate
	}
	return memtxn.Serve
}
