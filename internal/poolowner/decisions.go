package poolowner

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/agateturn/agateturn/scheduler"
)

// logDecisions writes one line for each decision. A slow reader costs lines, never time: the ring drops what does not fit.
func (o *Owner) logDecisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-o.decisions.Items():
			o.logDecision(ctx, d)
		}
	}
}

func (o *Owner) logDecision(ctx context.Context, d scheduler.Decision) {
	if !o.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	o.Log.DebugContext(ctx, d.Kind, "pool", o.Pool, "fence", o.Config.Fence, "job", d.Task.Job,
		"task", fmt.Sprintf("%d.%d.%d", d.Task.Occurrence, d.Task.Step, d.Task.Index),
		"worker", d.Worker, "run", d.Run, "reason", d.Reason)
}
