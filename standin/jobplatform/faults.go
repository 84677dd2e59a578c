package jobplatform

import (
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/store/memtxn"
)

// hostsClient names entry hosts to the store; faults are for them alone.
const hostsClient = "hosts"

// lateBy is how long after its call an order is carried out that comes late.
const lateBy = 2 * time.Second

// faults decides which answers are lost and which orders come late.
type faults struct {
	lost, late, lateWrites every
}

// every picks one call in so many, none if that is 0.
type every struct{ many, calls atomic.Int64 }

func (e *every) next() bool {
	many := e.many.Load()
	return many > 0 && e.calls.Add(1)%many == 0
}

// loses tells whether the answer of the present call is lost.
func (f *faults) loses() bool { return f.lost.next() }

func (m *machine) losesAnswer() bool { return m.faults.loses() }

// LoseAnswers loses one answer in so many of workers, machines and the store's writes, though they take effect; 0 ends it.
func (p *Platform) LoseAnswers(every int) { p.faults.lost.many.Store(int64(every)) }

// DelayOrders gives no answer to one order in so many, which its worker carries out 2 s later; 0 ends it.
func (p *Platform) DelayOrders(every int) { p.faults.late.many.Store(int64(every)) }

// SilenceStore lets the store give entry hosts no answers for a time.
func (p *Platform) SilenceStore(d time.Duration) { p.silentUntil.Store(time.Now().Add(d).UnixNano()) }

// CrashBusiest ends the worker with the most runs and all that runs on it, and returns its machine; the machine is back
// after a while.
func (p *Platform) CrashBusiest() string {
	busiest := p.machines[0]
	for _, m := range p.machines[1:] {
		if m.load() > busiest.load() {
			busiest = m
		}
	}
	busiest.crash()
	return busiest.id
}

// EndsLeft counts the ends that workers list because nobody took note of them.
func (p *Platform) EndsLeft() int {
	left := 0
	for _, m := range p.machines {
		left += m.endsLeft()
	}
	return left
}

func (m *machine) endsLeft() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return 0
	}
	m.life.mu.Lock()
	defer m.life.mu.Unlock()
	return len(m.life.ended)
}

// load is how many runs a machine has, -1 if it has no worker.
func (m *machine) load() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return -1
	}
	m.life.mu.Lock()
	defer m.life.mu.Unlock()
	return len(m.life.runs)
}

// plan decides what becomes of a call to the store.
func (p *Platform) plan(client string, call memtxn.Call) memtxn.Outcome {
	if client != hostsClient {
		return memtxn.Serve
	}
	p.traffic.note(call, time.Now())
	if time.Now().UnixNano() < p.silentUntil.Load() {
		return memtxn.Hang
	}
	if call == memtxn.CallCommit && p.faults.loses() {
		return memtxn.LoseAnswer
	}
	if call == memtxn.CallCommit && p.faults.lateWrites.next() {
		return memtxn.ApplyLate
	}
	return memtxn.Serve
}
