// Package jobscenario plays a whole day for entry hosts that serve jobs: a platform, callers, a wave of upkeeps and
// faults, and compares what callers were told with what workers did.
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

// Options describe a scenario.
type Options struct {
	// Address is the ip:port of the store and the machines; Network the first three bytes of the workers' addresses.
	Address, Network string
	// Entries and Ready are the entry hosts' listeners for callers and readiness checks, ip:port.
	Entries, Ready []string
	Seed           uint64
	// Duration is how long jobs are handed in, Rate how many a second.
	Duration time.Duration
	Rate     float64
	Faults   Faults
	// Pools and Queues are those of the scenario if empty; WaveCap is how many machines may be down at once, 2 if 0.
	Pools   []jobplatform.PoolOptions
	Queues  []jobplatform.Queue
	WaveCap int
	// Views are as in jobplatform.Options.
	Views []string
	// Control is the ip:port at which jobplatform.Control is taken, empty for none.
	Control string
	// History is told of each event, nil for nobody.
	History io.Writer
	// Out is told of the steps.
	Out io.Writer
}

// Faults of the platform; the zero value is a healthy one.
type Faults struct {
	// Crash ends the busiest worker.
	Crash bool
	// Silence is how long the store gives no answers.
	Silence time.Duration
	// LoseEvery loses one answer in so many.
	LoseEvery int
	// DelayEvery lets workers carry out one order in so many 2 s late and without an answer.
	DelayEvery int
}

// Result is the comparison.
type Result struct {
	Callers    jobcallers.Report
	Workers    jobplatform.Totals
	Broken     []string
	WaveDone   bool
	WaveLength int
}

const (
	workerPort   = 9100
	startLimit   = 30 * time.Second
	drainLimit   = 40 * time.Second
	noteLimit    = 5 * time.Second
	readyTick    = 200 * time.Millisecond
	readyTimeout = time.Second
	waveNumber   = 1
	waveWithin   = 20 // seconds
	waveCap      = 2
	// a wave is ordered, a worker crashes and the store falls silent after these parts of the load.
	waveAfter, crashAfter, silenceAfter = 0.15, 0.35, 0.6
)

// Queues are the queues of the scenario, one a pool.
var Queues = []jobplatform.Queue{
	{Name: "render", Host: "jobs.example", Prefix: "/render/", Pool: "render", Priority: 1},
	{Name: "index", Host: "jobs.example", Prefix: "/index/", Pool: "index", Priority: 1},
}

func pools() []jobplatform.PoolOptions {
	return []jobplatform.PoolOptions{
		{Name: "render", Machines: 6, EnforcesCapacity: true},
		{Name: "index", Machines: 6},
		{Name: "spare", Machines: 2, Spare: true},
	}
}

// Sized are queues and their pools with so many machines, the last of them spare; none gives the usual ones.
func Sized(machines []int) (queues []jobplatform.Queue, sized []jobplatform.PoolOptions) {
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

// Run plays the scenario against entry hosts that are started meanwhile. Errors mean that it could not be played.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(o.Queues) == 0 {
		o.Queues, o.Pools = Queues, pools()
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
	result, err := play(ctx, o, p)
	cancel()
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	return result, err
}

func play(ctx context.Context, o Options, p *jobplatform.Platform) (Result, error) {
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
	say(o, "load begins")
	p.LoseAnswers(o.Faults.LoseEvery)
	p.DelayOrders(o.Faults.DelayEvery)
	wave := p.Machines()
	events := make(chan error, 1)
	go func() { events <- playEvents(ctx, o, p, wave) }()
	result := Result{WaveLength: len(wave)}
	result.Callers = jobcallers.Run(ctx, jobcallers.Options{
		Entries: o.Entries, Queues: o.Queues, Seed: o.Seed, Duration: o.Duration, Rate: o.Rate, Drain: drainLimit,
	}, p.History())
	if err := <-events; err != nil {
		return result, err
	}
	result.WaveDone = awaitWave(ctx, p)
	if !awaitNoted(ctx, p) {
		p.History().ReportViolation("%d ends were not taken note of in %v", p.UnacknowledgedEnds(), noteLimit)
	}
	if o.Control != "" {
		p.History().CheckServed(lo.Map(o.Queues, func(q jobplatform.Queue, _ int) string { return q.Pool }))
		p.History().CheckConfigured(o.Entries, op.version.Load())
	}
	result.Workers, result.Broken = p.History().Verdict()
	return result, nil
}

// playEvents orders the wave and brings the faults.
func playEvents(ctx context.Context, o Options, p *jobplatform.Platform, wave []string) error {
	begin := time.Now()
	part := func(share float64) bool {
		return wait.For(ctx, time.Duration(share*float64(o.Duration))-time.Since(begin)) == nil
	}
	if !part(waveAfter) {
		return ctx.Err()
	}
	say(o, fmt.Sprintf("wave %d of %d machines ordered, at most %d down at once", waveNumber, len(wave), o.WaveCap))
	if err := p.OrderWave(ctx, waveNumber, wave, waveWithin, o.WaveCap); err != nil {
		return err
	}
	if part(crashAfter) && o.Faults.Crash {
		say(o, "the worker of machine "+p.CrashBusiest()+" crashes")
	}
	if part(silenceAfter) && o.Faults.Silence > 0 {
		say(o, "store gives no answers for "+o.Faults.Silence.String())
		p.SilenceStore(o.Faults.Silence)
	}
	return ctx.Err()
}

func awaitWave(ctx context.Context, p *jobplatform.Platform) bool {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !p.WaveCompleted(waveNumber) {
		if wait.For(ctx, readyTick) != nil {
			return false
		}
	}
	return true
}

// awaitNoted waits until all ends that workers list were taken note of.
func awaitNoted(ctx context.Context, p *jobplatform.Platform) bool {
	ctx, cancel := context.WithTimeout(ctx, noteLimit)
	defer cancel()
	for p.UnacknowledgedEnds() > 0 {
		if wait.For(ctx, readyTick) != nil {
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
			if wait.For(ctx, readyTick) != nil {
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
	_ = resp.Body.Close() // the status is all that matters
	return resp.StatusCode == http.StatusOK
}

func say(o Options, line string) { _, _ = fmt.Fprintln(o.Out, line) }

// Held tells whether all promises were kept.
func (r Result) Held() bool {
	return r.Callers.Held() && r.WaveDone && r.Workers.Upkeeps == r.WaveLength && r.Workers.Broken == 0
}

// String is a table for people.
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
