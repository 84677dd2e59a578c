package poolowner_test

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against a worker that is called without a pause: an acknowledgement that its client cannot send, as an entry of another writer
// names a later start, leaves the ends listed, and the worker answers at once for them.
func TestHoldsWhoseAcknowledgementIsNotSentPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		workers := &scriptedWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
		ended := []scheduler.EndedRun{{Number: 5, Run: math.MaxInt64, End: scheduler.EndSucceeded}}
		workers.answer = func(poolowner.HoldRequest) (scheduler.Report, error) {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			calls++
			return scheduler.Report{Born: 1, Ended: ended}, nil // LastSeen 0: sent without the acknowledgement
		}
		_, stop := startOwner(t, newOptions(t, memtxn.New().Client("owner"), workers), "w1")
		time.Sleep(5 * time.Second)
		stop()
		assert.Assert(t, calls <= 60, "%d holds in 5 s of a worker that answers in 20 ms", calls)
	})
}

// Guards against an acknowledgement that waits at a worker although it is new there: it has the number of the last one, which was for an
// earlier incarnation, or which got no answer.
func TestHoldWithAnAcknowledgementThatWasNotAnsweredDoesNotWait(t *testing.T) {
	for name, restarts := range map[string]bool{"no answer": false, "later incarnation": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var waited []time.Duration
				workers := &scriptedWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
				ended := []scheduler.EndedRun{{Number: 5, Run: math.MaxInt64, End: scheduler.EndSucceeded}}
				workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
					workers.mu.Lock() // polls come beside the holds
					defer workers.mu.Unlock()
					if r.LastSeen > 0 {
						waited = append(waited, r.Wait)
					}
					born := int64(1)
					if restarts && len(waited) > 0 {
						born = 2
					}
					switch {
					case r.LastSeen > 0 && len(waited) == 1:
						return scheduler.Report{LastSeen: r.LastSeen}, errors.New("no answer")
					case r.LastSeen == 0 && len(waited) < 2:
						return scheduler.Report{Born: born, Ended: ended}, nil
					}
					return scheduler.Report{Born: born, LastSeen: r.LastSeen}, nil
				}
				_, stop := startOwner(t, newOptions(t, memtxn.New().Client("owner"), workers), "w1")
				time.Sleep(3 * time.Second)
				stop()
				assert.Assert(t, len(waited) >= 2)
				for _, w := range waited {
					assert.Equal(t, w, time.Duration(0), "%v", waited)
				}
			})
		})
	}
}

// hangingDials let the hold that acknowledges an end wait for a connection until its deadline, so that it is not sent. Then the worker returns.
type hangingDials struct {
	fakeWorkers
	hung  atomic.Bool
	stops atomic.Int64
}

func (h *hangingDials) Stop(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	h.stops.Add(1)
	return h.fakeWorkers.Stop(ctx, o, fence)
}

func (h *hangingDials) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	if r.LastSeen > 0 && !h.hung.Load() {
		<-ctx.Done()
		h.hung.Store(true)
		return scheduler.Report{Worker: r.Worker}, ctx.Err()
	}
	report, err := h.fakeWorkers.Hold(ctx, r)
	report.Born = 1
	if h.hung.Load() {
		report.Born = 2
	} else {
		report.Ended = []scheduler.EndedRun{{Number: 5, Run: math.MaxInt64, End: scheduler.EndSucceeded}}
	}
	return report, err
}

// Guards against a worker that is avoided without need: what became of a hold is told to the pool under the deadline of the hold, which is over
// if the hold could not be sent by then.
func TestResultOfAHoldThatTimedOutIsTold(t *testing.T) {
	avoided := 0
	for range 16 {
		synctest.Test(t, func(t *testing.T) {
			kv := memtxn.New().Client("owner")
			workers := &hangingDials{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
			_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
			time.Sleep(12 * time.Second)
			accept(t, kv, newJob("job", 1))
			time.Sleep(3 * time.Second)
			stop()
			assert.Assert(t, workers.hung.Load())
			if workers.stops.Load() > 0 {
				avoided++
			}
		})
	}
	assert.Equal(t, avoided, 0, "of 16 plays, a run was started to be stopped")
}
