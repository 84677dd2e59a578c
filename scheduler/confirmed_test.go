package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// slowWorker is a worker's clock that runs slow by a share, and the lease that the worker keeps.
type slowWorker struct {
	epoch time.Time
	drift float64
	until int64
}

func (w *slowWorker) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(w.epoch).Milliseconds())*(1-w.drift))
}

// Pattern: an owner and one of its workers are cut off from the store and all other hosts. Whenever another host acquires the
// pool after the cut owner's last confirmation, the worker's lease has expired once the new owner starts tasks; holds may be
// delivered late, and the worker's clock may run slow.
func TestLeaseOfACutOffOwnerEndsBeforeTheNextOwnerStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := simConfig
		cfg.Fence = 7
		cfg.UnconfirmedLease = time.Duration(rapid.IntRange(0, 4000).Draw(t, "unconfirmed_ms")) * time.Millisecond
		start := time.UnixMilli(simEpoch)
		w := &slowWorker{epoch: start, drift: float64(rapid.IntRange(0, 20).Draw(t, "drift")) / 1000}
		listed := []scheduler.Worker{{ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}}

		confirmed := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "confirmed_ms")) * time.Millisecond)
		cut := scheduler.New(cfg)
		cut.Load(start, nil, nil, nil)
		cut.SetWorkers(start, listed)
		for now := start; now.Before(confirmed.Add(20 * time.Second)); {
			if now.Before(confirmed) {
				cut.SetConfirmed(now)
			} else {
				cut.SetConfirmed(confirmed)
			}
			cut.Report(now, scheduler.Report{Worker: "w1", Fence: cut.FenceFor("w1"), Born: 5, Sent: now, Received: now, Clock: w.clock(now)})
			hold := cut.Hold("w1", now)
			late := time.Duration(rapid.IntRange(0, 3000).Draw(t, "late_ms")) * time.Millisecond
			if w.clock(now.Add(late)) <= max(w.until, hold.Until) {
				w.until = max(w.until, hold.Until)
			}
			now = now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
		}

		acquired := confirmed.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "acquired_ms")) * time.Millisecond)
		cfg.Fence = 8
		next := scheduler.New(cfg)
		next.SetWorkers(acquired, append(listed, scheduler.Worker{ID: "w2", Address: "w2", Capacity: listed[0].Capacity}))
		next.Load(acquired, nil, nil, nil)
		next.SetQueues(acquired, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
		spec := &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, EstimateMs: 1000}}}
		next.Add(acquired, &pb.JobRecord{Id: "a", Queue: "q", AcceptedMs: acquired.UnixMilli(), Spec: spec})
		started := false
		for now := acquired; now.Before(acquired.Add(30*time.Second)) && !started; now = now.Add(20 * time.Millisecond) {
			next.SetConfirmed(now)
			next.Report(now, scheduler.Report{Worker: "w2", Fence: next.FenceFor("w2"), Born: 5, Sent: now, Received: now, Clock: now.UnixMilli()})
			started = len(next.Step(now).Orders) > 0
			if started && w.clock(now) <= w.until {
				t.Fatalf("the task starts %v after the last confirmation, while the worker's lease runs for %d ms more",
					now.Sub(confirmed), w.until-w.clock(now))
			}
		}
		assert.Assert(t, started, "the next owner never started the task")
	})
}

// Pattern: the store gives no answer for a while, and every host sees it. The leases of workers outlast an outage shorter
// than the lease, although no renewal is confirmed meanwhile.
func TestLeasesOutlastAShortOutageOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := simConfig
		cfg.Fence = 7
		cfg.UnconfirmedLease = 2 * time.Second
		start := time.UnixMilli(simEpoch)
		w := &slowWorker{epoch: start, drift: float64(rapid.IntRange(0, 20).Draw(t, "drift")) / 1000}
		p := scheduler.New(cfg)
		p.Load(start, nil, nil, nil)
		p.SetWorkers(start, []scheduler.Worker{{ID: "w1", Address: "w1"}})
		outage := time.Duration(rapid.IntRange(0, int(cfg.Lease.Milliseconds())).Draw(t, "outage_ms")) * time.Millisecond
		for now := start; now.Before(start.Add(outage)); {
			p.SetConfirmed(start)
			p.Report(now, scheduler.Report{Worker: "w1", Fence: p.FenceFor("w1"), Born: 5, Sent: now, Received: now, Clock: w.clock(now)})
			w.until = max(w.until, p.Hold("w1", now).Until)
			now = now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
		}
		end := start.Add(outage)
		if outage > 0 && w.clock(end) > w.until {
			t.Fatalf("the lease has expired %d ms before the end of an outage of %v", w.clock(end)-w.until, outage)
		}
	})
}
