package upkeep_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
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

// run simulates a wave. takeOver replaces the planner by a new one that restores the durable state.
type run struct {
	*sim
	planner   *upkeep.Planner
	durable   map[string]upkeep.Progress
	openMoves []upkeep.MoveOrder
	// answers are the results of orders by the time at which the planner receives them.
	answers map[time.Time][]func()
	// lostMeansRefused makes the planner treat lost answers as refusals.
	lostMeansRefused bool
	finished         time.Time
}

func newRun(s *sim, members, limit int) *run {
	ids := slices.Sorted(maps.Keys(s.hosts))
	s.rand.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	s.wave = upkeep.Wave{Number: 7, Hosts: ids[:members], Within: 26 * time.Second, Cap: limit, Seen: s.now}
	r := &run{sim: s, answers: map[time.Time][]func(){}}
	r.takeOver()
	return r
}

func (r *run) takeOver() {
	cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
	cfg.Moves.Learn = 2 * time.Second
	cfg.Moves.WorkWorth = 10 // hosts of the simulator are small
	r.planner = upkeep.New(cfg, r.now)
	r.planner.Restore(r.now, 7, r.durable)
	r.planner.RestoreMoves(r.now, r.openMoves)
	r.answers = map[time.Time][]func(){}
}

func (r *run) step() {
	r.advance()
	for at, list := range r.answers {
		if at.After(r.now) {
			continue
		}
		for _, f := range list {
			f()
		}
		delete(r.answers, at)
	}
	in := upkeep.Input{Hosts: r.list(), HostsAt: r.now, Waves: []upkeep.Wave{r.wave}, Pools: r.loads()}
	out := r.planner.Step(r.now.Add(time.Millisecond), in)
	r.evacuate = out.Evacuate
	r.durable = r.planner.Progress(7)
	r.openMoves = r.planner.OpenMoves()
	for _, o := range out.Upkeeps {
		result := r.order(func() upkeep.Result { return r.upkeep(o) })
		if r.lostMeansRefused && result == upkeep.Unknown {
			result = upkeep.Refused
		}
		at := r.now.Add(time.Duration(r.rand.IntN(200)) * time.Millisecond)
		r.answers[at] = append(r.answers[at], func() { r.planner.UpkeepResult(r.now, o, result) })
	}
	for _, o := range out.Moves {
		r.planner.MoveResult(r.now, o, r.order(func() upkeep.Result { return r.move(o) }))
	}
	if len(out.Completed) > 0 && r.finished.IsZero() {
		r.finished = r.now
		r.checkCompleted()
	}
}

func (r *run) checkCompleted() {
	for _, id := range r.wave.Hosts {
		if m := r.hosts[id]; m != nil && !m.done[7] {
			r.violations = append(r.violations, "wave completed without upkeep of "+id)
		}
	}
}

func TestWaveWithoutFaultsIsInTimeAndKillsNoTask(t *testing.T) {
	r := newRun(newSim(3, 9, 4, fault{}), 24, 3)
	for r.finished.IsZero() && r.now.Sub(r.wave.Seen) < time.Minute {
		r.step()
	}
	assert.DeepEqual(t, r.violations, []string(nil))
	assert.Equal(t, r.killed, 0)
	assert.Assert(t, !r.finished.IsZero() && r.finished.Sub(r.wave.Seen) <= r.wave.Within, "took %s", r.finished.Sub(r.wave.Seen))
}

// Pattern: upkeep of two hosts in five during the turns of a large fleet. Many hosts have persistent tasks, of many steps that
// each allow one stop at a time, so that a pool can evacuate several of them at once. The wave leaves no host, kills no task
// and keeps its cap.
func TestWaveOfALargeFleetLeavesNoHost(t *testing.T) {
	for _, perPool := range []int{11, 54, 138} {
		s := newSim(4, perPool, 4, fault{})
		s.persistentInterval = 700 * time.Millisecond * 8 / time.Duration(perPool)
		count := len(s.hosts)
		r := newRun(s, count*44/100, max(3, count*18/100))
		for r.finished.IsZero() && r.now.Sub(r.wave.Seen) < time.Minute {
			r.step()
		}
		assert.DeepEqual(t, r.violations, []string(nil))
		assert.Equal(t, r.killed, 0)
		took := r.finished.Sub(r.wave.Seen)
		assert.Assert(t, !r.finished.IsZero() && took <= r.wave.Within, "%d hosts: took %s", count, took)
		t.Logf("%d hosts: %s", count, took)
	}
}

func TestFaultsAndTakeoversRespectTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fault{
			refused: rapid.Float64Range(0, 0.3).Draw(t, "refused"),
			lost:    rapid.Float64Range(0, 0.3).Draw(t, "lost"),
			late:    rapid.Float64Range(0, 0.3).Draw(t, "late"),
		}
		s := newSim(rapid.Uint64().Draw(t, "seed"), 5, 3, f)
		r := newRun(s, rapid.IntRange(1, 17).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "cap"))
		takeOvers := rapid.SliceOfN(rapid.IntRange(10, 400), 0, 3).Draw(t, "takeovers")
		leaves := rapid.IntRange(0, 300).Draw(t, "leaves")
		for n := 0; r.finished.IsZero() && n < 3000; n++ {
			if slices.Contains(takeOvers, n) {
				r.takeOver()
			}
			if n == leaves {
				delete(r.hosts, r.wave.Hosts[0])
			}
			r.step()
		}
		if len(r.violations) > 0 {
			t.Fatalf("violations: %v", r.violations)
		}
		if r.killed > 0 {
			t.Fatalf("%d tasks killed", r.killed)
		}
		if r.finished.IsZero() {
			t.Fatalf("not completed after %s", r.now.Sub(r.wave.Seen))
		}
	})
}

// A planner that treats a lost answer as a refusal violates the cap, and the simulation detects this.
func TestCheckerDetectsLostAnswersTakenForRefusals(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		r := newRun(newSim(seed, 5, 3, fault{lost: 0.2, late: 0.3}), 15, 1)
		r.lostMeansRefused = true
		for n := 0; r.finished.IsZero() && n < 1500; n++ {
			r.step()
		}
		if len(r.violations) > 0 {
			detected++
		}
	}
	assert.Assert(t, detected > 0)
}

// A pool whose owner has never answered must not disturb the plans of other pools.
func TestPoolWithoutStatusGetsNoMoves(t *testing.T) {
	s := newSim(1, 4, 2, fault{})
	r := newRun(s, 4, 1)
	for range 200 {
		s.advance()
		pools := s.loads()
		pools["pool0"] = upkeep.PoolLoad{}
		in := upkeep.Input{Hosts: s.list(), HostsAt: s.now, Pools: pools}
		out := r.planner.Step(s.now.Add(time.Millisecond), in)
		for _, o := range out.Moves {
			assert.Assert(t, s.hosts[o.Host].Pool != "pool0", "%v", o)
			r.planner.MoveResult(s.now, o, upkeep.Unknown)
		}
	}
}
