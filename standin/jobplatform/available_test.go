package jobplatform

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A task that an order ended counts as unavailable until it serves again. If it crashes after that, it counts only once the
// crash is older than absenceGrace.
func TestCrashAfterMoveIsNotDisplacement(t *testing.T) {
	for name, test := range map[string]struct {
		uptime, sinceCrash time.Duration
		violations         int
	}{
		"recovered, then crashed":     {uptime: time.Second, sinceCrash: time.Second},
		"not recovered, then crashed": {uptime: startupTime / 2, sinceCrash: time.Second, violations: 1},
		"crash older than grace":      {uptime: time.Second, sinceCrash: 2 * absenceGrace, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHistory()
				h.Add(Job{ID: "j", Pool: "p", Steps: []Step{{Count: 2, Persistent: true, MayMiss: 1}}})
				moved, other := taskID{"j", 0, 0}, taskID{"j", 0, 1}
				first, _, _ := h.started("w1", "p", orderBody{}, moved)
				h.started("w2", "p", orderBody{}, other)
				time.Sleep(time.Second)
				h.displaced(moved)
				h.runEnded(first, endStopped)
				time.Sleep(100 * time.Millisecond)
				second, _, _ := h.started("w3", "p", orderBody{}, moved)
				time.Sleep(test.uptime)
				h.runEnded(second, endGone)
				time.Sleep(test.sinceCrash)
				h.displaced(other)
				_, violations := h.Verdict()
				assert.Equal(t, len(violations), test.violations, "%q", violations)
			})
		})
	}
}
