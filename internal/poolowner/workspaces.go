package poolowner

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/quotawire"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
	"github.com/agateturn/agateturn/scheduler"
)

// limitLogInterval is the least time between two events about the limit of one workspace.
const limitLogInterval = time.Second

// workspaceLimits are the limits of workspaces in the pool. Only the loop's goroutine may use them.
type workspaceLimits struct {
	// limits is nil until a configuration has workspaces.
	limits  *quota.Limits
	inForce map[string]scheduler.Resources
	logged  map[string]loggedLimit
}

// loggedLimit is the limit of a workspace as last logged.
type loggedLimit struct {
	limit scheduler.Resources
	at    time.Time
}

// setWorkspaces applies the workspaces of a configuration; nil if it has none.
func (o *Owner) setWorkspaces(p *scheduler.Pool, now time.Time, workspaces []queue.Workspace) {
	w := &o.workspaceLimits
	if w.limits == nil {
		if workspaces == nil {
			return
		}
		w.limits, w.logged = quota.NewLimits(), map[string]loggedLimit{}
	}
	w.limits.SetWorkspaces(workspaces, quotaUsage(p, now))
	w.enforce(p, now)
}

// findUsage limits the workspaces to what runs, once the takeover is complete. Runs of jobs that are not known yet count as soon
// as their job is, and until then the report says that the usage is unknown, so that nothing is granted: one run that is slow
// to stop must not keep all workspaces from starting anything. findUsage is called before each step.
func (o *Owner) findUsage(p *scheduler.Pool, now time.Time) {
	w := &o.workspaceLimits
	if w.limits == nil || w.limits.Known() || !p.TakeoverComplete() {
		return
	}
	w.limits.Found(quotaUsage(p, now))
	w.enforce(p, now)
}

// enforce passes changed limits to the scheduler.
func (w *workspaceLimits) enforce(p *scheduler.Pool, now time.Time) {
	limits := make(map[string]scheduler.Resources)
	for name, limit := range w.limits.InForce() {
		limits[name] = scheduler.Resources(limit)
	}
	if w.inForce != nil && maps.Equal(limits, w.inForce) {
		return
	}
	w.inForce = limits
	p.SetWorkspaceLimits(now, maps.Clone(limits))
}

// applyGrants applies the grants of a request that is not outdated, and adds to the answer what the workspaces use.
func (o *Owner) applyGrants(ctx context.Context, p *scheduler.Pool, now time.Time, r *pb.PoolStatusRequest, out *pb.PoolStatusResponse) {
	w := &o.workspaceLimits
	if w.limits == nil {
		return
	}
	if r.GetPoolFence() == o.Config.Fence && len(r.GetGrants()) > 0 {
		w.limits.Apply(quotawire.DecodeGrants(r.GetGrants()))
	}
	report := w.limits.Report(quotaUsage(p, now))
	w.enforce(p, now)
	o.logLimits(ctx, now)
	o.shownUsage.Store(&report)
	out.UsageKnown = w.limits.Known() && p.UsageKnown()
	out.Workspaces = quotawire.EncodeUsage(report)
}

// logLimits logs the limits that have changed.
func (o *Owner) logLimits(ctx context.Context, now time.Time) {
	w := &o.workspaceLimits
	for name := range w.logged {
		if _, limited := w.inForce[name]; !limited {
			delete(w.logged, name)
		}
	}
	for name, limit := range w.inForce {
		last := w.logged[name]
		if limit == last.limit || now.Sub(last.at) < limitLogInterval {
			continue
		}
		w.logged[name] = loggedLimit{limit: limit, at: now}
		event := events.WorkspaceLimitLowered
		if limit.CPUMilli > last.limit.CPUMilli || limit.MemoryMB > last.limit.MemoryMB || limit.GPU > last.limit.GPU {
			event = events.WorkspaceLimitRaised
		}
		events.Log(ctx, o.Log, event, slog.String("workspace", name), slog.String("pool", o.Pool),
			slog.Uint64("fence", o.Config.Fence), slog.Int64("cpu_milli", limit.CPUMilli), slog.Int64("memory_mb", limit.MemoryMB),
			slog.Int64("gpu", limit.GPU), slog.Int64("previous_cpu_milli", last.limit.CPUMilli),
			slog.Int64("previous_memory_mb", last.limit.MemoryMB), slog.Int64("previous_gpu", last.limit.GPU))
	}
}

// WorkspaceUsage returns the limits and the usage of workspaces as last reported to the fleet owner.
func (o *Owner) WorkspaceUsage() []quota.Usage {
	if usage := o.shownUsage.Load(); usage != nil {
		return *usage
	}
	return nil
}

func quotaUsage(p *scheduler.Pool, now time.Time) []quota.Usage {
	return lo.Map(p.WorkspaceUsage(now), func(u scheduler.WorkspaceUsage, _ int) quota.Usage {
		return quota.Usage{
			Workspace: u.Workspace, Used: quota.Resources(u.Used), Waiting: quota.Resources(u.Waiting),
			Next: quota.Resources(u.Next), WaitedFor: u.WaitedFor,
		}
	})
}
