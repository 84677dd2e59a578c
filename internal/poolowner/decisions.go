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
	// decisionGather is how long decisions are collected, so that a step of many tasks is one line.
	decisionGather = 20 * time.Millisecond
	// decisionBatch bounds the decisions of one collection.
	decisionBatch = 4096
	// startsEvery is how often the later starts of steps are written, and laterStarts how many wait for that. The first
	// starts of a step are written at once.
	startsEvery = 2 * time.Second
	laterStarts = 4096
	// namedWorkers bounds the workers, and namedTasks the tasks, named in one line.
	namedWorkers = 8
	namedTasks   = 16
)

// decisionGroup is what one line tells about.
type decisionGroup struct {
	kind             string
	job              string
	occurrence, step int
	reason           string
	// attempt and worker tell lines that are not joined apart.
	attempt int
	worker  string
}

// logDecisions writes a line for the decisions of a kind about a step. A slow reader costs lines, never time: the ring
// drops what does not fit.
func (o *Owner) logDecisions(ctx context.Context) error {
	ticker := time.NewTicker(startsEvery)
	defer ticker.Stop()
	s := &starts{told: make(map[stepKey]bool)}
	for {
		select {
		case <-ctx.Done():
			o.logGroups(ctx, append(s.flush(), o.moreDecisions(nil)...))
			return nil
		case first := <-o.decisions.Items():
			_ = wait.For(ctx, decisionGather)
			o.logGroups(ctx, s.sift(o.moreDecisions(first)))
		case <-ticker.C:
			o.logGroups(ctx, s.flush())
		}
	}
}

// starts holds back the later starts of steps, so that a step whose tasks start one by one is few lines. It is for one
// goroutine.
type starts struct {
	// told are the steps with a line since the last flush.
	told  map[stepKey]bool
	later []decision
}

// decision is a decision with the time of its step.
type decision struct {
	scheduler.Decision
	at time.Time
}

// withTime gives all decisions the time of their step.
func withTime(all []scheduler.Decision, at time.Time) []decision {
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

func keyOf(t *scheduler.TaskID) stepKey {
	return stepKey{job: t.Job, occurrence: t.Occurrence, step: t.Step}
}

// sift returns what is written now. Single successes are not: the step's end tells them.
func (s *starts) sift(all []decision) []decision {
	now := make([]decision, 0, len(all)+len(s.later))
	fresh := make(map[stepKey]bool)
	for i := range all {
		d := &all[i]
		key := keyOf(&d.Task)
		switch {
		case d.Kind == scheduler.DecisionEnded && d.Reason == scheduler.EndSucceeded.String():
			continue
		case d.Kind == decisionStart && s.told[key] && len(s.later) < laterStarts:
			s.later = append(s.later, *d)
			continue
		case d.Kind == decisionStart:
			fresh[key] = true
		default:
			now = s.release(now, d.Task.Job)
		}
		now = append(now, *d)
	}
	maps.Copy(s.told, fresh)
	return now
}

// release adds the starts of a job that were held back: what is told of it next follows from them.
func (s *starts) release(now []decision, job string) []decision {
	if job == "" || len(s.later) == 0 {
		return now
	}
	kept := s.later[:0]
	for _, h := range s.later {
		if h.Task.Job == job {
			now = append(now, h)
			continue
		}
		kept = append(kept, h)
	}
	s.later = kept
	return now
}

// flush returns what was held back.
func (s *starts) flush() []decision {
	out := s.later
	s.later = nil
	clear(s.told)
	return out
}

// moreDecisions adds what waits already.
func (o *Owner) moreDecisions(all []decision) []decision {
	for len(all) < decisionBatch {
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
		o.measure(&d.Decision)
		g := groupOf(&d.Decision)
		if len(groups[g]) == 0 {
			order = append(order, g)
		}
		groups[g] = append(groups[g], d)
	}
	for _, g := range order {
		o.logGroup(ctx, g, groups[g])
	}
}

func groupOf(d *scheduler.Decision) decisionGroup {
	g := decisionGroup{
		kind: d.Kind, job: d.Task.Job, occurrence: d.Task.Occurrence, step: d.Task.Step, reason: d.Reason,
	}
	g.attempt = d.Attempt
	if d.Task.Job == "" {
		g.worker = d.Worker
	}
	return g
}

func (o *Owner) measure(d *scheduler.Decision) {
	if d.Kind == scheduler.DecisionBegun {
		o.Metrics.begun(d.Age)
	}
}

// decisionStart is the scheduler's kind of a start.
const decisionStart = "start"

// decisionEvents are the events by kind of decision; others are events.SchedulerNote.
var decisionEvents = map[string]events.Event{
	decisionStart:               events.TasksStarted,
	"stop":                      events.TasksStopped,
	"lost":                      events.TasksLost,
	"never began":               events.TasksRefused,
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
}

func (o *Owner) logGroup(ctx context.Context, g decisionGroup, all []decision) {
	event, ok := decisionEvents[g.kind]
	if !ok {
		event = events.SchedulerNote
	}
	first := &all[0]
	attrs := make([]slog.Attr, 0, 12)
	if g.job != "" {
		attrs = append(attrs, slog.String("job", g.job))
	}
	attrs = append(attrs, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence))
	if !ok {
		attrs = append(attrs, slog.String("kind", g.kind))
	}
	if first.Count > 0 {
		attrs = append(attrs,
			slog.String("step", strconv.Itoa(g.occurrence)+"."+strconv.Itoa(g.step)), slog.Int("count", first.Count))
	}
	if first.Run != 0 {
		attrs = append(attrs,
			slog.String("step", strconv.Itoa(g.occurrence)+"."+strconv.Itoa(g.step)),
			slog.Int("count", len(all)),
			slog.String("tasks", taskIndexes(all)),
			slog.Int64("run", first.Run))
	}
	if first.Worker != "" {
		attrs = append(attrs, slog.String("workers", workersOf(all)))
	}
	if g.kind == scheduler.DecisionTakenOver {
		attrs = append(attrs, slog.Int("workers", first.Workers))
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
	if first.Age > 0 {
		attrs = append(attrs, slog.Int64("age_ms", first.Age.Milliseconds()))
	}
	events.LogAt(ctx, o.Log, first.at, event, attrs...)
}

func taskIndexes(all []decision) string {
	var b strings.Builder
	for i := range min(len(all), namedTasks) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(all[i].Task.Index))
	}
	return b.String() + andMore(len(all)-namedTasks)
}

// workersOf names the distinct workers in the order in which they come.
func workersOf(all []decision) string {
	var names []string
	more := 0
	for i := range all {
		switch {
		case slices.Contains(names, all[i].Worker):
		case len(names) < namedWorkers:
			names = append(names, all[i].Worker)
		default:
			more++
		}
	}
	return strings.Join(names, ",") + andMore(more)
}

// andMore tells how much is left out.
func andMore(n int) string {
	if n <= 0 {
		return ""
	}
	return fmt.Sprintf(",+%d", n)
}
