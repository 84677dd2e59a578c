package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/agateturn/agateturn/standin/jobscenario"
)

// jobsCommand simulates a platform that runs jobs, and its callers, and compares what both observed.
type jobsCommand struct {
	Listen    string        `default:"127.0.2.100:18500" help:"Listener of the store and the machines' interface, ip:port; loopback only."`
	Network   string        `default:"127.0.2" help:"First three bytes of the workers' addresses."`
	Entries   []string      `required:"" help:"Entry hosts' listeners for callers, ip:port."`
	Ready     []string      `required:"" help:"Entry hosts' listeners for readiness checks, ip:port."`
	Duration  time.Duration `default:"20s" help:"How long jobs are submitted."`
	Rate      float64       `default:"5" help:"Jobs per second."`
	Seed      uint64        `default:"1" help:"Seed of the jobs."`
	Crash     bool          `help:"Crash one worker."`
	Silence   time.Duration `help:"How long the store does not answer."`
	LoseEvery int           `help:"Lose every N-th answer; 0 for none."`
	LateEvery int           `help:"Let workers execute every N-th order late, without an answer; 0 for none."`
	Pools     []int         `help:"Number of machines of each pool, the spare pool last; the default pools if empty."`
	WaveCap   int           `default:"2" help:"Maximum number of machines that the wave may have down at once."`
	Views     []string      `help:"Other networks through which entry hosts reach every address."`
	Control   string        `help:"Listener for fault injection, ip:port; loopback only."`
	History   string        `help:"File to write each event to."`
	Report    string        `help:"File to write the result to, as JSON."`
}

var errViolated = errors.New("guarantees violated")

// Run runs the scenario once.
func (c *jobsCommand) Run(ctx context.Context) error {
	var history io.Writer
	if c.History != "" {
		file, err := os.Create(c.History)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // lines are written without buffering
		history = file
	}
	queues, pools := jobscenario.SizedPools(c.Pools)
	result, err := jobscenario.Run(ctx, jobscenario.Options{
		Queues: queues, Pools: pools, WaveCap: c.WaveCap, Views: c.Views, Control: c.Control, History: history,
		Address: c.Listen, Network: c.Network, Entries: c.Entries, Ready: c.Ready, Seed: c.Seed, Duration: c.Duration, Rate: c.Rate,
		Faults: jobscenario.Faults{Crash: c.Crash, Silence: c.Silence, LoseEvery: c.LoseEvery, DelayEvery: c.LateEvery},
		Out:    os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Print(result)
	if c.Report != "" {
		if err := writeJSON(c.Report, result); err != nil {
			return err
		}
	}
	if !result.Held() {
		return errViolated
	}
	return nil
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
