package slots

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// seeded returns a chooser that repeats itself for a seed.
func seeded(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}

const (
	// histories is the number of fixed-seed histories that must show a naive version's fault.
	histories = 1000
	// correctHistories is the number of the same ones that the ledger is run on.
	correctHistories = 300
)

// TestNoSlotIsUsedTwice runs generated histories of loans, lost, doubled and reordered heartbeats, frozen, killed and
// replaced members and changes of owners. No slot may be in use twice, and once the faults end every slot is free again.
func TestNoSlotIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, correct)
		assert.Equal(t, w.run(), "")
		w.heal()
		assert.Equal(t, w.stuck(), "")
	})
}

// TestNaiveVersionsUseASlotTwice runs the same fixed histories against versions that lack one safeguard each, which all
// fail, and against the ledger, which doesn't.
func TestNaiveVersionsUseASlotTwice(t *testing.T) {
	for name, n := range map[string]naive{
		"expiring loans":           expiringLoans,
		"no wait for acquired":     noBarrierOnAcquire,
		"settled without hearing":  settleUnheard,
		"forgotten returns":        forgetReturns,
		"loans of any incarnation": anyIncarnation,
		"heartbeats in any order":  anyOrder,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(histories) {
				if fault := newWorld(seeded(seed), n).run(); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("the naive version passed; the histories don't reach its fault")
		})
	}
}

func TestFixedHistories(t *testing.T) {
	for seed := range uint64(correctHistories) {
		w := newWorld(seeded(seed), correct)
		assert.Equal(t, w.run(), "", "seed %d", seed)
		w.heal()
		assert.Equal(t, w.stuck(), "", "seed %d", seed)
	}
}
