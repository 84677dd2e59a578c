package boottime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/boottime"
)

func TestClockAdvancesFromTimeOfDay(t *testing.T) {
	before := time.Now()
	c := boottime.New()
	first := c.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := c.Now().Sub(first)
	assert.Assert(t, elapsed >= 20*time.Millisecond, "%s", elapsed)
	assert.Assert(t, first.Sub(before).Abs() < time.Minute)
	assert.Equal(t, first, first.Round(0), "no monotonic reading")
}
