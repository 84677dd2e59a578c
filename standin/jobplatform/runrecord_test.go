package jobplatform

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestViolationsNameRuns starts a task again after a success that is acknowledged once the faults have ended.
func TestViolationsNameRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHistory()
		h.Add(Job{ID: "j", Pool: "p", Steps: []Step{{Count: 1}}})
		task, begin := taskID{"j", 0, 0}, time.Now()
		first, _, _ := h.started("w1", "p", orderBody{Run: 7<<20 + 3}, task)
		time.Sleep(time.Second)
		h.runEnded(first, endDone)
		time.Sleep(time.Second)
		h.started("w2", "p", orderBody{Run: 8<<20 + 1}, task)
		h.Calm(time.Now())
		time.Sleep(time.Second)
		h.successAcknowledged(first, false)
		_, violations := h.Verdict()
		at := func(seconds int) string {
			return begin.Add(time.Duration(seconds) * time.Second).Format("15:04:05.000")
		}
		assert.DeepEqual(t, violations, []string{
			fmt.Sprintf(`{j 0 0} started after its success, which was acknowledged later: run 7340035 (fence 7) on worker w1 from %s to %s, end "done", acknowledged %s; `+
				`run 8388609 (fence 8) on worker w2 from %s`, at(0), at(1), at(3), at(2)),
		})
	})
}
