package poolowner_test

import (
	"context"
	"errors"
	"syscall"
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

// The end of a worker's second lifetime under one id is noticed as soon as its address refuses connections.
func TestSecondLifetimeThatEndsIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("owner")
		workers := &answering{endless: endless{running: make(map[string][]scheduler.RunningTask)}}
		began := time.Now()
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			age := time.Since(began)
			workers.mu.Lock()
			defer workers.mu.Unlock()
			switch {
			case r.Worker == "w2" && age < 2*time.Second:
				return scheduler.Report{}, errors.New("no answer")
			case r.Worker == "w2":
				return scheduler.Report{Running: workers.running["w2"]}, nil
			case age < time.Second:
				return scheduler.Report{Born: 1}, nil
			case age < 3*time.Second:
				return scheduler.Report{Born: 2, Running: workers.running["w1"]}, nil
			}
			workers.running["w1"] = nil
			return scheduler.Report{}, syscall.ECONNREFUSED
		}
		own, end := term(t, options(t, kv, workers))
		listed := workersOf([]string{"w1", "w2"})
		listed[0].Born = 1
		own.SetWorkers(listed)
		time.Sleep(1200 * time.Millisecond)
		accept(t, kv, 1)
		time.Sleep(time.Second)
		assert.Equal(t, workers.on("w1"), 1)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, workers.on("w2"), 1)
		end()
	})
}

// A list that still shows an earlier lifetime of a worker, at another address, does not take the place of the one recorded.
func TestTakeoverWithAListThatLagsBehindTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("owner")
		workers := &answering{endless: endless{running: make(map[string][]scheduler.RunningTask)}}
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			switch r.Address {
			case "before":
				return scheduler.Report{}, syscall.ECONNREFUSED
			case "now":
				return scheduler.Report{Born: 2, Running: workers.running["w1"]}, nil
			}
			return scheduler.Report{Running: workers.running[r.Worker]}, nil
		}
		present := scheduler.Worker{ID: "w1", Address: "now", Born: 2, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}
		own, end := term(t, options(t, kv, workers))
		own.SetWorkers([]scheduler.Worker{present})
		accept(t, kv, 1)
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		end()
		own, end = term(t, options(t, kv, workers))
		lagging := present
		lagging.Address, lagging.Born = "before", 1
		others := workersOf([]string{"w2"})
		own.SetWorkers(append([]scheduler.Worker{lagging}, others...))
		time.Sleep(5 * time.Second)
		own.SetWorkers(append([]scheduler.Worker{present}, others...))
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.ranTwice())
		assert.Equal(t, workers.on("w1"), 1)
		end()
	})
}
