package upkeep_test

import (
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
)

func BenchmarkStep(b *testing.B) {
	r := newRun(newSim(1, 50, 6, fault{}), 120, 12)
	for range 100 {
		r.step()
	}
	in := upkeep.Input{Hosts: r.list(), HostsAt: r.now, Waves: []upkeep.Wave{r.wave}, Pools: r.loads()}
	now := r.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.planner.Step(now, in)
	}
}
