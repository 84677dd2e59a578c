package upkeep_test

import (
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

// waveWatch runs a planner over one wave of one host, with a list every 300 ms that may lack the host.
type waveWatch struct {
	planner *upkeep.Planner
	now     time.Time
	in      upkeep.Input
}

func newWaveWatch() *waveWatch {
	start := time.Unix(1_000_000, 0)
	w := &waveWatch{planner: upkeep.New(upkeep.DefaultConfig(upkeepTime, moveTime), start), now: start}
	w.in.Waves = []upkeep.Wave{{Number: 7, Hosts: []string{"m"}, Within: 26 * time.Second, Cap: 1, Seen: start}}
	w.in.Pools = map[string]upkeep.PoolLoad{"spare": {Spare: true}}
	return w
}

// step steps 300 ms later, with a new list if hosts is not nil.
func (w *waveWatch) step(hosts []upkeep.Host) upkeep.Actions {
	w.now = w.now.Add(300 * time.Millisecond)
	if hosts != nil {
		w.in.Hosts, w.in.HostsAt = hosts, w.now.Add(-time.Millisecond)
	}
	return w.planner.Step(w.now, w.in)
}

func listed() []upkeep.Host { return []upkeep.Host{{ID: "m", Pool: "spare", State: upkeep.Up}} }

func missing() []upkeep.Host { return []upkeep.Host{} }

// Failure: the host service answers for the first time after more than GoneAfter, with a list of which one page misses a host; the
// wave of that host was completed without it.
func TestFirstListOfATermProvesNoAbsence(t *testing.T) {
	w := newWaveWatch()
	for range 12 {
		assert.Equal(t, len(w.step(nil).Completed), 0)
	}
	assert.Equal(t, len(w.step(missing()).Completed), 0)
	assert.DeepEqual(t, w.step(listed()).Upkeeps, []upkeep.Order{{Host: "m", Wave: 7}})
}

// Failure: lists are slow, and one of them misses a host that the others show; its wave was completed without it.
func TestOneListWithoutAHostDoesNotCompleteItsWave(t *testing.T) {
	w := newWaveWatch()
	w.in.Pools = nil // nothing can be ordered
	w.step(listed())
	for range 3 {
		for range 8 {
			w.step(nil)
		}
		assert.Equal(t, len(w.step(missing()).Completed), 0)
		w.step(listed())
	}
}

// Pattern: a wave names a host that never exists, beside one that does.
func TestWaveDoesNotWaitForAHostThatDoesNotExist(t *testing.T) {
	w := newWaveWatch()
	w.in.Waves[0].Hosts = []string{"m", "misspelt"}
	for range 12 {
		out := w.step(listed())
		for _, o := range out.Upkeeps {
			w.planner.UpkeepResult(w.now, o, upkeep.Done)
		}
		if len(out.Completed) > 0 {
			assert.DeepEqual(t, out.Completed, []upkeep.CompletedWave{{Number: 7, Skipped: []string{"misspelt"}}})
			return
		}
	}
	t.Fatal("not completed after 3.6 s")
}

// Failure: a wave gets another host later, which the last list cannot show yet; it was completed without that host.
func TestHostThatAWaveNamesLaterIsLookedFor(t *testing.T) {
	w := newWaveWatch()
	for range 10 {
		for _, o := range w.step(listed()).Upkeeps {
			w.planner.UpkeepResult(w.now, o, upkeep.Done)
		}
	}
	w.in.Waves[0].Hosts = []string{"m", "new"}
	assert.Equal(t, len(w.step(nil).Completed), 0)
	out := w.step(append(listed(), upkeep.Host{ID: "new", Pool: "spare", State: upkeep.Up}))
	assert.DeepEqual(t, out.Upkeeps, []upkeep.Order{{Host: "new", Wave: 7}})
}

// Failure: the host service learns of a wave 1 s later than the planner, and answers until then that a host does not belong to the
// wave; the wave was completed without the host.
func TestHostServiceThatLearnsOfAWaveLaterExcludesNoHost(t *testing.T) {
	w := newWaveWatch()
	begun := false
	for n := range 20 {
		out := w.step(listed())
		for _, o := range out.Upkeeps {
			result := upkeep.Unfit
			if n > 3 {
				result, begun = upkeep.Done, true
			}
			w.planner.UpkeepResult(w.now, o, result)
		}
		assert.Assert(t, begun || len(out.Completed) == 0, "completed in step %d", n)
	}
	assert.Assert(t, begun)
}

// Failure: an order met a busy host between two answers that its host does not belong to the wave; the second one excluded the host,
// although the host service had known of it in the meantime.
func TestAnswersThatAHostDoesNotBelongToAWaveMustAgree(t *testing.T) {
	w := newWaveWatch()
	for n := range 20 {
		out := w.step(listed())
		assert.Equal(t, len(out.Completed), 0, "step %d", n)
		for _, o := range out.Upkeeps {
			result := upkeep.Unfit
			if n%4 > 1 {
				result = upkeep.Busy
			}
			w.planner.UpkeepResult(w.now, o, result)
		}
	}
}

// Pattern: the host service answers for good that a host does not belong to the wave.
func TestHostThatDoesNotBelongToAWaveIsSkipped(t *testing.T) {
	w := newWaveWatch()
	for range 20 {
		out := w.step(listed())
		for _, o := range out.Upkeeps {
			w.planner.UpkeepResult(w.now, o, upkeep.Unfit)
		}
		if len(out.Completed) > 0 {
			return
		}
	}
	t.Fatal("not completed after 6 s")
}
