package jobplatform

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A task that an order had ended counts as away until it is back at work, and after a crash that follows only once the crash
// is older than the notice.
func TestCrashAfterAMoveIsNoOrder(t *testing.T) {
	for name, test := range map[string]struct {
		back, since time.Duration
		broken      int
	}{
		"back, then crashed":      {back: time.Second, since: time.Second},
		"not back, then crashed":  {back: startupTime / 2, since: time.Second, broken: 1},
		"crashed for long by now": {back: time.Second, since: 2 * noticeTime, broken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHistory()
				h.Add(Job{ID: "j", Pool: "p", Steps: []Step{{Count: 2, Persistent: true, MayMiss: 1}}})
				moved, other := taskID{"j", 0, 0}, taskID{"j", 0, 1}
				h.started("w1", "p", "", moved)
				h.started("w2", "p", "", other)
				time.Sleep(time.Second)
				h.ordered(moved)
				h.over(moved, endStopped)
				time.Sleep(100 * time.Millisecond)
				h.started("w3", "p", "", moved)
				time.Sleep(test.back)
				h.over(moved, endGone)
				time.Sleep(test.since)
				h.ordered(other)
				_, broken := h.Verdict()
				assert.Equal(t, len(broken), test.broken, "%q", broken)
			})
		})
	}
}
