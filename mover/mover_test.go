package mover_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("6")
	}
	os.Exit(m.Run())
}

func config() *pb.Configuration {
	cfg := &pb.Configuration{Deployment: &pb.Deployment{SparePool: "registry"}, Weights: &pb.Weights{Moves: 1, RollOut: 1, Buffer: 1}}
	for _, p := range []struct {
		name  string
		hosts int
		min   int64
	}{{"tastings", 6, 5}, {"labelling", 5, 3}, {"registry", 4, 1}} {
		cfg.Pools = append(cfg.Pools, &pb.Pool{Name: p.name, MinHosts: p.min})
		cfg.Services = append(cfg.Services, &pb.Service{Name: p.name, Pool: p.name, Availability: 0.5})
		for i := range p.hosts {
			cfg.Hosts = append(cfg.Hosts, &pb.Host{Name: fmt.Sprintf("%s-%d", p.name, i), Pool: p.name, Slots: 8})
		}
	}
	return cfg
}

func drawLoad(t *rapid.T, name string) mover.PoolLoad {
	n := func(what string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name+what) }
	return mover.PoolLoad{
		Sample: mover.Sample{
			Queued: n("queued", 900), Running: n("running", 40), Idle: n("idle", 40), HostSlots: 8,
			ArrivalsPerSecond: float64(n("arrivals", 200)), RunTime: 500 * time.Millisecond, Deadline: 10 * time.Second,
		},
		OverloadedFor: time.Duration(n("overloaded", 100)) * time.Second, Waited: float64(n("waited", 3000)),
		BurstLength: time.Duration(n("burst", 60)) * time.Second, CalmFor: time.Duration(n("calm", 400)) * time.Second,
	}
}

// For any load and any state of the hosts, the moves of one step respect every pool's budget and min_hosts, take no
// host twice and no busy host. The same input gives the same moves and is not modified.
func TestMovesRespectBudgets(t *testing.T) {
	cfg := config()
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e6, 0)
		f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
		for _, h := range f.Hosts {
			h.Phase = pb.HostPhase(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3, 4}).Draw(t, h.Host))
		}
		in := mover.Input{Fleet: f, Config: cfg, Demand: map[string]mover.PoolLoad{}, RollOut: 2 * time.Second}
		for _, p := range cfg.Pools {
			in.Demand[p.Name] = drawLoad(t, p.Name)
		}
		before := proto.CloneOf(f)
		moves := mover.Step(now, in)
		assert.DeepEqual(t, moves, mover.Step(now, in))
		assert.Assert(t, proto.Equal(before, f))
		total += len(moves)
		for i, m := range moves {
			assert.NilError(t, fleet.NewBudgets(f, cfg, nil).MayMove(m.Host))
			var err error
			f, err = fleet.BeginMove(f, m.Host, m.To, fmt.Sprint("move-", i), now)
			assert.NilError(t, err)
		}
	})
	assert.Assert(t, total > 0)
}

// moveImmediately is a naive policy: a host moves as soon as a pool is short.
func moveImmediately(_ time.Time, in mover.Input) []mover.Move {
	if in.Demand["tastings"].Shortage() > 0 {
		return []mover.Move{{}}
	}
	return nil
}

// countBurstMoves simulates a burst and the calm after it, and counts the moves that the policy makes.
func countBurstMoves(step func(time.Time, mover.Input) []mover.Move, tracker *mover.Tracker, in mover.Input, start time.Time, length time.Duration) int {
	moves := 0
	for at := time.Duration(0); at < length+30*time.Second; at += 500 * time.Millisecond {
		s := mover.Sample{Running: 2, Idle: 46, RunTime: 500 * time.Millisecond, Deadline: 10 * time.Second, HostSlots: 8}
		if at < length {
			s.Running, s.Idle, s.Queued, s.ArrivalsPerSecond = 48, 0, 300, 144
		}
		in.Demand = tracker.Observe(start.Add(at), map[string]mover.Sample{"tastings": s})
		moves += len(step(start.Add(at), in))
	}
	return moves
}

// A burst that ends before a host could arrive moves none; a long one does.
func TestShortBurstsMoveNoHosts(t *testing.T) {
	cfg := config()
	// With these weights the spare pool keeps all its hosts, so only bursts move hosts.
	cfg.Weights.Buffer = 0
	start := time.Unix(1e6, 0)
	in := mover.Input{Fleet: fleet.Reconcile(&pb.Fleet{}, cfg, start), Config: cfg, RollOut: 2 * time.Second}
	in.DrainTime = map[string]time.Duration{"registry": 3 * time.Second}
	tracker := mover.NewTracker()
	naive, waiting := 0, 0
	for range 20 {
		waiting += countBurstMoves(mover.Step, tracker, in, start, 6*time.Second)
		naive += countBurstMoves(moveImmediately, mover.NewTracker(), in, start, 6*time.Second)
		start = start.Add(time.Minute)
	}
	assert.Equal(t, waiting, 0)
	assert.Assert(t, naive > 0)
	// During the first burst of this length a host moves once waiting has cost as much as the move; for later ones the
	// learned length predicts that they end soon.
	tracker = mover.NewTracker()
	assert.Assert(t, countBurstMoves(mover.Step, tracker, in, start, 35*time.Second) > 0)
	for range 5 {
		start = start.Add(2 * time.Minute)
		assert.Equal(t, countBurstMoves(mover.Step, tracker, in, start, 35*time.Second), 0)
	}
	start = start.Add(2 * time.Minute)
	assert.Assert(t, countBurstMoves(mover.Step, tracker, in, start, 3*time.Minute) > 0)
}
