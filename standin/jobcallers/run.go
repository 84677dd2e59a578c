package jobcallers

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateturn/agateturn/standin/jobplatform"
)

// Report counts the jobs by their outcomes, as the callers saw them.
type Report struct {
	Accepted, Refused, Undecided       int
	Completed, Cancelled, Failed, Open int
	CancelsAsked, CancelsAcknowledged  int
	Persistent, PersistentAtWork       int
	NonePending                        time.Duration
	// UnknownKeys counts the requests with an unknown key that were answered, UnknownKeysServed those that were not rejected.
	UnknownKeys, UnknownKeysServed       int
	MedianToCompleted, LongestToComplete time.Duration
}

// pendingLimit is the time after the end of the last job within which each entry host must report that no job is pending.
const pendingLimit = 10 * time.Second

// load is one run of a plan.
type load struct {
	c       *caller
	history *jobplatform.History

	mu    sync.Mutex
	r     Report
	times []time.Duration
}

// Run runs a load and returns once all jobs have ended, or the duration and the drain are over. Persistent jobs are
// checked after all others have ended, and are then cancelled.
func Run(ctx context.Context, o Options, history *jobplatform.History) Report {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+o.Drain)
	defer cancel()
	l := &load{c: newCaller(o.Entries), history: history}
	defer l.c.client.CloseIdleConnections()
	jobs := plan(o)
	for i := range jobs {
		history.Add(jobs[i].job)
	}
	start := time.Now()
	var batches, persistent sync.WaitGroup
	ended := make(chan struct{})
	for i := range jobs {
		p := &jobs[i]
		if p.job.Steps[0].Persistent {
			persistent.Go(func() { l.persistent(ctx, p, ended) })
			continue
		}
		batches.Go(func() { l.batch(ctx, p, start) })
	}
	strangers, stopStrangers := context.WithCancel(ctx)
	if len(o.Workspaces) > 0 {
		persistent.Go(func() { l.sendUnknownKeys(strangers, jobs) })
	}
	batches.Wait()
	stopStrangers()
	l.checkPending(ctx, o)
	close(ended)
	persistent.Wait()
	l.sum()
	return l.r
}

// checkPending checks that each entry host reports within pendingLimit that no job is pending, since all have ended.
func (l *load) checkPending(ctx context.Context, o Options) {
	ctx, cancel := context.WithTimeout(ctx, pendingLimit)
	defer cancel()
	key := ""
	if len(o.Workspaces) > 0 {
		key = o.Workspaces[0].Key
	}
	for _, q := range o.Queues {
		elapsed, ok := l.c.awaitNonePending(ctx, q, key)
		if !ok {
			l.history.ReportViolation("queue %s: after %v an entry host does not report that no job is pending", q.Name, pendingLimit)
		}
		l.r.NonePending = max(l.r.NonePending, elapsed)
	}
}

func (l *load) count(add func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.r)
}

// batch submits one batch job and follows it to its end.
func (l *load) batch(ctx context.Context, p *planned, start time.Time) {
	if wait := p.at - time.Since(start); wait > 0 && !pause(ctx, wait) {
		return
	}
	submittedAt := time.Now()
	if !l.submit(ctx, p) {
		return
	}
	if p.cancelAfter > 0 && pause(ctx, p.cancelAfter) {
		l.cancel(ctx, p)
	}
	state := l.follow(ctx, p)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case "completed":
		l.r.Completed++
		l.times = append(l.times, time.Since(submittedAt))
	case "cancelled":
		l.r.Cancelled++
	case "failed":
		l.r.Failed++
	default:
		l.r.Open++
	}
}

// submit submits a job and reports whether it is accepted.
func (l *load) submit(ctx context.Context, p *planned) bool {
	result := l.c.submit(ctx, p, l.history)
	switch result {
	case accepted:
		l.count(func(r *Report) { r.Accepted++ })
	case refused:
		l.history.Refused(p.job.ID)
		l.count(func(r *Report) { r.Refused++ })
	case undecided:
		l.count(func(r *Report) { r.Undecided++ })
	}
	return result == accepted
}

func (l *load) cancel(ctx context.Context, p *planned) {
	l.count(func(r *Report) { r.CancelsAsked++ })
	l.history.CancelAsked(p.job.ID)
	if l.c.cancel(ctx, p) {
		l.history.Cancelled(p.job.ID)
		l.count(func(r *Report) { r.CancelsAcknowledged++ })
	}
}

// follow polls the state until it is final or ctx ends. It checks the final state and returns it, or "" if ctx has ended.
func (l *load) follow(ctx context.Context, p *planned) string {
	for {
		switch state := l.c.state(ctx, p, l.history); state {
		case "completed":
			l.history.Completed(p.job.ID)
			return state
		case "cancelled", "failed":
			if state == "failed" || p.cancelAfter == 0 {
				l.history.ReportViolation("job %s is reported as %s without cause", p.job.ID, state)
			}
			l.awaitStopped(ctx, p)
			return state
		}
		if !pause(ctx, pollInterval) {
			return ""
		}
	}
}

// awaitStopped waits until no task of an ended job is running.
func (l *load) awaitStopped(ctx context.Context, p *planned) {
	for l.history.Running(p.job.ID) > 0 {
		if !pause(ctx, pollInterval) {
			l.history.ReportViolation("job %s has ended but its tasks are still running", p.job.ID)
			return
		}
	}
}

// persistent submits a persistent job. After the other jobs have ended it checks that all tasks of the job are running,
// cancels it and waits until it has stopped.
func (l *load) persistent(ctx context.Context, p *planned, ended <-chan struct{}) {
	if !l.submit(ctx, p) {
		return
	}
	<-ended
	l.count(func(r *Report) { r.Persistent += p.job.Steps[0].Count })
	for l.history.Running(p.job.ID) < p.job.Steps[0].Count && pause(ctx, pollInterval) {
	}
	running := l.history.Running(p.job.ID)
	l.count(func(r *Report) { r.PersistentAtWork += running })
	p.cancelAfter = time.Millisecond
	l.cancel(ctx, p)
	if state := l.follow(ctx, p); state == "cancelled" {
		l.count(func(r *Report) { r.Cancelled++ })
	}
}

func (l *load) sum() {
	slices.Sort(l.times)
	if n := len(l.times); n > 0 {
		l.r.MedianToCompleted, l.r.LongestToComplete = l.times[n/2], l.times[n-1]
	}
}

// Held reports whether all guarantees to callers were kept: each accepted job has ended as it should.
func (r Report) Held() bool {
	return r.Accepted > 0 && r.Open == 0 && r.Failed == 0 && r.Accepted == r.Completed+r.Cancelled &&
		r.CancelsAcknowledged == r.CancelsAsked && r.PersistentAtWork == r.Persistent && r.UnknownKeysServed == 0
}

// String returns the report as a table of text.
func (r Report) String() string {
	var b strings.Builder
	row := func(name, format string, values ...any) {
		fmt.Fprintf(&b, "%-34s %s\n", name, fmt.Sprintf(format, values...))
	}
	row("jobs accepted", "%d (%d refused, %d undecided)", r.Accepted, r.Refused, r.Undecided)
	row("completed", "%d", r.Completed)
	row("requests with unknown keys", "%d, of which %d served", r.UnknownKeys, r.UnknownKeysServed)
	row("cancelled", "%d (%d of %d cancellations acknowledged)", r.Cancelled, r.CancelsAcknowledged, r.CancelsAsked)
	row("failed, still open", "%d, %d", r.Failed, r.Open)
	row("persistent tasks at work", "%d of %d", r.PersistentAtWork, r.Persistent)
	row("time to completed", "median %v, longest %v", r.MedianToCompleted.Round(time.Millisecond), r.LongestToComplete.Round(time.Millisecond))
	row("all hosts tell that none waits", "after %v", r.NonePending.Round(time.Millisecond))
	return b.String()
}
