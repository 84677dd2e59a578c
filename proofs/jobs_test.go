package proofs

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/jobscenario"
)

const jobHosts = 3

// jobSeed is the random seed of the jobs. It does not determine the timing of processes, so a seed does not reproduce a run exactly.
var jobSeed = flag.Uint64("jobs.seed", 7, "seed of the jobs")

// jobCluster is a set of entry hosts that serve jobs, each in a separate process.
type jobCluster struct {
	t       *testing.T
	dir     string
	entries map[int]*entry
	out     syncBuffer
}

// syncBuffer collects the output of the scenario. It is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) has(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Contains(s.b.Bytes(), []byte(text))
}

func jobAddress(host, port int) string { return fmt.Sprintf("%s.7.%d:%d", network, host, port) }

func jobAddresses(port int) []string {
	var all []string
	for n := 1; n <= jobHosts; n++ {
		all = append(all, jobAddress(n, port))
	}
	return all
}

func (c *jobCluster) start(n int) {
	c.t.Helper()
	path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.ini", n))
	text := fmt.Sprintf(`
[job_host]
name = entry-%d
data_centre = zone-1
ip = %s.7.%d
caller_address = %s
peer_address = %s
ready_address = %s
[job_store]
address = %s
[host_api]
address = %s
[job_bounds]
move_time = 1s
upkeep_time = 1500ms
heartbeat = 1s
`, n, network, n, jobAddress(n, 7000), jobAddress(n, 7001), jobAddress(n, 7003), jobAddress(100, 18500), jobAddress(100, 18500))
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	e := &entry{number: n, command: exec.CommandContext(context.Background(), daemonPath, "--config", path), exited: make(chan struct{})}
	e.command.Stdout, e.command.Stderr = log, log
	assert.NilError(c.t, e.command.Start())
	go func() {
		_ = e.command.Wait()
		_ = log.Close()
		close(e.exited)
	}()
	c.entries[n] = e
}

// replace stops an entry host with a signal and restarts it after a pause.
func (c *jobCluster) replace(n int, signal syscall.Signal, pause time.Duration) {
	c.t.Helper()
	assert.NilError(c.t, c.entries[n].command.Process.Signal(signal))
	select {
	case <-c.entries[n].exited:
	case <-time.After(waitTimeout):
		c.t.Fatalf("entry-%d did not exit", n)
	}
	time.Sleep(pause)
	c.start(n)
}

func (c *jobCluster) shutDown() {
	for n, e := range c.entries {
		_ = e.command.Process.Kill()
		<-e.exited
		if c.t.Failed() {
			log, _ := os.ReadFile(filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", n)))
			c.t.Logf("entry-%d:\n%s", n, log)
		}
	}
}

// runJobs runs a scenario; it calls injectFaults once the load has started.
func runJobs(t *testing.T, faults jobscenario.Faults, injectFaults func(*jobCluster)) jobscenario.Result {
	t.Helper()
	c := &jobCluster{t: t, dir: t.TempDir(), entries: map[int]*entry{}}
	t.Cleanup(c.shutDown)
	var result jobscenario.Result
	var err error
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		result, err = jobscenario.Run(t.Context(), jobscenario.Options{
			Address: jobAddress(100, 18500), Network: network + ".7", Entries: jobAddresses(7000), Ready: jobAddresses(7003),
			Seed: *jobSeed, Duration: 8 * time.Second, Rate: 5, Faults: faults, Out: &c.out,
		})
	}()
	for n := 1; n <= jobHosts; n++ {
		c.start(n)
	}
	for begin := time.Now(); !c.out.has("load begins"); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Since(begin) < waitTimeout, "the load did not start")
	}
	injectFaults(c)
	<-finished
	assert.NilError(t, err)
	t.Logf("%s", result)
	return result
}

// Every accepted job completes exactly once and a wave completes while entry hosts are killed and replaced, a worker crashes,
// the store does not answer for a while, and answers are lost.
func TestJobsUnderFaults(t *testing.T) {
	faults := jobscenario.Faults{Crash: true, Silence: 1500 * time.Millisecond, LoseEvery: 40}
	result := runJobs(t, faults, func(c *jobCluster) {
		time.Sleep(1500 * time.Millisecond)
		c.replace(2, syscall.SIGKILL, 500*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		c.replace(1, syscall.SIGTERM, 0)
	})
	assert.Assert(t, result.Held())
}

// Entry hosts that are paused for longer than their leases start nothing when they resume, while some orders are executed
// late.
func TestJobsWithPausedEntryHosts(t *testing.T) {
	result := runJobs(t, jobscenario.Faults{LoseEvery: 60, DelayEvery: 40}, func(c *jobCluster) {
		for _, n := range []int{1, 3} {
			time.Sleep(time.Second)
			assert.NilError(t, c.entries[n].command.Process.Signal(syscall.SIGSTOP))
			time.Sleep(3500 * time.Millisecond) // longer than the lease of an owner
			assert.NilError(t, c.entries[n].command.Process.Signal(syscall.SIGCONT))
		}
	})
	assert.Assert(t, result.Held())
}

// All entry hosts are killed at once. The accepted jobs are in the store and are executed by the restarted entry hosts.
func TestJobsAfterAllEntryHostsAreKilled(t *testing.T) {
	result := runJobs(t, jobscenario.Faults{}, func(c *jobCluster) {
		time.Sleep(3 * time.Second)
		for _, e := range c.entries {
			assert.NilError(t, e.command.Process.Signal(syscall.SIGKILL))
		}
		for n := 1; n <= jobHosts; n++ {
			<-c.entries[n].exited
			c.start(n)
		}
	})
	assert.Assert(t, result.Held())
}
