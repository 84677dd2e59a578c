package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/agateturn/agateturn/standin/jobscenario"
)

// jobsCommand plays a platform that runs jobs and its callers, and compares what both saw.
type jobsCommand struct {
	Listen    string        `default:"127.0.2.100:18500" help:"Listener of the store and the machines' interface, ip:port; loopback only."`
	Network   string        `default:"127.0.2" help:"First three bytes of the workers' addresses."`
	Entries   []string      `required:"" help:"Entry hosts' listeners for callers, ip:port."`
	Ready     []string      `required:"" help:"Entry hosts' listeners for readiness checks, ip:port."`
	Duration  time.Duration `default:"20s" help:"How long jobs are handed in."`
	Rate      float64       `default:"5" help:"Jobs a second."`
	Seed      uint64        `default:"1" help:"Seed of the jobs."`
	Crash     bool          `help:"Crash one worker."`
	Silence   time.Duration `help:"How long the store gives no answers."`
	LoseEvery int           `help:"Lose one answer in so many; 0 for none."`
	LateEvery int           `help:"Let workers carry out one order in so many late, without an answer; 0 for none."`
}

var errBroken = errors.New("not every promise was kept")

// Run plays the scenario once.
func (c *jobsCommand) Run(ctx context.Context) error {
	result, err := jobscenario.Run(ctx, jobscenario.Options{
		Address: c.Listen, Network: c.Network, Entries: c.Entries, Ready: c.Ready, Seed: c.Seed, Duration: c.Duration, Rate: c.Rate,
		Faults: jobscenario.Faults{Crash: c.Crash, Silence: c.Silence, LoseEvery: c.LoseEvery, DelayEvery: c.LateEvery},
		Out:    os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Print(result)
	if !result.Held() {
		return errBroken
	}
	return nil
}
