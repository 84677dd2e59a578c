package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/agateturn/agateturn/wait"
)

// Options configure where and with which programs a plan is run.
type Options struct {
	// Daemon and Standin are the paths of the programs.
	Daemon, Standin string
	// Dir is recreated for plan, logs and histories. It is removed after a run without violations.
	Dir string
	// Network is the first two bytes of all addresses, such as 127.70.
	Network string
	Out     io.Writer
}

// Outcome is the result of a run.
type Outcome struct {
	Plan      Plan
	Processes int
	Took      time.Duration
	// Faults counts the executed steps by kind, Checked the checked items by kind.
	Faults, Checked map[string]int
	// Broken describes each violation, Evidence holds the lines of the history that show it.
	Broken, Evidence []string
	// Unplayed is the reason why the plan was not executed completely; empty if it was.
	Unplayed string
}

const (
	startTimeout = 40 * time.Second
	// stopTimeout is how long after SIGTERM a process may continue.
	stopTimeout = 20 * time.Second
	// exitAfterFault is how long after a fault the exit of a process is still attributed to it.
	exitAfterFault   = time.Second
	retryInterval    = 100 * time.Millisecond
	progressInterval = 10 * time.Second
	// sharedView is the third byte of the network of callers and, in large runs, of all processes.
	sharedView  = 200
	realNetwork = 100
	standinByte = 200
	maxOwnViews = 40
	maxEvidence = 3
)

// harness is the part of a run that depends on the mode.
type harness interface {
	// launch starts the stand-ins; await returns once the load has started.
	launch(ctx context.Context) error
	await(ctx context.Context) error
	// settings returns the settings file of an entry host.
	settings(host int) string
	// inject injects a fault of the stand-ins; end is nil for a fault without a duration.
	inject(ctx context.Context, s Step) (end func(), err error)
	// hostStarting announces the start of an entry host, faultsEnded the end of the last fault.
	hostStarting(ctx context.Context, host int) error
	faultsEnded(ctx context.Context) error
	// verdict waits for the end of the load and adds the violations to out.
	verdict(ctx context.Context, out *Outcome) error
	// stop ends the stand-ins.
	stop()
}

// run is the execution of a plan.
type run struct {
	o       Options
	p       Plan
	proxy   *Proxy
	harness harness
	hosts   []*host

	mu              sync.Mutex
	violations      []string
	events          []Event
	unexpectedExits map[*process]unexpectedExit
	faults          map[string]int
	incarnations    int
}

// host is an entry host; its lock is held while its process changes.
type host struct {
	number int

	mu      sync.Mutex
	process *process
	// stopRequested is set once the current process was told to stop.
	stopRequested bool
}

// unexpectedExit is the exit of a process that was not told to stop, or that failed.
type unexpectedExit struct {
	host int
	at   time.Time
	how  string
}

// Run executes a plan. It returns an error if the plan could not be executed.
func Run(ctx context.Context, o Options, p Plan) (Outcome, error) {
	if err := errors.Join(os.RemoveAll(o.Dir), os.MkdirAll(o.Dir, 0o750)); err != nil {
		return Outcome{}, err
	}
	r := &run{o: o, p: p, proxy: NewProxy(), faults: make(map[string]int), unexpectedExits: make(map[*process]unexpectedExit)}
	for n := 1; n <= p.Hosts; n++ {
		r.hosts = append(r.hosts, &host{number: n})
	}
	r.harness = newHarness(r)
	out, err := r.execute(ctx)
	r.shutDown()
	if err == nil && len(out.Broken) == 0 {
		return out, os.RemoveAll(o.Dir)
	}
	return out, errors.Join(err, os.WriteFile(filepath.Join(o.Dir, "verdict.txt"), []byte(out.String()+"\n"), 0o600))
}

func newHarness(r *run) harness {
	if r.p.Mode == Requests {
		return &requestHarness{run: r}
	}
	return &jobHarness{run: r}
}

func (r *run) execute(ctx context.Context) (Outcome, error) {
	begin := time.Now()
	if err := os.WriteFile(filepath.Join(r.o.Dir, "plan.txt"), []byte(r.p.String()), 0o600); err != nil {
		return Outcome{}, err
	}
	if err := r.harness.launch(ctx); err != nil {
		return Outcome{}, err
	}
	for _, h := range r.hosts {
		if err := r.start(ctx, h); err != nil {
			return Outcome{}, err
		}
	}
	if err := r.harness.await(ctx); err != nil {
		return Outcome{}, err
	}
	if err := r.injectFaults(ctx); err != nil {
		return Outcome{}, err
	}
	out := Outcome{Plan: r.p, Checked: make(map[string]int)}
	err := r.harness.verdict(ctx, &out)
	r.checkExits()
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Broken = append(out.Broken, r.violations...)
	out.Faults, out.Processes, out.Took = r.faults, r.incarnations, time.Since(begin)
	return out, err
}

// injectFaults executes all steps, resumes and restarts all entry hosts and announces the end of faults.
func (r *run) injectFaults(ctx context.Context) error {
	begin, shown := time.Now(), time.Now()
	var steps sync.WaitGroup
	for _, s := range r.p.Steps {
		if wait.For(ctx, s.At-time.Since(begin)) != nil {
			break
		}
		if time.Since(shown) > progressInterval {
			shown = time.Now()
			r.printf("seed %d: %v of %v", r.p.Seed, time.Since(begin).Round(time.Second), r.p.Load)
		}
		steps.Go(func() { r.step(ctx, s) })
	}
	steps.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, h := range r.hosts {
		h.mu.Lock()
		h.process.signal(syscall.SIGCONT)
		h.mu.Unlock()
		if err := r.restart(ctx, h); err != nil {
			return err
		}
	}
	return r.harness.faultsEnded(ctx)
}

// step executes one step and waits until its fault has ended.
func (r *run) step(ctx context.Context, s Step) {
	r.mu.Lock()
	r.faults[s.Name()]++
	r.mu.Unlock()
	began := time.Now()
	defer func() {
		r.recordEvent(Event{At: began, Until: time.Now(), Host: s.Host, Action: s.Action, Link: s.Impairment.Link})
	}()
	var err error
	switch s.Action {
	case Terminate, Kill, Pause, Continue:
		r.signal(r.hosts[s.Host-1], s.Action)
	case Start:
		err = r.restart(ctx, r.hosts[s.Host-1])
	case Impair:
		end := r.proxy.Impair(ctx, s.Impairment)
		_ = wait.For(ctx, s.For) // ended in any case
		err = end()
	default:
		var end func()
		if end, err = r.harness.inject(ctx, s); err == nil && end != nil {
			_ = wait.For(ctx, s.For) // ended in any case
			end()
		}
	}
	if err != nil && ctx.Err() == nil {
		r.reportViolation("%s: %v", s, err)
	}
}

// recordExit records a process that exited without being told to, or with an error.
func (r *run) recordExit(h *host) {
	if !h.process.ended() {
		return
	}
	if state := h.process.command.ProcessState; !h.stopRequested || state.ExitCode() > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unexpectedExits[h.process] = unexpectedExit{host: h.number, at: h.process.endedAt, how: state.String()}
	}
}

// checkExits reports the exits that no fault explains. An entry host may exit when it detects that it was paused.
func (r *run) checkExits() {
	r.sortEvents()
	for _, e := range r.unexpectedExits {
		if !faultNearby(r.events, e.host, e.at.Add(faultLag-exitAfterFault), e.at) {
			r.reportViolation("entry-%d exited unexpectedly at %s: %s", e.host, e.at.Format(clockLayout), e.how)
		}
	}
}

func (r *run) recordEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// sortEvents sorts the events, which concurrent steps record out of order.
func (r *run) sortEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(a, b Event) int { return a.At.Compare(b.At) })
}

func (r *run) signal(h *host, a Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	signal := map[Action]syscall.Signal{
		Terminate: syscall.SIGTERM, Kill: syscall.SIGKILL, Pause: syscall.SIGSTOP, Continue: syscall.SIGCONT,
	}[a]
	r.recordExit(h)
	h.stopRequested = h.stopRequested || a == Terminate || a == Kill
	h.process.signal(signal)
}

// restart starts a new process for a host whose process has ended or was told to stop. Until then, signals reach the old
// process.
func (r *run) restart(ctx context.Context, h *host) error {
	h.mu.Lock()
	old := h.process
	due := h.stopRequested || old.ended()
	h.mu.Unlock()
	if !due {
		return nil
	}
	if err := old.await(ctx, stopTimeout); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != old {
		return nil
	}
	r.recordExit(h)
	return r.startLocked(ctx, h)
}

func (r *run) start(ctx context.Context, h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return r.startLocked(ctx, h)
}

func (r *run) startLocked(ctx context.Context, h *host) error {
	if err := r.harness.hostStarting(ctx, h.number); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", h.number)
	file := filepath.Join(r.o.Dir, name+".ini")
	if err := os.WriteFile(file, []byte(r.harness.settings(h.number)), 0o600); err != nil {
		return err
	}
	p, err := start(ctx, name, filepath.Join(r.o.Dir, name+".log"), r.o.Daemon, "--config", file)
	if err != nil {
		return err
	}
	h.process, h.stopRequested = p, false
	r.mu.Lock()
	r.incarnations++
	r.mu.Unlock()
	return nil
}

// shutDown ends every process of the run.
func (r *run) shutDown() {
	for _, h := range r.hosts {
		if h.process != nil {
			h.process.kill()
		}
	}
	r.harness.stop()
	r.proxy.Close()
}

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *run) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.o.Out, format+"\n", args...) }

// network returns the first three bytes of the addresses that a host uses: its own view in small runs.
func (r *run) network(host int) string {
	if r.p.Hosts > maxOwnViews {
		host = 0
	}
	if host == 0 {
		return fmt.Sprintf("%s.%d", r.o.Network, sharedView)
	}
	return fmt.Sprintf("%s.%d", r.o.Network, realNetwork+host)
}

func (r *run) real() string { return fmt.Sprintf("%s.%d", r.o.Network, realNetwork) }

// views returns the hosts with a view of their own; 0 stands for callers and all other hosts.
func (r *run) views() []int {
	views := []int{0}
	for h := 1; h <= r.p.Hosts && r.p.Hosts <= maxOwnViews; h++ {
		views = append(views, h)
	}
	return views
}

// evidence returns the last lines of a history that contain an id or a caller address of a violation.
func evidence(history []string, violation string) []string {
	var found []string
	for _, word := range strings.Fields(violation) {
		word = strings.Trim(word, "{},:")
		const id = 16
		if len(word) < id && !strings.Contains(word, ":7000") {
			continue
		}
		for i := len(history) - 1; i >= 0 && len(found) < maxEvidence; i-- {
			if strings.Contains(history[i], word) && !strings.Contains(history[i], "answered 200") {
				found = append([]string{history[i]}, found...)
			}
		}
	}
	return found
}
