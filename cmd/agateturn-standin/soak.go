package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/standin/soak"
)

// soakCommand runs seeded fault plans against real processes.
type soakCommand struct {
	Seeds   string        `default:"1" help:"Seed, or first and last seed, such as 1..50."`
	Minutes float64       `default:"0" help:"Start no further seed after this many minutes; 0 runs all."`
	Mode    []string      `default:"jobs" help:"What entry hosts serve: jobs, requests, cuts (jobs while links are cut or refuse connections), takeovers (jobs on larger pools, while owners end during outages of the store and workers return under their ids), or refusals (takeovers, while the store refuses some entry hosts); several are separated by commas."`
	Hosts   int           `help:"Entry hosts; 3 to 5 if 0."`
	Workers int           `help:"Machines of all pools; about 10 if 0, about 27 in takeovers and refusals."`
	Rate    float64       `help:"Jobs or requests per second; chosen by the seed if 0."`
	Faults  time.Duration `default:"12s" help:"How long faults are injected in a run."`
	Dir     string        `default:"run/soak" help:"Directory for the files that failed runs leave."`
	Daemon  string        `default:"bin/agateturnd" type:"existingfile" help:"Path of the daemon."`
	Network string        `default:"127.70" help:"First two bytes of all addresses."`
	Quiet   bool          `help:"Do not print the plans."`
}

// Run runs the plans one after the other, and returns an error if one of the runs failed.
func (c *soakCommand) Run(ctx context.Context) error {
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.Rate < 0 {
		return fmt.Errorf("rate %v: want 0 or more", c.Rate)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var sum soak.Summary
	startedAt := time.Now()
	for seed := first; seed <= last; seed++ {
		for _, mode := range c.Mode {
			if c.Minutes > 0 && time.Since(startedAt).Minutes() > c.Minutes || ctx.Err() != nil {
				break
			}
			plan := soak.Draw(soak.Mode(mode), seed, soak.Sizes{Hosts: c.Hosts, Workers: c.Workers, Rate: c.Rate, Faults: c.Faults})
			if !c.Quiet {
				fmt.Print(plan)
			}
			outcome, err := soak.Run(ctx, soak.Options{
				Daemon: c.Daemon, Standin: self, Dir: filepath.Join(c.Dir, fmt.Sprintf("%s-%d", mode, seed)), Network: c.Network, Out: os.Stdout,
			}, plan)
			if ctx.Err() != nil {
				break // an interrupted run has no verdict
			}
			if err != nil {
				outcome.Plan, outcome.Unplayed = plan, err.Error()
			}
			fmt.Println(outcome)
			sum.Add(outcome)
		}
	}
	fmt.Print(sum.String())
	if sum.Failed() > 0 {
		return errViolated
	}
	return nil
}

// parseSeeds reads N or N..M.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, ranged := strings.Cut(text, "..")
	if !ranged {
		to = from
	}
	numbers := lo.Map([]string{from, to}, func(s string, _ int) uint64 {
		n, _ := strconv.ParseUint(s, 10, 64)
		return n
	})
	if slices.Contains(numbers, 0) {
		return 0, 0, fmt.Errorf("seeds %q: want N or N..M, from 1", text)
	}
	return numbers[0], numbers[1], nil
}
