package proofs

import (
	"context"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/callers"
)

// loadConfig returns the configuration of a load on the given entry hosts.
func (c *cluster) loadConfig(duration time.Duration, numbers ...int) callers.Config {
	config := callers.Default()
	config.Targets = lo.Map(numbers, func(n int, _ int) callers.Target {
		return callers.Target{Address: c.entries[n].at(7000), Weight: 1}
	})
	config.Services = []callers.Service{{Name: "left", Rate: 60}, {Name: "right", Rate: 60}}
	config.Teams = []string{"orders"}
	config.Duration = duration
	config.BurstLength = 2 * time.Second
	config.SessionLength = 2 * time.Second
	config.RepeatShare = 0.5
	config.Timeout = 5 * time.Second
	return config
}

// startLoad runs a load in the background; the returned function waits for its report.
func (c *cluster) startLoad(config callers.Config) func() callers.ServiceReport {
	done := make(chan callers.ServiceReport, 1)
	go func() {
		report, err := callers.Run(context.Background(), config)
		if err != nil {
			c.t.Error(err)
		}
		done <- total(report)
	}()
	return func() callers.ServiceReport { return <-done }
}

func total(report callers.Report) callers.ServiceReport {
	return lo.Reduce(report.Services, func(sum callers.ServiceReport, s callers.ServiceReport, _ int) callers.ServiceReport {
		sum.Sent += s.Sent
		sum.Whole += s.Whole
		sum.Wrong += s.Wrong
		sum.NotRun += s.NotRun
		sum.Unknown += s.Unknown
		sum.Cut += s.Cut
		sum.NoAnswer += s.NoAnswer
		return sum
	}, callers.ServiceReport{})
}

// checkGuarantees compares the reports of callers and workers with the guarantees; moves is the maximum number of pool changes.
func (c *cluster) checkGuarantees(report callers.ServiceReport, moves int) {
	c.t.Helper()
	counts := c.workers.Counts()
	c.t.Logf("callers: %+v", report)
	c.t.Logf("workers: requests %d ran %d cut %d duplicated %v overlaps %v switches %v",
		counts.Requests, counts.Ran, counts.Cut, counts.Doubled, counts.PoolOverlaps, counts.PoolSwitches)
	assert.Assert(c.t, report.Whole > 0, "no request got a complete answer")
	assert.Equal(c.t, report.Wrong, 0)
	assert.Equal(c.t, counts.Cut, 0)
	assert.Equal(c.t, len(counts.Doubled), 0)
	assert.Equal(c.t, lo.Sum(lo.Values(counts.PoolOverlaps)), 0)
	assert.Assert(c.t, lo.Sum(lo.Values(counts.PoolSwitches)) <= moves)
	for _, h := range c.config.GetHosts() {
		assert.Assert(c.t, int64(counts.MaxConcurrent[h.GetName()]) <= h.GetSlots(), h.GetName())
	}
}
