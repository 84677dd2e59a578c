package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	m.Run()
}

var start = time.Unix(1_800_000_000, 0)

func newRouter(options Options) *Router { return New(options, rand.New(rand.NewPCG(1, 1))) }

func candidate(host string, free int) Candidate { return Candidate{Host: host, Slots: 8, Free: free} }

func (r *Router) fail(host string, digests ...uint64) {
	for _, digest := range digests {
		r.Observe(start, Observation{Host: host, Service: "s", JobDigest: digest, Result: Failed})
	}
}

func (r *Router) succeed(host string, digests ...uint64) {
	for _, digest := range digests {
		r.Observe(start, Observation{Host: host, Service: "s", JobDigest: digest, RunTime: time.Second})
	}
}

// TestPickInvariants checks Pick on generated pools, histories and requests.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRouter(Options{})
		now := start
		var pool []Candidate
		for i := range rapid.IntRange(1, 10).Draw(rt, "hosts") {
			c := candidate(fmt.Sprint("w", i), rapid.IntRange(0, 8).Draw(rt, "free"))
			if rapid.Bool().Draw(rt, "planned") {
				c.DueForMaintenance = start.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "due")) * time.Minute)
			}
			pool = append(pool, c)
		}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			request := Request{Service: "s", Class: Class(rapid.IntRange(0, 1).Draw(rt, "class")), ExpectedRun: time.Second}
			host, ok := r.Pick(now, request, pool)
			usable := 0
			for _, c := range pool {
				may := r.usable(now, request, &c)
				assert.Assert(rt, c.Host != host || may, "%s may not take it", host)
				if may {
					usable++
				}
			}
			ejected := r.ejectedOf(pool)
			assert.Assert(rt, len(ejected) <= max(1, int(DefaultMaxEjected*float64(len(pool)))))
			assert.Assert(rt, ok || usable <= len(ejected), "a usable host was not used")
			if ok {
				r.Observe(now, Observation{
					Host: host, Service: "s", JobDigest: rapid.Uint64Range(0, 9).Draw(rt, "job"),
					Result: Result(rapid.IntRange(0, 3).Draw(rt, "result")),
				})
			}
		}
	})
}

func TestOwnDataCentreFirstUntilLoaded(t *testing.T) {
	r := newRouter(Options{DataCentre: "a"})
	for free, want := range map[int]string{8: "near", 3: "near", 2: "far", 0: "far"} {
		near, far := candidate("near", free), candidate("far", 4)
		near.DataCentre, far.DataCentre = "a", "b"
		host, _ := r.Pick(start, Request{}, []Candidate{near, far})
		assert.Equal(t, host, want, "%d free", free)
	}
	near, far := candidate("near", 2), candidate("far", 3)
	near.DataCentre, far.DataCentre = "a", "b"
	host, _ := r.Pick(start, Request{}, []Candidate{near, far})
	assert.Equal(t, host, "near", "the remote host is not sufficiently less loaded")
}

func TestJobThatFailsEverywhereIsPoison(t *testing.T) {
	r := newRouter(Options{})
	for _, host := range []string{"w1", "w2", "w3"} {
		assert.Assert(t, !r.IsPoison(start, 9))
		r.succeed(host, 1, 2, 3)
		r.fail(host, 9, 9, 9)
	}
	assert.Assert(t, r.IsPoison(start, 9))
	assert.Assert(t, !r.IsPoison(start, 1))
	later := start.Add(poisonInitialWait)
	assert.Assert(t, !r.IsPoison(later, 9), "the cause of its failures may have been fixed")
	r.Observe(later, Observation{Host: "w1", JobDigest: 9, Result: Failed})
	assert.Assert(t, r.IsPoison(later.Add(2*poisonInitialWait-1), 9))
	assert.Assert(t, !r.IsPoison(later.Add(2*poisonInitialWait), 9))
	r.succeed("w4", 9)
	assert.Assert(t, !r.IsPoison(start, 9))
}

// TestJobsAreNotBlamedForFailingHosts runs jobs on three hosts that fail all jobs. The jobs must not count as poison
// jobs.
func TestJobsAreNotBlamedForFailingHosts(t *testing.T) {
	r := newRouter(Options{})
	for _, host := range []string{"w4", "w5", "w6", "w7"} {
		r.succeed(host, 10, 11, 12)
	}
	for _, host := range []string{"w1", "w2", "w3"} {
		r.fail(host, 1, 2, 3, 4, 5)
		assert.Assert(t, r.hosts[host].ejected)
	}
	assert.Assert(t, !r.IsPoison(start, 1))
}

func TestProbeReturnsTheHost(t *testing.T) {
	r := newRouter(Options{})
	pool := []Candidate{candidate("w1", 8), candidate("w2", 1)}
	r.fail("w1", 1, 2, 3)
	pick := func(after time.Duration, request Request) string {
		host, _ := r.Pick(start.Add(after), request, pool)
		return host
	}
	assert.Equal(t, pick(DefaultProbeAfter-1, Request{Idempotent: true}), "w2")
	assert.Equal(t, pick(DefaultProbeAfter, Request{Idempotent: true, Class: Session}), "w2")
	assert.Equal(t, pick(DefaultProbeAfter, Request{}), "w2")
	assert.Equal(t, pick(DefaultProbeAfter, Request{Idempotent: true}), "w1")
	assert.Equal(t, pick(DefaultProbeAfter, Request{Idempotent: true}), "w2", "one probe at a time")
	r.Observe(start.Add(DefaultProbeAfter), Observation{Host: "w1", JobDigest: 4, Result: Unreachable})
	assert.Equal(t, pick(3*DefaultProbeAfter-1, Request{Idempotent: true}), "w2")
	assert.Equal(t, pick(3*DefaultProbeAfter, Request{Idempotent: true}), "w1")
	r.succeed("w1", 4)
	assert.Equal(t, pick(3*DefaultProbeAfter, Request{}), "w1")
}

func TestPeersEvidence(t *testing.T) {
	r := newRouter(Options{})
	r.Merge("e2", []*pb.HostHealth{{Host: "w1", Failed: 9, Ejected: true}})
	r.succeed("w2", 1)
	assert.Assert(t, !r.Health()[0].GetEjected())
	r.fail("w1", 7)
	assert.Assert(t, r.Health()[0].GetEjected(), "one failure seen by this router must suffice")
	assert.Assert(t, !r.Health()[1].GetEjected())
}

func TestLearnedRunTimes(t *testing.T) {
	r := newRouter(Options{})
	declared := 100 * time.Millisecond
	assert.Equal(t, r.RunTime("s", "w1", declared), declared)
	for i := range uint64(200) {
		r.succeed("w1", i)
	}
	assert.Assert(t, r.RunTime("s", "w1", declared) > 950*time.Millisecond)
	assert.Assert(t, r.RunTime("s", "w2", declared) > 950*time.Millisecond, "must come from the service's mean")
	r.Observe(start, Observation{Host: "w1", Service: "s", JobDigest: 1, RunTime: time.Hour})
	assert.Assert(t, r.RunTime("s", "w1", declared) < 1200*time.Millisecond, "the effect of one outlier must be bounded")
}

func TestRetryBudget(t *testing.T) {
	r := newRouter(Options{})
	allowed := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Pick(now, Request{Service: "s"}, nil)
		if r.AllowRetry(now, "s") {
			allowed++
		}
	}
	// One retry per ten requests, and one per second.
	assert.Assert(t, allowed <= 1000+10+1, "%d", allowed)
	assert.Assert(t, allowed >= 1000, "%d", allowed)
}
