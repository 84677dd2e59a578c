// Package pause tells whether the process was stopped for longer than it may be.
//
// A process that was frozen does not know what the others agreed meanwhile. The
// monotonic clock runs on through SIGSTOP, so a gap between two ticks of a
// goroutine shows the pause. It does not run on through a suspended host.
package pause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Paused is the error of a process that must not send before it has confirmed its view.
var Paused = errs.Class("process was paused; it sends nothing until a peer or the store confirms its membership")

// ticksPerLimit is how often the detector ticks within its limit.
const ticksPerLimit = 10

// Detector notices pauses. It is safe for concurrent use.
type Detector struct {
	limit   time.Duration
	origin  time.Time
	last    atomic.Int64 // time since origin at the last tick, in ns
	suspect atomic.Bool
}

// NewDetector returns a detector that allows pauses up to limit.
func NewDetector(limit time.Duration) *Detector {
	return &Detector{limit: limit, origin: time.Now()}
}

// Run ticks until ctx ends. onPause is called with the gap after each pause beyond the limit.
func (d *Detector) Run(ctx context.Context, onPause func(gap time.Duration)) {
	d.last.Store(int64(time.Since(d.origin)))
	ticker := time.NewTicker(d.limit / ticksPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if gap, paused := d.tick(); paused {
				onPause(gap)
			}
		}
	}
}

// tick records that the process runs. The suspicion is set before the tick is
// stored, so that no sender sees a fresh tick without the suspicion.
func (d *Detector) tick() (time.Duration, bool) {
	now := int64(time.Since(d.origin))
	gap := time.Duration(now - d.last.Load())
	paused := gap > d.limit
	if paused {
		d.suspect.Store(true)
	}
	d.last.Store(now)
	return gap, paused
}

// Check returns Paused if the process may have been stopped beyond the limit since it last confirmed its view.
func (d *Detector) Check() error {
	gap := time.Since(d.origin) - time.Duration(d.last.Load())
	if gap > d.limit {
		return Paused.New("gap of %s", gap)
	}
	if d.suspect.Load() {
		return Paused.New("not confirmed yet")
	}
	return nil
}

// Suspect reports whether a pause was noticed and not confirmed since.
func (d *Detector) Suspect() bool { return d.suspect.Load() }

// Confirm ends the suspicion. Call it with a view that was fetched after the pause and shows this process as a member.
func (d *Detector) Confirm() { d.suspect.Store(false) }
