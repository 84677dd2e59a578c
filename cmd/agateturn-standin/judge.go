package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/standin/workers"
)

// judgeCommand checks what the workers recorded against the guarantees.
type judgeCommand struct {
	Deployment string `required:"" type:"existingfile" help:"Configuration that gives each host's slots."`
	Admin      string `default:"http://127.0.0.1:8600" help:"Admin address of the workers' stand-in."`
	Moves      int    `default:"0" help:"Maximum number of pool changes allowed on all hosts together."`
}

// Run prints the workers' counts and returns an error if a guarantee was violated.
func (c *judgeCommand) Run(ctx context.Context) error {
	cfg, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	counts, err := c.counts(ctx)
	if err != nil {
		return err
	}
	var violations []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	check(counts.Requests > 0, "no request reached a worker")
	check(counts.Dropped == 0, "%d requests were not recorded", counts.Dropped)
	check(counts.Cut == 0, "%d requests were cut by a reboot", counts.Cut)
	check(len(counts.Doubled) == 0, "%d idempotency keys ran more than once", len(counts.Doubled))
	check(sum(counts.PoolOverlaps) == 0, "requests of two pools ran at once: %v", counts.PoolOverlaps)
	check(sum(counts.PoolSwitches) <= c.Moves, "%d pool changes observed, %d moves made", sum(counts.PoolSwitches), c.Moves)
	for _, h := range cfg.GetHosts() {
		observed := counts.MaxConcurrent[h.GetName()]
		check(int64(observed) <= h.GetSlots(), "host %s ran %d requests at once on %d slots", h.GetName(), observed, h.GetSlots())
	}
	_, _ = fmt.Fprintf(os.Stdout, "workers: requests %d, ran %d, complete answers %d, cut by reboots %d, keys run twice %d, pool overlaps %d, maximum concurrency on a host %d\n",
		counts.Requests, counts.Ran, counts.Complete, counts.Cut, len(counts.Doubled), sum(counts.PoolOverlaps), lo.Max(lo.Values(counts.MaxConcurrent)))
	if len(violations) > 0 {
		return fmt.Errorf("guarantees violated:\n  %s", strings.Join(violations, "\n  "))
	}
	return nil
}

func sum(counts map[string]int) int { return lo.Sum(lo.Values(counts)) }

func (c *judgeCommand) counts(ctx context.Context) (workers.Counts, error) {
	var counts workers.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Admin+"/admin/counts", nil)
	if err != nil {
		return counts, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, err
	}
	defer func() { _ = resp.Body.Close() }()
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}
