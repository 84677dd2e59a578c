package admission_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	tick        = 20 * time.Millisecond
	poolSlots   = 4
	urgentStart = 200 * time.Millisecond
	quota       = 3
)

var teams = []string{"a", "b", "c"}

// scheduler is the system under simulation: the Queue or the FIFO baseline.
type scheduler interface {
	Offer(now time.Time, r admission.Request) admission.Decision
	Next(now time.Time, pool string, slots int) ([]uint64, []admission.Rejection)
	Cancel(id uint64) bool
	Done(now time.Time, id uint64, took time.Duration, ok bool)
	SetTeamUsage(team string, others int64)
}

func configured() *admission.Queue { return configuredWith(1000) }

func configuredWith(maxQueue int64) *admission.Queue {
	c := &pb.Configuration{}
	for _, s := range []string{"quick", "slow"} {
		c.Services = append(c.Services, &pb.Service{
			Name: s, Pool: "p", Deadline: durationpb.New(time.Second), RunTime: durationpb.New(300 * time.Millisecond),
			MaxQueue: maxQueue, UrgentStart: durationpb.New(urgentStart),
		})
	}
	for i, t := range teams {
		c.Teams = append(c.Teams, &pb.Team{Name: t, Weight: float64(i + 1), Quota: quota})
	}
	q := admission.New(admission.Limits{})
	q.Configure(c)
	return q
}

// fifo is the baseline: one FIFO queue that ignores deadlines and whose head blocks the queue until its team's quota
// allows it to start.
type fifo struct {
	queue   []admission.Request
	running map[uint64]string
	usage   map[string]int64
}

func newFIFO() *fifo { return &fifo{running: map[uint64]string{}, usage: map[string]int64{}} }

func (f *fifo) Offer(_ time.Time, r admission.Request) admission.Decision {
	f.queue = append(f.queue, r)
	return admission.Decision{Queued: true}
}

func (f *fifo) Next(_ time.Time, _ string, slots int) (starts []uint64, _ []admission.Rejection) {
	for ; slots > 0 && len(f.queue) > 0 && f.usage[f.queue[0].Team] < quota; slots-- {
		r := f.queue[0]
		f.queue = f.queue[1:]
		f.running[r.ID] = r.Team
		f.usage[r.Team]++
		starts = append(starts, r.ID)
	}
	return starts, nil
}

func (f *fifo) Cancel(id uint64) bool {
	before := len(f.queue)
	f.queue = slices.DeleteFunc(f.queue, func(r admission.Request) bool { return r.ID == id })
	return len(f.queue) < before
}

func (f *fifo) Done(_ time.Time, id uint64, _ time.Duration, _ bool) {
	f.usage[f.running[id]]--
	delete(f.running, id)
}

func (f *fifo) SetTeamUsage(string, int64) {}

func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxQueue := rapid.SampledFrom([]int64{0, 3, 10, 1000}).Draw(t, "longest queue")
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, configuredWith(maxQueue))
		s.run(200)
		assert.DeepEqual(t, s.violations, map[string]int{})
	})
}

// TestAgainstFIFO runs the same histories on a FIFO queue, which violates the rules and finishes fewer requests before
// their deadlines.
func TestAgainstFIFO(t *testing.T) {
	baselineViolations := map[string]int{}
	for seed := range uint64(20) {
		ours, baseline := newSimulation(seeded(seed), configured()), newSimulation(seeded(seed), newFIFO())
		ours.run(500)
		baseline.run(500)
		assert.DeepEqual(t, ours.violations, map[string]int{})
		assert.Assert(t, ours.inTime > baseline.inTime, "seed %d: %d against %d", seed, ours.inTime, baseline.inTime)
		for f, n := range baseline.violations {
			baselineViolations[f] += n
		}
	}
	for _, f := range []string{
		"started after its deadline", "urgent request started late", "queued after it could no longer be in time",
		"idle slot while a request could start",
	} {
		assert.Assert(t, baselineViolations[f] > 0, "FIFO queue never had violation %q", f)
	}
}

// TestWeightsShareSlots floods the queue with long requests from one team and short ones from a team with twice its
// weight. Slot time must be shared by weight, not by the number or length of the requests.
func TestWeightsShareSlots(t *testing.T) {
	s := newSimulation(seeded(1), configured())
	used := map[string]time.Duration{}
	for range 3000 {
		for range 3 {
			s.offer(admission.Request{Service: "slow", Team: "a", Deadline: s.now.Add(time.Minute)})
			s.offer(admission.Request{Service: "quick", Team: "b", Deadline: s.now.Add(time.Minute)})
		}
		for id := range s.running {
			used[s.requests[id].Team] += tick
		}
		s.step()
	}
	share := used["b"].Seconds() / used["a"].Seconds()
	assert.Assert(t, share > 1.6 && share < 2.4, "twice the weight got %.2f times the slots", share)
}

// TestWrongRunTimeRecovers makes every run too slow for a while. The learned run time then rules out every request, so
// the service must be probed to recover once its runs are fast again.
func TestWrongRunTimeRecovers(t *testing.T) {
	q := configured()
	now := time.Unix(1000, 0)
	started := 0
	for id := uint64(1); id < 400; id++ {
		took := 50 * time.Millisecond
		if id < 50 {
			took = 5 * time.Second
		}
		q.Offer(now, admission.Request{ID: id, Service: "quick", Pool: "p", Team: "a"})
		starts, _ := q.Next(now, "p", 1)
		for _, s := range starts {
			q.Done(now, s, took, true)
			if id >= 200 {
				started++
			}
		}
		now = now.Add(time.Second)
	}
	assert.Assert(t, started > 150, "%d of 200 requests started after runs became fast again", started)
}

// TestUrgentDoesNotStarveNormal checks that normal requests still start during a flood of urgent ones.
func TestUrgentDoesNotStarveNormal(t *testing.T) {
	s := newSimulation(seeded(1), configured())
	normal := 0
	for i := range 1000 {
		s.offer(admission.Request{Service: "quick", Team: teams[i%3], Class: admission.ClassUrgent, Deadline: s.now.Add(time.Second)})
		s.offer(admission.Request{Service: "quick", Team: teams[i%3], Class: admission.ClassUrgent, Deadline: s.now.Add(time.Second)})
		s.offer(admission.Request{Service: "quick", Team: teams[i%3], Deadline: s.now.Add(time.Minute)})
		s.step()
	}
	for id := range s.started {
		if s.requests[id].Class == admission.ClassNormal {
			normal++
		}
	}
	assert.Assert(t, normal > 100, "only %d normal requests started", normal)
	assert.DeepEqual(t, s.violations, map[string]int{})
}

// TestLongSessionDebtIsBounded runs a session of an hour. Without a bound on its debt the team would get no slot until
// the other teams had used as much slot time.
func TestLongSessionDebtIsBounded(t *testing.T) {
	q := configured()
	now := time.Unix(1000, 0)
	q.Offer(now, admission.Request{ID: 1, Service: "slow", Pool: "p", Team: "a"})
	starts, _ := q.Next(now, "p", 1)
	assert.DeepEqual(t, starts, []uint64{1})
	now = now.Add(time.Hour)
	q.Done(now, 1, time.Hour, true)

	s := newSimulation(seeded(1), q)
	s.now, s.lastID = now, 1
	for range 3000 {
		for _, team := range teams {
			for s.queuedOf(team) < 10 {
				s.offer(admission.Request{Service: "quick", Team: team, Deadline: s.now.Add(time.Hour)})
			}
		}
		s.step()
	}
	started := 0
	for id := range s.started {
		if s.requests[id].Team == "a" {
			started++
		}
	}
	assert.Assert(t, started > 0, "the team got no slot for a minute")
}

// TestFullQueueAdmitsOtherTeams fills the queue with requests of one team and checks that requests of another team
// displace them.
func TestFullQueueAdmitsOtherTeams(t *testing.T) {
	q := configured()
	now := time.Unix(1000, 0)
	id := uint64(0)
	offer := func(team string) admission.Decision {
		id++
		r := admission.Request{ID: id, Service: "quick", Pool: "p", Team: team, Deadline: now.Add(time.Hour)}
		return q.Offer(now, r)
	}
	for range 1000 {
		assert.Assert(t, offer("a").Queued)
	}
	assert.Equal(t, offer("a").Reason, admission.ReasonQueueFull)
	for n := range 100 {
		assert.Assert(t, offer("b").Queued, "request %d of a team with nothing queued was rejected", n)
	}
	rejects := q.Expire(now)
	assert.Equal(t, len(rejects), 100)
	for _, r := range rejects {
		assert.Assert(t, r.ID <= 1000 && r.Reason == admission.ReasonQueueFull)
	}
}
