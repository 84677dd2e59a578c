package poolowner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// answering let a test answer holds.
type answering struct {
	endless
	answer func(r poolowner.HoldRequest) (scheduler.Report, error)
}

func (a *answering) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	select {
	case <-ctx.Done():
		return scheduler.Report{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
	}
	report, err := a.answer(r)
	report.Worker, report.Clock, report.Sent, report.Received = r.Worker, time.Now().UnixMilli(), sent, time.Now()
	return report, err
}

// Ends of a lifetime that began since the last answer, under the same id, are not acknowledged by the numbers of the one
// before.
func TestHoldAfterNoAnswerAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []int64
		workers := &answering{endless: endless{running: make(map[string][]scheduler.RunningTask)}}
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			seen = append(seen, r.LastSeen)
			switch len(seen) {
			case 1:
				return scheduler.Report{Born: 1, Ended: []scheduler.EndedRun{{Number: 5, End: scheduler.EndSucceeded}}}, nil
			case 3, 4:
				return scheduler.Report{}, errors.New("no answer")
			}
			return scheduler.Report{Born: 1}, nil
		}
		_, end := term(t, options(t, memtxn.New().Client("owner"), workers), "w1")
		time.Sleep(600 * time.Millisecond)
		end()
		assert.DeepEqual(t, seen[:7], []int64{0, 5, 5, 0, 0, 5, 5})
	})
}
