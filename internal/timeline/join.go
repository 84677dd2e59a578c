package timeline

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
)

const (
	// maxLineBytes bounds the length of a line, maxContextLines the number of lines kept that name no job.
	maxLineBytes    = 64 << 10
	maxContextLines = 200_000
	// contextBefore and contextAfter are how long before the job's first line and after its last line context is included.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Join reads log lines and returns those that concern the job, ordered by time: its own, and during its lifetime those of
// its pool, of the workers that it ran on and of the entry hosts that logged it. Lines with the same time, which logs may
// round to a millisecond, keep the order in which they were read.
func Join(logs io.Reader, job string) ([]Line, error) {
	own, others, err := read(logs, job)
	if err != nil || len(own) == 0 {
		return own, err
	}
	related := contextOf(own)
	out := append(own, related.stateAtStart(others)...)
	out = append(out, lo.Filter(others, func(l Line, _ int) bool { return related.during(&l) && related.concerns(&l) })...)
	slices.SortFunc(out, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.position, b.position)) })
	return out, nil
}

func read(logs io.Reader, job string) (own, others []Line, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for position := 0; scanner.Scan(); position++ {
		l, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		l.position = position
		switch l.Get("job") {
		case job:
			own = append(own, l)
		case "":
			if len(others) < maxContextLines {
				others = append(others, l)
			}
		}
	}
	return own, others, scanner.Err()
}

// jobContext is the period around a job, with the pools, workers and entry hosts that its lines name.
type jobContext struct {
	from, to time.Time
	pools    map[string]bool
	workers  map[string]bool
	hosts    map[string]bool
}

func contextOf(own []Line) jobContext {
	c := jobContext{pools: map[string]bool{}, workers: map[string]bool{}, hosts: map[string]bool{}}
	for i := range own {
		l := &own[i]
		if c.from.IsZero() || l.Time.Before(c.from) {
			c.from = l.Time
		}
		if l.Time.After(c.to) {
			c.to = l.Time
		}
		c.pools[l.Get("pool")] = true
		c.hosts[l.Host] = true
		c.workers[l.Get("worker")] = true
		for _, w := range strings.Split(l.Get("workers"), ",") {
			c.workers[w] = true
		}
	}
	delete(c.pools, "")
	delete(c.workers, "")
	c.from, c.to = c.from.Add(-contextBefore), c.to.Add(contextAfter)
	return c
}

// hostEvents are the events that affect all work of an entry host.
var hostEvents = map[int]bool{
	events.Started.Number: true, events.Stopping.Number: true, events.Stopped.Number: true,
	events.PauseDetected.Number: true, events.Ready.Number: true, events.Unready.Number: true,
	events.StoreUnreachable.Number: true, events.StoreBack.Number: true,
	events.ConfigInForce.Number: true, events.ConfigRefused.Number: true,
	events.StoredByPeers.Number: true, events.StoredAgain.Number: true,
	events.LeaseGranted.Number: true, events.LeaseLost.Number: true,
	events.LinesLeftOut.Number: true,
}

// stateEvents are the events whose state lasts until the next event of the same kind. The last one before the job is
// shown too.
var stateEvents = map[int]bool{
	events.PoolGained.Number: true, events.RecordsLoaded.Number: true, events.WorkersChanged.Number: true,
	events.ConfigInForce.Number: true, events.LeaseGranted.Number: true, events.StoreUnreachable.Number: true,
	events.WorkerSuspect.Number: true,
}

// stateAtStart returns the last state events before the job's context begins, one for each subject.
func (c jobContext) stateAtStart(lines []Line) []Line {
	type subject struct {
		event              int
		host, pool, worker string
	}
	last := map[subject]Line{}
	for i := range lines {
		l := &lines[i]
		if !stateEvents[l.Event] || !l.Time.Before(c.from) || !c.concerns(l) {
			continue
		}
		s := subject{event: l.Event, pool: l.Get("pool"), worker: l.Get("worker") + l.Get("workers")}
		if l.Event == events.WorkersChanged.Number {
			s.worker = "" // in this event the field is a count
		}
		if s.pool == "" {
			s.host = l.Host
		}
		if before, ok := last[s]; !ok || l.Time.After(before.Time) {
			last[s] = *l
		}
	}
	return lo.Values(last)
}

func (c jobContext) during(l *Line) bool { return !l.Time.Before(c.from) && !l.Time.After(c.to) }

func (c jobContext) concerns(l *Line) bool {
	worker := l.Get("worker") + l.Get("workers")
	switch {
	case hostEvents[l.Event]:
		return c.hosts[l.Host]
	case l.Event == events.WorkersChanged.Number:
		return c.pools[l.Get("pool")]
	case worker != "":
		return c.workers[worker]
	default:
		return c.pools[l.Get("pool")]
	}
}
