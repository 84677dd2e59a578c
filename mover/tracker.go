package mover

import (
	"time"
)

const (
	// overloadEndDelay is how long a shortage must be gone before the overload counts as over.
	overloadEndDelay = time.Second
	// burstWeight is the weight of the newest burst in the learned length.
	burstWeight = 0.3
	// maxCalmShare is the share of needed slots up to which a pool with an empty queue is calm. A pool also lends or
	// returns a host only if it stays within this share without it.
	maxCalmShare = 0.5
	// maxSampleInterval bounds the time that is charged for one sample, in case samples are interrupted.
	maxSampleInterval = 5 * time.Second
)

// Tracker learns from samples how long pools are overloaded. It is not safe for concurrent use.
type Tracker struct {
	pools map[string]*history
}

type history struct {
	lastSampleAt    time.Time
	overloadedSince time.Time
	lastShortageAt  time.Time
	waited          float64
	calmSince       time.Time
	burstLength     time.Duration
}

// NewTracker returns a tracker without history.
func NewTracker() *Tracker {
	return &Tracker{pools: map[string]*history{}}
}

// Observe processes one sample of each pool and returns their loads. The history of a pool that is absent is dropped.
func (t *Tracker) Observe(now time.Time, samples map[string]Sample) map[string]PoolLoad {
	pools := make(map[string]*history, len(samples))
	out := make(map[string]PoolLoad, len(samples))
	for name, s := range samples {
		h := t.pools[name]
		if h == nil {
			h = &history{lastSampleAt: now}
		}
		pools[name] = h
		out[name] = h.observe(now, s)
	}
	t.pools = pools
	return out
}

func (h *history) observe(now time.Time, s Sample) PoolLoad {
	interval := min(max(now.Sub(h.lastSampleAt), 0), maxSampleInterval)
	h.lastSampleAt = now
	h.updateOverload(now, s.Shortage(), interval)
	if s.shareWithout(0) > maxCalmShare || s.Queued > 0 {
		h.calmSince = time.Time{}
	} else if h.calmSince.IsZero() {
		h.calmSince = now
	}
	load := PoolLoad{Sample: s, Waited: h.waited, BurstLength: h.burstLength}
	if !h.overloadedSince.IsZero() {
		load.OverloadedFor = now.Sub(h.overloadedSince)
	}
	if !h.calmSince.IsZero() {
		load.CalmFor = now.Sub(h.calmSince)
	}
	return load
}

func (h *history) updateOverload(now time.Time, shortage float64, interval time.Duration) {
	if shortage > 0 {
		if h.overloadedSince.IsZero() {
			// The overload may have just begun, so the time since the last sample is not charged.
			h.overloadedSince = now
			interval = 0
		}
		h.lastShortageAt = now
		h.waited += shortage * interval.Seconds()
		return
	}
	if h.overloadedSince.IsZero() || now.Sub(h.lastShortageAt) < overloadEndDelay {
		return
	}
	h.learnBurst(h.lastShortageAt.Sub(h.overloadedSince))
	h.overloadedSince = time.Time{}
	h.waited = 0
}

func (h *history) learnBurst(length time.Duration) {
	if h.burstLength == 0 {
		h.burstLength = length
		return
	}
	h.burstLength += time.Duration(burstWeight * float64(length-h.burstLength))
}
