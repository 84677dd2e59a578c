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

// scheduler is what the judge drives: the queue, or a naive version.
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

// fifo is the naive version: one queue, first come first served, whatever the deadlines; the head waits for its quota.
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

func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxQueue := rapid.SampledFrom([]int64{0, 3, 10, 1000}).Draw(t, "longest queue")
		j := newJudge(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, configuredWith(maxQueue))
		j.run(200)
		assert.DeepEqual(t, j.faults, map[string]int{})
	})
}

// TestAgainstFIFO runs the same histories on a first-come-first-served queue, which breaks the promises and finishes
// fewer requests before their deadlines.
func TestAgainstFIFO(t *testing.T) {
	broken := map[string]int{}
	for seed := range uint64(20) {
		ours, naive := newJudge(seeded(seed), configured()), newJudge(seeded(seed), newFIFO())
		ours.run(500)
		naive.run(500)
		assert.DeepEqual(t, ours.faults, map[string]int{})
		assert.Assert(t, ours.inTime > naive.inTime, "seed %d: %d against %d", seed, ours.inTime, naive.inTime)
		for f, n := range naive.faults {
			broken[f] += n
		}
	}
	for _, f := range []string{
		"started after its deadline", "urgent request started late", "held after it was hopeless", "idle slot beside a queue",
	} {
		assert.Assert(t, broken[f] > 0, "FIFO keeps %q", f)
	}
}

// TestWeightsShareSlots floods the queue with long requests from one team and short ones from a team with twice its
// weight: the time they use slots for goes by weight, not by how many or how long the requests are.
func TestWeightsShareSlots(t *testing.T) {
	j := newJudge(seeded(1), configured())
	used := map[string]time.Duration{}
	for range 3000 {
		for range 3 {
			j.offer(admission.Request{Service: "slow", Team: "a", Deadline: j.now.Add(time.Minute)})
			j.offer(admission.Request{Service: "quick", Team: "b", Deadline: j.now.Add(time.Minute)})
		}
		for id := range j.running {
			used[j.request[id].Team] += tick
		}
		j.step()
	}
	share := used["b"].Seconds() / used["a"].Seconds()
	assert.Assert(t, share > 1.6 && share < 2.4, "twice the weight got %.2f times the slots", share)
}

// TestWrongRunTimeMends: after a time in which every run was too slow, the service is tried again and recovers.
func TestWrongRunTimeMends(t *testing.T) {
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
	assert.Assert(t, started > 150, "%d of 200 requests started after the service got fast again", started)
}

// TestUrgentDoesNotStarveNormal: a flood of urgent requests leaves a part of the starts to normal ones.
func TestUrgentDoesNotStarveNormal(t *testing.T) {
	j := newJudge(seeded(1), configured())
	normal := 0
	for i := range 1000 {
		j.offer(admission.Request{Service: "quick", Team: teams[i%3], Class: admission.ClassUrgent, Deadline: j.now.Add(time.Second)})
		j.offer(admission.Request{Service: "quick", Team: teams[i%3], Class: admission.ClassUrgent, Deadline: j.now.Add(time.Second)})
		j.offer(admission.Request{Service: "quick", Team: teams[i%3], Deadline: j.now.Add(time.Minute)})
		j.step()
	}
	for id := range j.started {
		if j.request[id].Class == admission.ClassNormal {
			normal++
		}
	}
	assert.Assert(t, normal > 100, "%d normal requests got their turn", normal)
	assert.DeepEqual(t, j.faults, map[string]int{})
}

// TestLongSessionDoesNotShutItsTeamOut: a team pays for a session of an hour, but not for as long.
func TestLongSessionDoesNotShutItsTeamOut(t *testing.T) {
	q := configured()
	now := time.Unix(1000, 0)
	q.Offer(now, admission.Request{ID: 1, Service: "slow", Pool: "p", Team: "a"})
	starts, _ := q.Next(now, "p", 1)
	assert.DeepEqual(t, starts, []uint64{1})
	now = now.Add(time.Hour)
	q.Done(now, 1, time.Hour, true)

	j := newJudge(seeded(1), q)
	j.now, j.lastID = now, 1
	for range 3000 {
		for _, team := range teams {
			for j.queuedOf(team) < 10 {
				j.offer(admission.Request{Service: "quick", Team: team, Deadline: j.now.Add(time.Hour)})
			}
		}
		j.step()
	}
	started := 0
	for id := range j.started {
		if j.request[id].Team == "a" {
			started++
		}
	}
	assert.Assert(t, started > 0, "the team got no slot for a minute")
}

// TestFloodLeavesRoomInTheQueue: one team fills the queue, and the others still get in.
func TestFloodLeavesRoomInTheQueue(t *testing.T) {
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
		assert.Assert(t, offer("b").Queued, "request %d of a team with nothing queued was refused", n)
	}
	rejects := q.Expire(now)
	assert.Equal(t, len(rejects), 100)
	for _, r := range rejects {
		assert.Assert(t, r.ID <= 1000 && r.Reason == admission.ReasonQueueFull)
	}
}
