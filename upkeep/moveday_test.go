package upkeep_test

import (
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

func meanWorth(t *testing.T, name string, shape func(int, time.Duration) float64, cfg upkeep.Config) float64 {
	const days = 3
	sum := 0.0
	var earned, owed, seconds float64
	moves := 0
	for seed := range uint64(days) {
		d := newDay(seed, shape)
		d.play(cfg)
		assert.Equal(t, d.killed, 0)
		sum += d.worth()
		earned += d.earned
		owed += d.owed
		seconds += d.seconds
		moves += d.moves
	}
	n := float64(days)
	t.Logf("%-10s worth %.3f benefit %.3f moves %.0f host-seconds %.0f owed %.0f", name, sum/n, earned/owed, float64(moves)/n, seconds/n, owed/n)
	return sum / n
}

func TestForeseeingEarnsMoreThanReactingAndThanNoMoves(t *testing.T) {
	cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
	foresee := meanWorth(t, "foreseeing", inTurns, cfg)
	cfg.Moves.Foresee = false
	react := meanWorth(t, "reacting", inTurns, cfg)
	cfg.Moves.Enabled = false
	never := meanWorth(t, "never", inTurns, cfg)
	assert.Assert(t, foresee > react && foresee > never)
}

func TestWaveBesideMovesIsInTime(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed, inTurns)
		d.addWave()
		d.play(upkeep.DefaultConfig(upkeepTime, moveTime))
		assert.Equal(t, d.begun, len(d.wave.Hosts))
		assert.Equal(t, d.killed, 0)
		took := d.waveEnd.Sub(d.wave.Seen)
		t.Logf("seed %d: %d hosts in %s, worth %.3f", seed, d.begun, took, d.worth())
		assert.Assert(t, took > 0 && took <= d.wave.Within, "took %s", took)
	}
}
