package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Learned returns the learned demand of the pools that have had a burst, sorted by pool.
func (p *Planner) Learned() []*pb.LearnedDemand {
	var out []*pb.LearnedDemand
	for _, name := range sortedKeys(p.demands) {
		d := p.demands[name]
		if len(d.bursts.starts) == 0 {
			continue
		}
		out = append(out, d.toProto(name))
	}
	return out
}

func (d *demand) toProto(pool string) *pb.LearnedDemand {
	out := &pb.LearnedDemand{
		Pool: pool, Peak: d.peak, Trough: d.trough, LengthMs: d.bursts.length.Milliseconds(), High: d.bursts.high,
	}
	for _, start := range d.bursts.starts {
		out.RisesMs = append(out.RisesMs, start.UnixMilli())
	}
	return out
}

// RestoreLearned restores the demand that an earlier owner learned. It must be called before the first Step. Burst
// starts after now are dropped: the clock of the earlier owner was ahead.
func (p *Planner) RestoreLearned(now time.Time, demands []*pb.LearnedDemand) {
	for _, l := range demands {
		d := &demand{peak: max(0, l.GetPeak()), trough: max(0, l.GetTrough())}
		for _, ms := range l.GetRisesMs() {
			at := time.UnixMilli(ms)
			if at.After(now) || !at.After(d.bursts.lastStart()) {
				continue
			}
			d.bursts.starts = append(d.bursts.starts, at)
		}
		if len(d.bursts.starts) == 0 {
			continue
		}
		if len(d.bursts.starts) > maxStarts {
			d.bursts.starts = d.bursts.starts[len(d.bursts.starts)-maxStarts:]
		}
		d.bursts.length = max(0, time.Duration(l.GetLengthMs())*time.Millisecond)
		d.bursts.high = l.GetHigh()
		p.demands[l.GetPool()] = d
	}
}
