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
	// maxLineBytes bounds a line that is read, maxContext the lines kept that name no job.
	maxLineBytes = 64 << 10
	maxContext   = 200_000
	// before is how long before the job's first line its surroundings are shown, after how long after its last.
	before = 5 * time.Second
	after  = time.Second
)

// Join reads log lines and returns those that tell about the job, in the order of their times: its own, and during its
// life those of its pool, of the workers it ran on and of the entry hosts that answered for it. Lines of the same time,
// which logs may round to a millisecond, keep the order in which they were read.
func Join(logs io.Reader, job string) ([]Line, error) {
	own, others, err := read(logs, job)
	if err != nil || len(own) == 0 {
		return own, err
	}
	near := surroundings(own)
	out := append(own, near.standing(others)...)
	out = append(out, lo.Filter(others, func(l Line, _ int) bool { return near.during(&l) && near.concerns(&l) })...)
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
			if len(others) < maxContext {
				others = append(others, l)
			}
		}
	}
	return own, others, scanner.Err()
}

// near is what belongs to the surroundings of a job.
type near struct {
	from, to time.Time
	pools    map[string]bool
	workers  map[string]bool
	hosts    map[string]bool
}

func surroundings(own []Line) near {
	n := near{pools: map[string]bool{}, workers: map[string]bool{}, hosts: map[string]bool{}}
	for i := range own {
		l := &own[i]
		if n.from.IsZero() || l.Time.Before(n.from) {
			n.from = l.Time
		}
		if l.Time.After(n.to) {
			n.to = l.Time
		}
		n.pools[l.Get("pool")] = true
		n.hosts[l.Host] = true
		n.workers[l.Get("worker")] = true
		for _, w := range strings.Split(l.Get("workers"), ",") {
			n.workers[w] = true
		}
	}
	delete(n.pools, "")
	delete(n.workers, "")
	n.from, n.to = n.from.Add(-before), n.to.Add(after)
	return n
}

// ofHost are the events that concern all that an entry host does.
var ofHost = map[int]bool{
	events.Started.Number: true, events.Stopping.Number: true, events.Stopped.Number: true,
	events.PauseDetected.Number: true, events.Ready.Number: true, events.Unready.Number: true,
	events.StoreUnreachable.Number: true, events.StoreBack.Number: true,
	events.ConfigInForce.Number: true, events.ConfigRefused.Number: true,
	events.StoredByPeers.Number: true, events.StoredAgain.Number: true,
	events.LeaseGranted.Number: true, events.LeaseLost.Number: true,
	events.LinesLeftOut.Number: true,
}

// isStanding are the events that hold until the next one of the kind: the last one before the job is shown too.
var isStanding = map[int]bool{
	events.PoolGained.Number: true, events.RecordsLoaded.Number: true, events.WorkersChanged.Number: true,
	events.ConfigInForce.Number: true, events.LeaseGranted.Number: true, events.StoreUnreachable.Number: true,
	events.WorkerSuspect.Number: true,
}

// standing returns what held when the job's surroundings begin.
func (n near) standing(lines []Line) []Line {
	type subject struct {
		event              int
		host, pool, worker string
	}
	last := map[subject]Line{}
	for i := range lines {
		l := &lines[i]
		if !isStanding[l.Event] || !l.Time.Before(n.from) || !n.concerns(l) {
			continue
		}
		s := subject{event: l.Event, pool: l.Get("pool"), worker: l.Get("worker") + l.Get("workers")}
		if l.Event == events.WorkersChanged.Number {
			s.worker = "" // there it is a count
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

func (n near) during(l *Line) bool { return !l.Time.Before(n.from) && !l.Time.After(n.to) }

func (n near) concerns(l *Line) bool {
	worker := l.Get("worker") + l.Get("workers")
	switch {
	case ofHost[l.Event]:
		return n.hosts[l.Host]
	case l.Event == events.WorkersChanged.Number:
		return n.pools[l.Get("pool")]
	case worker != "":
		return n.workers[worker]
	default:
		return n.pools[l.Get("pool")]
	}
}
