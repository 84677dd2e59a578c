// Package pause detects whether the process was stopped for longer than a limit.
//
// A stopped process does not know what the others have agreed on meanwhile. The monotonic clock continues to run during
// SIGSTOP, so a gap between two ticks of a goroutine reveals the pause. It does not run while the host is suspended.
package pause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Paused is the error class of a process that must not send requests before its membership is confirmed again.
var Paused = errs.Class("process was paused; it sends nothing until a peer or the store confirms its membership")

// ticksPerLimit is the number of ticks of the detector within its limit.
const ticksPerLimit = 10

// Detector detects pauses. It is safe for concurrent use.
type Detector struct {
	limit   time.Duration
	origin  time.Time
	last    atomic.Int64 // time since origin at the last tick, in ns
	suspect atomic.Bool
}

// NewDetector returns a Detector that ignores pauses up to limit.
func NewDetector(limit time.Duration) *Detector {
	return &Detector{limit: limit, origin: time.Now()}
}

// Run ticks until ctx ends. It calls onPause with the gap after each pause longer than the limit.
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

// tick records the time of a tick and returns the gap since the last one and whether it exceeds the limit. suspect is set
// before the tick is stored, so that no sender sees a new tick without it.
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

// Check returns Paused if the process may have been stopped for longer than the limit since Confirm was last called.
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

// Suspect reports whether a pause was detected and Confirm has not been called since.
func (d *Detector) Suspect() bool { return d.suspect.Load() }

// Confirm clears the suspicion. Call it only after a fleet fetched after the pause lists this process as a member.
func (d *Detector) Confirm() { d.suspect.Store(false) }
