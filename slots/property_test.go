package slots

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// seeded returns a deterministic choose function.
func seeded(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}

const (
	// histories is the number of fixed-seed histories of which at least one must show the violation of each faulty
	// variant.
	histories = 1000
	// correctHistories is the number of these histories that the unmodified ledger is run on.
	correctHistories = 300
)

// TestNoSlotIsUsedTwice runs generated histories of loans, lost, duplicated and reordered heartbeats, paused, killed
// and replaced members and changes of owners. No slot may be in use twice, and after recovery every slot must be free.
func TestNoSlotIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, correct)
		assert.Equal(t, s.run(), "")
		s.restore()
		assert.Equal(t, s.unreturned(), "")
	})
}

// TestFaultyVariantsUseASlotTwice runs the fixed histories against variants that lack one safeguard each. Each variant
// must use a slot twice, which shows that the histories exercise the safeguard.
func TestFaultyVariantsUseASlotTwice(t *testing.T) {
	for name, n := range map[string]variant{
		"expiring loans":           expiringLoans,
		"no barrier on acquire":    noBarrierOnAcquire,
		"settled unconfirmed":      settleUnconfirmed,
		"forgotten returns":        forgetReturns,
		"loans of any incarnation": anyIncarnation,
		"heartbeats in any order":  anyOrder,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(histories) {
				if violation := newSimulation(seeded(seed), n).run(); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("the faulty variant passed: no history exercises its missing safeguard")
		})
	}
}

func TestFixedHistories(t *testing.T) {
	for seed := range uint64(correctHistories) {
		s := newSimulation(seeded(seed), correct)
		assert.Equal(t, s.run(), "", "seed %d", seed)
		s.restore()
		assert.Equal(t, s.unreturned(), "", "seed %d", seed)
	}
}
