package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Learned returns what was learned of the demand of pools, sorted by pool.
func (p *Planner) Learned() []*pb.LearnedDemand {
	var out []*pb.LearnedDemand
	for _, name := range sortedKeys(p.demands) {
		d := p.demands[name]
		if len(d.turns.rises) == 0 {
			continue
		}
		out = append(out, d.learned(name))
	}
	return out
}

func (d *demand) learned(pool string) *pb.LearnedDemand {
	out := &pb.LearnedDemand{
		Pool: pool, Peak: d.peak, Trough: d.trough, LengthMs: d.turns.length.Milliseconds(), High: d.turns.high,
	}
	for _, rise := range d.turns.rises {
		out.RisesMs = append(out.RisesMs, rise.UnixMilli())
	}
	return out
}

// RestoreLearned takes over what an earlier owner learned. It is called before the first Step. Rises after now are left
// out: the clock of the earlier owner was ahead.
func (p *Planner) RestoreLearned(now time.Time, demands []*pb.LearnedDemand) {
	for _, l := range demands {
		d := &demand{peak: max(0, l.GetPeak()), trough: max(0, l.GetTrough())}
		for _, ms := range l.GetRisesMs() {
			at := time.UnixMilli(ms)
			if at.After(now) || !at.After(d.turns.last()) {
				continue
			}
			d.turns.rises = append(d.turns.rises, at)
		}
		if len(d.turns.rises) == 0 {
			continue
		}
		if len(d.turns.rises) > keptRises {
			d.turns.rises = d.turns.rises[len(d.turns.rises)-keptRises:]
		}
		d.turns.length = max(0, time.Duration(l.GetLengthMs())*time.Millisecond)
		d.turns.high = l.GetHigh()
		p.demands[l.GetPool()] = d
	}
}
