package poolowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against takeovers that wait for the longest lease although nothing can run on the workers that do not answer: entries of
// the registry that never were workers, more of them than of workers.
func TestTakeoversDoNotWaitForWorkersThatNeverAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		workers := newLeaseWorkers()
		listed := []string{"w1", "w2"}
		var odd []string
		for i := range 8 {
			odd = append(odd, fmt.Sprintf("x%d", i))
		}
		listed = append(listed, odd...)
		for term := range 2 {
			o := newOptions(t, shared.Client("owner"), workers)
			workers.setUnreachable(o.Config.Fence, odd...)
			_, stop := startOwner(t, o, listed...)
			acceptNamed(t, shared.Client("host"), fmt.Sprintf("j%d", term))
			time.Sleep(settleTime)
			assert.Equal(t, workers.runningOn("w1")+workers.runningOn("w2"), term+1, "term %d", term)
			assert.Assert(t, !workers.sawDuplicate())
			time.Sleep(3 * time.Second)
			stop()
		}
	})
}
