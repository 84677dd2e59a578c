package carry

import (
	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
)

func taskRef(id scheduler.TaskID) *pb.TaskRef {
	return &pb.TaskRef{Job: id.Job, Occurrence: int32(id.Occurrence), Step: int32(id.Step), Index: int32(id.Index)} //nolint:gosec // small numbers
}

func taskID(r *pb.TaskRef) scheduler.TaskID {
	return scheduler.TaskID{
		Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex()),
	}
}

var kinds = map[scheduler.OrderKind]pb.CarriedKind{
	scheduler.OrderStart: pb.CarriedKind_CARRIED_KIND_START,
	scheduler.OrderStop:  pb.CarriedKind_CARRIED_KIND_STOP,
	scheduler.OrderPace:  pb.CarriedKind_CARRIED_KIND_PACE,
}

func orderCall(o scheduler.Order, fence uint64) *pb.CarriedCall {
	return &pb.CarriedCall{
		Kind: kinds[o.Kind], Address: o.Address, Worker: o.Worker, Born: o.Born, Fence: fence, Task: taskRef(o.Task), Run: o.Run,
		Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Until: o.Until, Percent: int32(o.Percent), //nolint:gosec // 0 to 100
	}
}

func orderOf(c *pb.CarriedCall) scheduler.Order {
	return scheduler.Order{
		Worker: c.GetWorker(), Address: c.GetAddress(), Born: c.GetBorn(), Task: taskID(c.GetTask()), Run: c.GetRun(),
		Payload: c.GetPayload(), Checkpoint: c.GetCheckpoint(), Ticket: c.GetTicket(), Until: c.GetUntil(), Percent: int(c.GetPercent()),
	}
}

func holdCall(r poolowner.HoldRequest) *pb.CarriedCall {
	return &pb.CarriedCall{
		Kind: pb.CarriedKind_CARRIED_KIND_HOLD, Address: r.Address, Worker: r.Worker, Born: r.Born, Fence: r.Fence,
		Until: r.Until, LastSeen: r.LastSeen, WaitMs: r.Wait.Milliseconds(),
	}
}

func carriedReport(r scheduler.Report) *pb.CarriedReport {
	return &pb.CarriedReport{
		Born: r.Born, Fenced: r.Fenced, Gone: r.Gone, LastSeen: r.LastSeen,
		Running: lo.Map(r.Running, func(t scheduler.RunningTask, _ int) *pb.CarriedTask {
			return &pb.CarriedTask{
				Task: taskRef(t.Task), Run: t.Run, Checkpoint: t.Checkpoint, Percent: int32(t.Percent), Tail: t.Tail, //nolint:gosec // 0 to 100
			}
		}),
		Ended: lo.Map(r.Ended, func(e scheduler.EndedRun, _ int) *pb.CarriedEnd {
			return &pb.CarriedEnd{
				Number: e.Number, Task: taskRef(e.Task), Run: e.Run, End: int32(e.End), Checkpoint: e.Checkpoint, //nolint:gosec // an enumeration
			}
		}),
	}
}

// fillReport sets what the worker has told; the times of the call are the owner's.
func fillReport(report *scheduler.Report, result *pb.CarriedResult) {
	from := result.GetReport()
	report.Clock, report.Born = result.GetClock(), from.GetBorn()
	report.Fenced, report.Gone = from.GetFenced(), from.GetGone()
	report.LastSeen = from.GetLastSeen()
	report.Running = lo.Map(from.GetRunning(), func(t *pb.CarriedTask, _ int) scheduler.RunningTask {
		return scheduler.RunningTask{
			Task: taskID(t.GetTask()), Run: t.GetRun(), Checkpoint: t.GetCheckpoint(), Percent: int(t.GetPercent()), Tail: t.GetTail(),
		}
	})
	report.Ended = lo.Map(from.GetEnded(), func(e *pb.CarriedEnd, _ int) scheduler.EndedRun {
		return scheduler.EndedRun{
			Number: e.GetNumber(), Task: taskID(e.GetTask()), Run: e.GetRun(), End: scheduler.RunEnd(e.GetEnd()), Checkpoint: e.GetCheckpoint(),
		}
	})
}
