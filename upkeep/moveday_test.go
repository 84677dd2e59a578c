package upkeep_test

import (
	"testing"
	"time"

	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

func meanNetValue(t *testing.T, name string, shape func(int, time.Duration) float64, cfg upkeep.Config) float64 {
	const days = 3
	sum := 0.0
	var earnedValue, offeredValue, hostSeconds float64
	moves := 0
	for seed := range uint64(days) {
		d := newDay(seed, shape)
		d.run(cfg)
		assert.Equal(t, d.killed, 0)
		sum += d.netValue()
		earnedValue += d.earnedValue
		offeredValue += d.offeredValue
		hostSeconds += d.hostSeconds
		moves += d.moves
	}
	n := float64(days)
	t.Logf("%-10s net value %.3f benefit %.3f moves %.0f host-seconds %.0f offered value %.0f", name, sum/n, earnedValue/offeredValue, float64(moves)/n, hostSeconds/n, offeredValue/n)
	return sum / n
}

func TestForecastEarnsMoreThanReactingAndThanNoMoves(t *testing.T) {
	cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
	forecast := meanNetValue(t, "forecast", rotatingBursts, cfg)
	cfg.Moves.Foresee = false
	react := meanNetValue(t, "reacting", rotatingBursts, cfg)
	cfg.Moves.Enabled = false
	never := meanNetValue(t, "no moves", rotatingBursts, cfg)
	assert.Assert(t, forecast > react && forecast > never)
}

func TestWaveBesideMovesIsInTime(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed, rotatingBursts)
		d.addWave()
		d.run(upkeep.DefaultConfig(upkeepTime, moveTime))
		assert.Equal(t, d.begun, len(d.wave.Hosts))
		assert.Equal(t, d.killed, 0)
		took := d.waveEnd.Sub(d.wave.Seen)
		t.Logf("seed %d: %d hosts in %s, net value %.3f", seed, d.begun, took, d.netValue())
		assert.Assert(t, took > 0 && took <= d.wave.Within, "took %s", took)
	}
}
