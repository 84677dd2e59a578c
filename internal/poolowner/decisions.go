package poolowner

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
)

const (
	// decisionBatchDelay is how long decisions are collected, so that a step of many tasks is logged in one line.
	decisionBatchDelay = 20 * time.Millisecond
	// maxDecisionBatch is the size at which a batch stops collecting further decisions.
	maxDecisionBatch = 4096
	// startLogInterval is how often deferred starts are logged, and maxDeferredStarts how many may be deferred. The first
	// starts of a step are logged at once.
	startLogInterval  = 2 * time.Second
	maxDeferredStarts = 4096
	// maxLoggedWorkers and maxLoggedTasks bound the workers and tasks listed in one log line.
	maxLoggedWorkers = 8
	maxLoggedTasks   = 16
)

// decisionGroup is the key by which decisions are joined into one log line.
type decisionGroup struct {
	kind             string
	job              string
	occurrence, step int
	reason           string
	attempt          int
	crashes          int
	queue            string
	suspected        bool
	workspace        string
	// worker is set for decisions about no job and for the ends of runs that no worker has reported. Others are joined across
	// workers.
	worker string
}

// logDecisions writes one line for the decisions of a batch with the same decisionGroup. A slow log loses lines but never
// delays the scheduler: the ring drops what does not fit.
func (o *Owner) logDecisions(ctx context.Context) error {
	ticker := time.NewTicker(startLogInterval)
	defer ticker.Stop()
	s := &startThrottle{logged: make(map[stepKey]bool)}
	for {
		select {
		case <-ctx.Done():
			o.logGroups(ctx, append(s.flush(), o.drainDecisions(nil)...))
			return nil
		case first := <-o.decisions.Items():
			_ = wait.For(ctx, decisionBatchDelay)
			o.logGroups(ctx, s.filter(o.drainDecisions(first)))
		case <-ticker.C:
			o.logGroups(ctx, s.flush())
		}
	}
}

// startThrottle defers the later starts of steps, so that a step whose tasks start one by one takes few log lines. It is
// not safe for concurrent use.
type startThrottle struct {
	// logged holds the steps whose starts were logged since the last flush.
	logged   map[stepKey]bool
	deferred []decision
}

// decision is a scheduler decision with the time of the Step call that made it.
type decision struct {
	scheduler.Decision
	at time.Time
}

// timestampDecisions adds the time of the Step call to its decisions.
func timestampDecisions(all []scheduler.Decision, at time.Time) []decision {
	out := make([]decision, len(all))
	for i := range all {
		out[i] = decision{Decision: all[i], at: at}
	}
	return out
}

type stepKey struct {
	job              string
	occurrence, step int
}

func stepKeyOf(t *scheduler.TaskID) stepKey {
	return stepKey{job: t.Job, occurrence: t.Occurrence, step: t.Step}
}

// filter returns the decisions to log now and defers starts of steps already logged. The success of a single task is not
// logged: the end of its step covers it.
func (s *startThrottle) filter(all []decision) []decision {
	due := make([]decision, 0, len(all)+len(s.deferred))
	newlyLogged := make(map[stepKey]bool)
	for i := range all {
		d := &all[i]
		key := stepKeyOf(&d.Task)
		switch {
		case d.Kind == scheduler.DecisionEnded && d.Reason == scheduler.EndSucceeded.String():
			continue
		case d.Kind == decisionStart && s.logged[key] && len(s.deferred) < maxDeferredStarts:
			s.deferred = append(s.deferred, *d)
			continue
		case d.Kind == decisionStart:
			newlyLogged[key] = true
		default:
			due = s.release(due, d.Task.Job)
		}
		due = append(due, *d)
	}
	maps.Copy(s.logged, newlyLogged)
	return due
}

// release appends the deferred starts of a job, so that they are logged before the decisions that follow from them.
func (s *startThrottle) release(due []decision, job string) []decision {
	if job == "" || len(s.deferred) == 0 {
		return due
	}
	kept := s.deferred[:0]
	for _, d := range s.deferred {
		if d.Task.Job == job {
			due = append(due, d)
			continue
		}
		kept = append(kept, d)
	}
	s.deferred = kept
	return due
}

// flush returns the deferred starts and resets the throttle.
func (s *startThrottle) flush() []decision {
	out := s.deferred
	s.deferred = nil
	clear(s.logged)
	return out
}

// drainDecisions appends the decisions that are already queued.
func (o *Owner) drainDecisions(all []decision) []decision {
	for len(all) < maxDecisionBatch {
		select {
		case next := <-o.decisions.Items():
			all = append(all, next...)
		default:
			return all
		}
	}
	return all
}

func (o *Owner) logGroups(ctx context.Context, all []decision) {
	groups := make(map[decisionGroup][]decision)
	var order []decisionGroup
	for _, d := range all {
		o.updateMetrics(&d.Decision)
		key := groupOf(&d.Decision)
		if len(groups[key]) == 0 {
			order = append(order, key)
		}
		groups[key] = append(groups[key], d)
	}
	for _, key := range order {
		o.logGroup(ctx, key, groups[key])
	}
}

func groupOf(d *scheduler.Decision) decisionGroup {
	g := decisionGroup{
		kind: d.Kind, job: d.Task.Job, occurrence: d.Task.Occurrence, step: d.Task.Step, reason: d.Reason,
	}
	g.attempt, g.crashes, g.suspected = d.Attempt, d.Crashes, d.Suspected
	g.workspace, g.queue = d.Workspace, d.Queue
	if d.Task.Job == "" || d.Kind == scheduler.DecisionLost || d.Kind == decisionNeverBegan {
		g.worker = d.Worker
	}
	return g
}

func (o *Owner) updateMetrics(d *scheduler.Decision) {
	switch d.Kind {
	case scheduler.DecisionBegun:
		o.Metrics.observeAckToStart(d.Age)
		o.Metrics.observeWorkspaceWait(d.Workspace, d.Age)
	case scheduler.DecisionLost:
		o.Metrics.countLostRun(d.Reason)
	case scheduler.DecisionCrashed:
		o.Metrics.countWorkerCrash()
	case scheduler.DecisionGivenUp:
		o.Metrics.countGivenUp()
	case scheduler.DecisionBeyondWeight:
		o.Metrics.countBeyondWeight(d.Workspace)
	case scheduler.DecisionContained:
		o.Metrics.countContainment()
	}
}

// decisionStart is the scheduler's kind of decision for the start of a task.
const decisionStart = "start"

// decisionNeverBegan is the scheduler's kind of decision for an unanswered start that has certainly not been carried out.
const decisionNeverBegan = "never began"

// decisionEvents maps kinds of decisions to events. Other kinds are logged as events.SchedulerNote.
var decisionEvents = map[string]events.Event{
	decisionStart:               events.TasksStarted,
	"stop":                      events.TasksStopped,
	scheduler.DecisionLost:      events.TasksLost,
	scheduler.DecisionCrashed:   events.WorkerCrashed,
	scheduler.DecisionCharged:   events.TaskCharged,
	scheduler.DecisionGivenUp:   events.TaskGivenUp,
	decisionNeverBegan:          events.TasksRefused,
	"refused":                   events.TasksRefused,
	"suspect":                   events.WorkerSuspect,
	scheduler.DecisionEnded:     events.TasksEnded,
	scheduler.DecisionStepDone:  events.StepDone,
	scheduler.DecisionAttempt:   events.AttemptFailed,
	scheduler.DecisionPreempted: events.TasksPreempted,
	scheduler.DecisionBegun:     events.JobBegun,
	scheduler.DecisionCompleted: events.JobCompleted,
	scheduler.DecisionFailed:    events.JobFailed,
	scheduler.DecisionCancelled: events.JobCancelled,
	scheduler.DecisionTakenOver: events.PoolTakenOver,

	scheduler.DecisionBeyondWeight:     events.WorkspaceBeyondWeight,
	scheduler.DecisionWithinWeight:     events.WorkspaceWithinWeight,
	scheduler.DecisionContained:        events.QueueContained,
	scheduler.DecisionContainmentEnded: events.QueueContainmentEnded,
	scheduler.DecisionWorkerEnded:      events.WorkerEnded,
	scheduler.DecisionStartsKept:       events.StartsKept,
	scheduler.DecisionEndsHidden:       events.EndsHidden,
	scheduler.DecisionEndsShown:        events.EndsShown,
	scheduler.DecisionUnrecordedRuns:   events.RunsUnrecorded,
	scheduler.DecisionStartedAgain:     events.TaskStartedAgain,
	scheduler.DecisionEndsForgotten:    events.EndsForgotten,
}

func (o *Owner) logGroup(ctx context.Context, g decisionGroup, all []decision) {
	event, ok := decisionEvents[g.kind]
	if !ok {
		event = events.SchedulerNote
	}
	first := &all[0]
	attrs := o.subjectAttrs(g)
	if !ok {
		attrs = append(attrs, slog.String("kind", g.kind))
	}
	switch {
	case g.kind == scheduler.DecisionCrashed || g.kind == scheduler.DecisionWorkerEnded || g.kind == scheduler.DecisionSealAdopted ||
		g.kind == scheduler.DecisionStartsKept || g.kind == scheduler.DecisionUnrecordedRuns:
		attrs = append(attrs, slog.Int("runs", first.Count))
	case g.kind == scheduler.DecisionEndsHidden:
		attrs = append(attrs, slog.Int("ends", first.Count))
	case g.kind == scheduler.DecisionWithinWeight || g.kind == scheduler.DecisionHeld:
		attrs = append(attrs, slog.Int("count", first.Count))
	case first.Count > 0:
		attrs = append(attrs,
			slog.String("step", strconv.Itoa(g.occurrence)+"."+strconv.Itoa(g.step)), slog.Int("count", first.Count))
	}
	if first.Run != 0 {
		attrs = append(attrs,
			slog.String("step", strconv.Itoa(g.occurrence)+"."+strconv.Itoa(g.step)),
			slog.Int("count", len(all)),
			slog.String("tasks", formatTaskIndexes(all)),
			slog.Int64("run", first.Run))
	}
	attrs = append(attrs, outcomeAttrs(g, all)...)
	events.LogAt(ctx, o.Log, first.at, event, attrs...)
}

// subjectAttrs returns what a group of decisions is about.
func (o *Owner) subjectAttrs(g decisionGroup) []slog.Attr {
	attrs := make([]slog.Attr, 0, 12)
	if g.job != "" {
		attrs = append(attrs, slog.String("job", g.job))
	}
	if g.queue != "" {
		attrs = append(attrs, slog.String("queue", g.queue))
	}
	if g.workspace != "" {
		attrs = append(attrs, slog.String("workspace", g.workspace))
	}
	return append(attrs, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence))
}

// outcomeAttrs returns where and why a group of decisions was made.
func outcomeAttrs(g decisionGroup, all []decision) []slog.Attr {
	first := &all[0]
	var attrs []slog.Attr
	if first.Worker != "" {
		attrs = append(attrs, slog.String("workers", formatWorkers(all)))
	}
	if g.kind == scheduler.DecisionTakenOver {
		attrs = append(attrs, slog.Int("workers", first.Workers), slog.String("unreported", joinLimited(first.Unreported)))
	}
	if g.reason != "" {
		attrs = append(attrs, slog.String("reason", g.reason))
	}
	if first.Attempt > 0 {
		attrs = append(attrs, slog.Int("attempt", first.Attempt))
	}
	if first.Attempts > 0 {
		attrs = append(attrs, slog.Int("attempts_allowed", first.Attempts))
	}
	if first.Crashes > 0 {
		attrs = append(attrs, slog.Int("crashes", first.Crashes), slog.Bool("suspected", first.Suspected))
	}
	if first.Ends > 0 {
		attrs = append(attrs, slog.Int("unrecorded_ends", first.Ends))
	}
	if first.Other > 0 {
		attrs = append(attrs, slog.Int64("started_again", first.Other))
	}
	if first.Born > 0 {
		attrs = append(attrs, slog.Int64("born", first.Born))
	}
	if first.Silence > 0 {
		attrs = append(attrs, slog.Int64("silent_ms", first.Silence.Milliseconds()))
	}
	if first.Unanswered {
		attrs = append(attrs, slog.Bool("unanswered_hold", true))
	}
	if first.LeaseBasis != "" {
		attrs = append(attrs, slog.String("lease", first.LeaseBasis), slog.Int64("answering_ms", first.Answering.Milliseconds()))
	}
	if first.Age > 0 {
		attrs = append(attrs, slog.Int64("age_ms", first.Age.Milliseconds()))
	}
	if first.Wait > 0 {
		attrs = append(attrs, slog.Int64("wait_ms", first.Wait.Milliseconds()))
	}
	return attrs
}

func formatTaskIndexes(all []decision) string {
	var b strings.Builder
	for i := range min(len(all), maxLoggedTasks) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(all[i].Task.Index))
	}
	return b.String() + omittedSuffix(len(all)-maxLoggedTasks)
}

// formatWorkers joins the distinct worker ids in order of first appearance.
func formatWorkers(all []decision) string {
	var names []string
	omitted := 0
	for i := range all {
		switch {
		case slices.Contains(names, all[i].Worker):
		case len(names) < maxLoggedWorkers:
			names = append(names, all[i].Worker)
		default:
			omitted++
		}
	}
	return strings.Join(names, ",") + omittedSuffix(omitted)
}

// omittedSuffix returns the suffix that states the number of omitted entries.
func omittedSuffix(n int) string {
	if n <= 0 {
		return ""
	}
	return fmt.Sprintf(",+%d", n)
}
