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
		b.Run(strconv.Itoa(size)+" workers", func(b *testing.B) { benchLimitedStep(b, size, 0, nil) })
	}
}

// newBenchPool returns a full pool of the given number of workers, and their reports. Its jobs belong to the given number of
// workspaces in turn.
func newBenchPool(b *testing.B, size, workspaces int, limits map[string]scheduler.Resources) (*scheduler.Pool, time.Time, []scheduler.Report) {
	b.Helper()
	now := time.UnixMilli(simEpoch)
	cfg := simConfig
	cfg.Fence = 7
	p := scheduler.New(cfg)
	p.SetQueues(now, simQueues)
	p.Load(now, nil, nil, nil)
	p.SetWorkspaceLimits(now, limits)
	var ws []scheduler.Worker
	for i := range size {
		ws = append(ws, scheduler.Worker{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/20), Capacity: scheduler.Resources{CPUMilli: 16000, MemoryMB: 64000},
		})
	}
	p.SetWorkers(now, ws)
	reports := make([]scheduler.Report, len(ws))
	for i, w := range ws {
		reports[i] = scheduler.Report{Worker: w.ID, Fence: p.FenceFor(w.ID), Born: 5, Sent: now, Received: now, Clock: 1000}
		p.Report(now, reports[i])
	}
	for i := range 3 * size {
		workspace := ""
		if workspaces > 0 {
			workspace = fmt.Sprintf("workspace%d", i%workspaces)
		}
		p.Add(now, &pb.JobRecord{Id: fmt.Sprintf("j%d", i), Queue: "q", Workspace: workspace, AcceptedMs: simEpoch, Spec: &pb.JobSpec{
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
	return p, now, reports
}

func benchLimitedStep(b *testing.B, size, workspaces int, limits map[string]scheduler.Resources) {
	b.Helper()
	p, now, reports := newBenchPool(b, size, workspaces, limits)
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

// BenchmarkStepWorkspaces measures the same as BenchmarkStepBacklog with 300 workers, whose jobs belong to no workspace, or to
// 200 with limits that are far above, or half of, what they use otherwise; and one call of WorkspaceUsage.
func BenchmarkStepWorkspaces(b *testing.B) {
	const workspaces = 200
	limits := func(cpuMilli int64) map[string]scheduler.Resources {
		out := map[string]scheduler.Resources{}
		for i := range workspaces {
			out[fmt.Sprintf("workspace%d", i)] = scheduler.Resources{CPUMilli: cpuMilli, MemoryMB: scheduler.NoLimit, GPU: scheduler.NoLimit}
		}
		return out
	}
	b.Run("none", func(b *testing.B) { benchLimitedStep(b, 300, 0, nil) })
	b.Run("no limit reached", func(b *testing.B) { benchLimitedStep(b, 300, workspaces, limits(1_000_000)) })
	b.Run("all at their limit", func(b *testing.B) { benchLimitedStep(b, 300, workspaces, limits(12_000)) })
	b.Run("usage", func(b *testing.B) {
		p, now, _ := newBenchPool(b, 300, workspaces, limits(12_000))
		b.ReportAllocs()
		for b.Loop() {
			p.WorkspaceUsage(now)
		}
	})
}
