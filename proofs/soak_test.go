package proofs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/soak"
)

// soakFaultTime is the time during which faults are injected in each run.
const soakFaultTime = 12 * time.Second

// TestSoak runs the soak briefly, with seeds that failed before where there is one; covers is the fault that they found, or what the
// mode covers.
func TestSoak(t *testing.T) {
	dir, err := os.MkdirTemp("", "agateturn-soak")
	assert.NilError(t, err)
	standin := filepath.Join(dir, "agateturn-standin")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", standin, "../cmd/agateturn-standin").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, run := range []struct {
		mode   soak.Mode
		seed   uint64
		covers string
	}{
		{soak.Jobs, 3, "a planned stop cut a request before the end of its grace"},
		{soak.Requests, 2, "rejected without Retry-After by entry hosts that had no configuration yet"},
		{soak.Cuts, 2, "refused connections taken for the end of a live worker, whose tasks ran twice"},
		{soak.Takeovers, 8, "owners that end beside a silent store, returned workers, lapsed entries, late orders and holds"},
	} {
		t.Run(string(run.mode), func(t *testing.T) {
			outcome, err := soak.Run(t.Context(), soak.Options{
				Daemon: daemonPath, Standin: standin, Dir: filepath.Join(dir, string(run.mode)), Network: network, Out: t.Output(),
			}, soak.Draw(run.mode, run.seed, soak.Sizes{Faults: soakFaultTime}))
			assert.NilError(t, err)
			t.Log(outcome)
			assert.Equal(t, len(outcome.Broken), 0, "its logs are kept in %s", dir)
		})
	}
	if !t.Failed() {
		assert.NilError(t, os.RemoveAll(dir))
	}
}
