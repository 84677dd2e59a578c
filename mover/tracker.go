package mover

import (
	"time"
)

const (
	// endsAfter is how long a shortage must be gone before the overload counts as over.
	endsAfter = time.Second
	// learningRate is the weight of the newest burst in the learned length.
	learningRate = 0.3
	// calmShare is the share of slots in use up to which a pool is calm.
	calmShare = 0.5
	// longestStep bounds the time that one sample stands for, in case samples stop for a while.
	longestStep = 5 * time.Second
)

// Tracker learns from samples how long pools are overloaded. It is not safe for concurrent use.
type Tracker struct {
	pools map[string]*history
}

type history struct {
	last       time.Time
	overloaded time.Time
	shortAt    time.Time
	waited     float64
	calm       time.Time
	burst      time.Duration
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{pools: map[string]*history{}}
}

// Observe takes in one sample of each pool and returns their loads. A pool that is absent is forgotten.
func (t *Tracker) Observe(now time.Time, samples map[string]Sample) map[string]PoolLoad {
	pools := make(map[string]*history, len(samples))
	out := make(map[string]PoolLoad, len(samples))
	for name, s := range samples {
		h := t.pools[name]
		if h == nil {
			h = &history{last: now}
		}
		pools[name] = h
		out[name] = h.observe(now, s)
	}
	t.pools = pools
	return out
}

func (h *history) observe(now time.Time, s Sample) PoolLoad {
	step := min(max(now.Sub(h.last), 0), longestStep)
	h.last = now
	h.overload(now, s.Shortage(), step)
	if s.share(0) > calmShare || s.Queued > 0 {
		h.calm = time.Time{}
	} else if h.calm.IsZero() {
		h.calm = now
	}
	load := PoolLoad{Sample: s, Waited: h.waited, BurstLength: h.burst}
	if !h.overloaded.IsZero() {
		load.OverloadedFor = now.Sub(h.overloaded)
	}
	if !h.calm.IsZero() {
		load.CalmFor = now.Sub(h.calm)
	}
	return load
}

func (h *history) overload(now time.Time, shortage float64, step time.Duration) {
	if shortage > 0 {
		if h.overloaded.IsZero() {
			// It may have begun just now: nothing is charged for the time before.
			h.overloaded = now
			step = 0
		}
		h.shortAt = now
		h.waited += shortage * step.Seconds()
		return
	}
	if h.overloaded.IsZero() || now.Sub(h.shortAt) < endsAfter {
		return
	}
	h.learn(h.shortAt.Sub(h.overloaded))
	h.overloaded = time.Time{}
	h.waited = 0
}

func (h *history) learn(length time.Duration) {
	if h.burst == 0 {
		h.burst = length
		return
	}
	h.burst += time.Duration(learningRate * float64(length-h.burst))
}
