package measures

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/wait"
)

// meterPeriod is the sampling period of the measures.
const meterPeriod = 100 * time.Millisecond

// generations reports the lowest configuration generation in force on any member.
type generations interface {
	SlowestGeneration() uint64
}

// Meter accumulates the three measures as this entry host sees them. It is safe for concurrent use.
type Meter struct {
	view  *view.View
	peers generations

	mu         sync.Mutex
	measures   operatorapi.Measures
	pools      map[string]string    // host to pool, at the last sample
	rollOuts   map[uint64]time.Time // generations not yet in force everywhere, and when they were accepted
	lastSample time.Time
}

// NewMeter returns a meter whose measures are zero.
func NewMeter(v *view.View, p generations) *Meter {
	return &Meter{view: v, peers: p, pools: map[string]string{}, rollOuts: map[uint64]time.Time{}}
}

// Accepted records the start of a roll-out, if the outcome is that the configuration was accepted.
func (m *Meter) Accepted(o config.Outcome, generation uint64, startedAt time.Time) {
	if o.Kind != config.Accepted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rollOuts[generation] = startedAt
}

// Run samples the measures until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	for wait.For(ctx, meterPeriod) == nil {
		m.sample(time.Now())
	}
}

func (m *Meter) sample(now time.Time) {
	f, cfg := m.view.Fleet(), m.view.Config()
	slowest := m.peers.SlowestGeneration()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countMoves(f)
	if !m.lastSample.IsZero() {
		m.measures.BufferHostSeconds += now.Sub(m.lastSample).Seconds() * float64(spareHosts(f, cfg))
	}
	m.lastSample = now
	for generation, startedAt := range m.rollOuts {
		if slowest >= generation {
			m.finishRollOut(now.Sub(startedAt))
			delete(m.rollOuts, generation)
		}
	}
}

func (m *Meter) finishRollOut(took time.Duration) {
	total := m.measures.RollOutSeconds*float64(m.measures.RollOuts) + took.Seconds()
	m.measures.RollOuts++
	m.measures.RollOutSeconds = total / float64(m.measures.RollOuts)
}

func (m *Meter) countMoves(f *pb.Fleet) {
	for _, h := range f.GetHosts() {
		before, known := m.pools[h.GetHost()]
		if known && before != h.GetPool() {
			m.measures.Moves++
		}
		m.pools[h.GetHost()] = h.GetPool()
	}
}

func spareHosts(f *pb.Fleet, cfg *pb.Configuration) int {
	return lo.CountBy(f.GetHosts(), func(h *pb.HostState) bool {
		return h.GetPool() == cfg.GetDeployment().GetSparePool() && h.GetPhase() == pb.HostPhase_HOST_PHASE_ACTIVE
	})
}

// Snapshot returns the current measures.
func (m *Meter) Snapshot() operatorapi.Measures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.measures
}
