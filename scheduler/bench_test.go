package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// BenchmarkStepBacklog measures one report and Step of a full pool while more tasks wait than run.
func BenchmarkStepBacklog(b *testing.B) {
	for _, size := range []int{50, 100, 350, 1400} {
		b.Run(strconv.Itoa(size)+" workers", func(b *testing.B) { benchStep(b, size) })
	}
}

func benchStep(b *testing.B, size int) {
	b.Helper()
	now := time.UnixMilli(simEpoch)
	cfg := simConfig
	cfg.Fence = 7
	p := scheduler.New(cfg)
	p.SetQueues(now, simQueues)
	p.Load(now, nil, nil, nil)
	var ws []scheduler.Worker
	for i := range size {
		ws = append(ws, scheduler.Worker{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/20), Capacity: scheduler.Resources{CPUMilli: 16000, MemoryMB: 64000},
		})
	}
	p.SetWorkers(now, ws)
	reports := make([]scheduler.Report, len(ws))
	for i, w := range ws {
		reports[i] = scheduler.Report{Worker: w.ID, Born: 5, Sent: now, Received: now, Clock: 1000}
		p.Report(now, reports[i])
	}
	for i := range 3 * size {
		p.Add(now, &pb.JobRecord{Id: fmt.Sprintf("j%d", i), Queue: "q", AcceptedMs: simEpoch, Spec: &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 6, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 1000}},
		}})
	}
	for _, o := range p.Step(now).Orders {
		p.Result(now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		for i := range reports {
			if reports[i].Worker == o.Worker {
				reports[i].Running = append(reports[i].Running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := &reports[i%len(reports)]
		r.Sent, r.Received, r.Clock = now, now, 1000+int64(i)
		if n := len(r.Running); n > 0 {
			run := r.Running[0]
			r.Running = r.Running[1:]
			r.Ended = append(r.Ended[:0], scheduler.EndedRun{Number: int64(i + 1), Task: run.Task, Run: run.Run, End: scheduler.EndSucceeded})
		}
		p.Report(now, *r)
		a := p.Step(now)
		for _, o := range a.Orders {
			if o.Kind == scheduler.OrderStart {
				p.Result(now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
				r.Running = append(r.Running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
			}
		}
		for _, rec := range a.Records {
			p.Recorded(now, rec.Progress.GetId(), rec.Version)
		}
	}
}
