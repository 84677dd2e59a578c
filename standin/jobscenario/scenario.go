// Package jobscenario runs an end-to-end scenario against entry hosts that serve jobs: a platform, callers, a wave of
// upkeeps and faults. It compares what callers were told with what workers did.
package jobscenario

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/standin/jobcallers"
	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/wait"
)

// Options configure a scenario.
type Options struct {
	// Address is the ip:port of the store and the machine API; Network is the first three bytes of the workers' addresses.
	Address, Network string
	// Entries and Ready are the entry hosts' listeners for callers and readiness checks, ip:port.
	Entries, Ready []string
	Seed           uint64
	// Duration is the time in which jobs are submitted, Rate their number per second.
	Duration time.Duration
	Rate     float64
	Faults   Faults
	// If Queues is empty, default Queues and Pools are used. WaveCap is the number of machines that may be down at once;
	// 0 means 2.
	Pools   []jobplatform.PoolOptions
	Queues  []jobplatform.Queue
	WaveCap int
	// Workspaces are those of the callers. Run sets them for most seeds.
	Workspaces []jobplatform.Workspace
	// Views are passed to jobplatform.Options.
	Views []string
	// Control is the ip:port at which jobplatform.Control is accepted; empty means none.
	Control string
	// History receives a line for each event; nil disables it.
	History io.Writer
	// Out receives a line for each step of the scenario.
	Out io.Writer
}

// Faults configures the faults of the platform; the zero value is a healthy platform.
type Faults struct {
	// Crash makes the busiest worker crash.
	Crash bool
	// Silence is the time for which the store gives no answers.
	Silence time.Duration
	// LoseEvery makes one in LoseEvery answers lost.
	LoseEvery int
	// DelayEvery makes workers execute one in DelayEvery orders 2 s late and without an answer.
	DelayEvery int
}

// Result is the result of a scenario, as seen by the callers and by the workers.
type Result struct {
	Callers    jobcallers.Report
	Workers    jobplatform.Totals
	Broken     []string
	WaveDone   bool
	WaveLength int
}

const (
	workerPort        = 9100
	startLimit        = 30 * time.Second
	drainLimit        = 40 * time.Second
	recordLimit       = 5 * time.Second
	pollInterval      = 200 * time.Millisecond
	readyTimeout      = time.Second
	waveNumber        = 1
	waveWithinSeconds = 20
	waveCap           = 2
	// A wave is ordered, a worker crashes and the store falls silent after these shares of the duration of the load.
	waveAfter, crashAfter, silenceAfter = 0.15, 0.35, 0.6
)

// Queues are the default queues of the scenario, one per pool.
var Queues = []jobplatform.Queue{
	{Name: "render", Host: "jobs.example", Prefix: "/render/", Pool: "render", Priority: 1},
	{Name: "index", Host: "jobs.example", Prefix: "/index/", Pool: "index", Priority: 1},
}

// seedsWithoutKeys: of so many seeds one has no workspaces, so that both kinds of deployments are tried.
const seedsWithoutKeys = 3

var workspaces = []jobplatform.Workspace{{Name: "atlas", Key: "key-1"}, {Name: "birch", Key: "key-2"}, {Name: "cedar", Key: "key-3"}}

func pools() []jobplatform.PoolOptions {
	return []jobplatform.PoolOptions{
		{Name: "render", Machines: 6, EnforcesCapacity: true},
		{Name: "index", Machines: 6},
		{Name: "spare", Machines: 2, Spare: true},
	}
}

// SizedPools returns queues and their pools with the given numbers of machines. The last pool is the spare pool and has no
// queue. Without machines it returns nil, which selects the defaults.
func SizedPools(machines []int) (queues []jobplatform.Queue, sized []jobplatform.PoolOptions) {
	for i, n := range machines {
		name := fmt.Sprintf("pool-%d", i+1)
		if i == len(machines)-1 {
			return queues, append(sized, jobplatform.PoolOptions{Name: "spare", Machines: n, Spare: true})
		}
		queues = append(queues, jobplatform.Queue{Name: name, Host: "jobs.example", Prefix: "/" + name + "/", Pool: name, Priority: 1})
		sized = append(sized, jobplatform.PoolOptions{Name: name, Machines: n, EnforcesCapacity: i%2 == 0})
	}
	return nil, nil
}

// Run runs the scenario against entry hosts that are started in the meantime. An error means that it could not be run.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(o.Queues) == 0 {
		o.Queues, o.Pools = Queues, pools()
	}
	if o.Seed%seedsWithoutKeys != 0 {
		o.Workspaces = workspaces
	}
	o.WaveCap = cmp.Or(o.WaveCap, waveCap)
	p, err := jobplatform.New(ctx, jobplatform.Options{
		Address: o.Address, Network: o.Network, WorkerPort: workerPort, Pools: o.Pools, Views: o.Views,
	})
	if err != nil {
		return Result{}, err
	}
	p.History().LogTo(o.History)
	served := make(chan error, 1)
	go func() { served <- p.Run(ctx) }()
	result, err := runLoad(ctx, o, p)
	cancel()
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	return result, err
}

func runLoad(ctx context.Context, o Options, p *jobplatform.Platform) (Result, error) {
	op := &operator{o: o, p: p}
	if err := op.configure(ctx); err != nil {
		return Result{}, err
	}
	stop, err := op.serve(ctx)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	if err := awaitReady(ctx, o.Ready); err != nil {
		return Result{}, err
	}
	printLine(o, "load begins")
	p.LoseAnswers(o.Faults.LoseEvery)
	p.DelayOrders(o.Faults.DelayEvery)
	wave := p.Machines()
	events := make(chan error, 1)
	go func() { events <- runEvents(ctx, o, p, wave) }()
	result := Result{WaveLength: len(wave)}
	result.Callers = jobcallers.Run(ctx, jobcallers.Options{
		Entries: o.Entries, Queues: o.Queues, Workspaces: o.Workspaces, Seed: o.Seed, Duration: o.Duration, Rate: o.Rate, Drain: drainLimit,
	}, p.History())
	if err := <-events; err != nil {
		return result, err
	}
	result.WaveDone = awaitWave(ctx, p)
	if !awaitRecorded(ctx, p) {
		p.History().ReportViolation("%d ended runs were not recorded within %v", p.UnacknowledgedEnds(), recordLimit)
	}
	if o.Control != "" {
		p.History().CheckServed(lo.Map(o.Queues, func(q jobplatform.Queue, _ int) string { return q.Pool }))
		p.History().CheckConfigured(o.Entries, op.version.Load())
	}
	result.Workers, result.Broken = p.History().Verdict()
	return result, nil
}

// runEvents orders the wave and triggers the faults at their times.
func runEvents(ctx context.Context, o Options, p *jobplatform.Platform, wave []string) error {
	start := time.Now()
	waitUntil := func(share float64) bool {
		return wait.For(ctx, time.Duration(share*float64(o.Duration))-time.Since(start)) == nil
	}
	if !waitUntil(waveAfter) {
		return ctx.Err()
	}
	printLine(o, fmt.Sprintf("wave %d of %d machines ordered, at most %d down at once", waveNumber, len(wave), o.WaveCap))
	if err := p.OrderWave(ctx, waveNumber, wave, waveWithinSeconds, o.WaveCap); err != nil {
		return err
	}
	if waitUntil(crashAfter) && o.Faults.Crash {
		printLine(o, "the worker of machine "+p.CrashBusiest()+" crashes")
	}
	if waitUntil(silenceAfter) && o.Faults.Silence > 0 {
		printLine(o, "store gives no answers for "+o.Faults.Silence.String())
		p.SilenceStore(o.Faults.Silence)
	}
	return ctx.Err()
}

func awaitWave(ctx context.Context, p *jobplatform.Platform) bool {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !p.WaveCompleted(waveNumber) {
		if wait.For(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}

// awaitRecorded waits until the entry hosts have recorded all ended runs that workers list.
func awaitRecorded(ctx context.Context, p *jobplatform.Platform) bool {
	ctx, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	for p.UnacknowledgedEnds() > 0 {
		if wait.For(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}

func awaitReady(ctx context.Context, addresses []string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, address := range addresses {
		for !ready(ctx, address) {
			if wait.For(ctx, pollInterval) != nil {
				return fmt.Errorf("entry host at %s is not ready after %v", address, startLimit)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}

func printLine(o Options, line string) { _, _ = fmt.Fprintln(o.Out, line) }

// Held reports whether all guarantees were kept.
func (r Result) Held() bool {
	return r.Callers.Held() && r.WaveDone && r.Workers.Upkeeps == r.WaveLength && r.Workers.Broken == 0
}

// String returns the result as a table of text.
func (r Result) String() string {
	var b strings.Builder
	row := func(name, format string, values ...any) {
		fmt.Fprintf(&b, "%-34s %s\n", name, fmt.Sprintf(format, values...))
	}
	b.WriteString("--- told to callers\n" + r.Callers.String() + "--- seen by workers and machines\n")
	w := r.Workers
	row("runs started", "%d", w.Starts)
	row("runs ended", "%d succeeded, %d failed, %d stopped, %d lapsed", w.Done, w.Failed, w.Stopped, w.Lapsed)
	row("", "%d with their worker, %d of gangs that broke", w.Gone, w.Apart)
	row("runs resumed from checkpoints", "%d", w.Resumed)
	row("upkeeps begun, machines moved", "%d of %d, %d", w.Upkeeps, r.WaveLength, w.Moves)
	row("wave completed", "%v", r.WaveDone)
	row("promises broken", "%d", w.Broken)
	for _, broken := range r.Broken {
		row("", "%s", broken)
	}
	return b.String()
}
