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

// Options are where and with which programs a plan is run.
type Options struct {
	// Daemon and Standin are the paths of the programs.
	Daemon, Standin string
	// Dir is made anew for plan, logs and histories; it is removed after a run that broke nothing.
	Dir string
	// Network is the first two bytes of all addresses, such as 127.70.
	Network string
	Out     io.Writer
}

// Outcome is what a run promised and saw.
type Outcome struct {
	Plan      Plan
	Processes int
	Took      time.Duration
	// Faults counts steps by kind, Checked promises that were looked at by kind.
	Faults, Checked map[string]int
	// Broken tells each broken promise, Evidence the lines of the history that show it.
	Broken, Evidence []string
	// Unplayed is why the plan could not be played to its end; empty if it was.
	Unplayed string
}

const (
	startLimit = 40 * time.Second
	// stopBound is how long after SIGTERM a process may go on.
	stopBound = 20 * time.Second
	// endAfterPause is how long after a fault the end of a process is put down to it.
	endAfterPause = time.Second
	settleTick    = 100 * time.Millisecond
	progressTick  = 10 * time.Second
	// sharedView is the last byte of the network of callers and, in large runs, of all processes.
	sharedView   = 200
	realNetwork  = 100
	standinByte  = 200
	maxOwnViews  = 40
	evidenceKept = 3
)

// world is what differs between the modes.
type world interface {
	// begin starts the stand-ins; await returns once the load has begun.
	begin(ctx context.Context) error
	await(ctx context.Context) error
	// settings are those of an entry host.
	settings(host int) string
	// fault brings a fault of the stand-ins about; end is nil for one that does not last.
	fault(ctx context.Context, s Step) (end func(), err error)
	// started tells that a life of an entry host begins, calm that the last fault has ended.
	started(ctx context.Context, host int) error
	calm(ctx context.Context) error
	// verdict waits for the end of the load.
	verdict(ctx context.Context, out *Outcome) error
	// stop ends the stand-ins.
	stop()
}

// run is one run of a plan.
type run struct {
	o     Options
	p     Plan
	proxy *Proxy
	world world
	hosts []*host

	mu     sync.Mutex
	broken []string
	events []Event
	ends   map[*process]ownEnd
	faults map[string]int
	lives  int
}

// host is an entry host; its lock is held while its process changes.
type host struct {
	number int

	mu      sync.Mutex
	process *process
	// told is set once the present process was told to end.
	told bool
}

// ownEnd is the end of a process that was not told to end, or that ended with an error.
type ownEnd struct {
	host int
	at   time.Time
	how  string
}

// Run plays a plan. Errors mean that it could not be played.
func Run(ctx context.Context, o Options, p Plan) (Outcome, error) {
	if err := errors.Join(os.RemoveAll(o.Dir), os.MkdirAll(o.Dir, 0o750)); err != nil {
		return Outcome{}, err
	}
	r := &run{o: o, p: p, proxy: NewProxy(), faults: make(map[string]int), ends: make(map[*process]ownEnd)}
	for n := 1; n <= p.Hosts; n++ {
		r.hosts = append(r.hosts, &host{number: n})
	}
	r.world = newWorld(r)
	out, err := r.play(ctx)
	r.endAll()
	if err == nil && len(out.Broken) == 0 {
		return out, os.RemoveAll(o.Dir)
	}
	return out, errors.Join(err, os.WriteFile(filepath.Join(o.Dir, "verdict.txt"), []byte(out.String()+"\n"), 0o600))
}

func newWorld(r *run) world {
	if r.p.Mode == Requests {
		return &requestWorld{run: r}
	}
	return &jobWorld{run: r}
}

func (r *run) play(ctx context.Context) (Outcome, error) {
	begin := time.Now()
	if err := os.WriteFile(filepath.Join(r.o.Dir, "plan.txt"), []byte(r.p.String()), 0o600); err != nil {
		return Outcome{}, err
	}
	if err := r.world.begin(ctx); err != nil {
		return Outcome{}, err
	}
	for _, h := range r.hosts {
		if err := r.start(ctx, h); err != nil {
			return Outcome{}, err
		}
	}
	if err := r.world.await(ctx); err != nil {
		return Outcome{}, err
	}
	if err := r.bringFaults(ctx); err != nil {
		return Outcome{}, err
	}
	out := Outcome{Plan: r.p, Checked: make(map[string]int)}
	err := r.world.verdict(ctx, &out)
	r.judgeEnds()
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Broken = append(out.Broken, r.broken...)
	out.Faults, out.Processes, out.Took = r.faults, r.lives, time.Since(begin)
	return out, err
}

// bringFaults plays all steps, ends what lasts and tells that it is calm.
func (r *run) bringFaults(ctx context.Context) error {
	begin, shown := time.Now(), time.Now()
	var steps sync.WaitGroup
	for _, s := range r.p.Steps {
		if wait.For(ctx, s.At-time.Since(begin)) != nil {
			break
		}
		if time.Since(shown) > progressTick {
			shown = time.Now()
			r.say("seed %d: %v of %v", r.p.Seed, time.Since(begin).Round(time.Second), r.p.Load)
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
	return r.world.calm(ctx)
}

// step carries one step out and waits until its fault is over.
func (r *run) step(ctx context.Context, s Step) {
	r.mu.Lock()
	r.faults[s.Name()]++
	r.mu.Unlock()
	began := time.Now()
	defer func() {
		r.note(Event{At: began, Until: time.Now(), Host: s.Host, Action: s.Action, Link: s.Impairment.Link})
	}()
	var err error
	switch s.Action {
	case Terminate, Kill, Pause, Continue:
		r.signal(r.hosts[s.Host-1], s.Action)
	case Start:
		err = r.restart(ctx, r.hosts[s.Host-1])
	case Harms:
		end := r.proxy.Harm(s.Impairment)
		_ = wait.For(ctx, s.For) // ended in any case
		end()
	default:
		var end func()
		if end, err = r.world.fault(ctx, s); err == nil && end != nil {
			_ = wait.For(ctx, s.For) // ended in any case
			end()
		}
	}
	if err != nil && ctx.Err() == nil {
		r.broke("%s: %v", s, err)
	}
}

// noteEnd notes a process that ended without being told, or with an error.
func (r *run) noteEnd(h *host) {
	if !h.process.ended() {
		return
	}
	if state := h.process.command.ProcessState; !h.told || state.ExitCode() > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ends[h.process] = ownEnd{host: h.number, at: h.process.endedAt, how: state.String()}
	}
}

// judgeEnds finds the ends that no fault explains: an entry host may end once it finds that it was paused.
func (r *run) judgeEnds() {
	r.sortEvents()
	for _, e := range r.ends {
		if !troubled(r.events, e.host, e.at.Add(troubleAfter-endAfterPause), e.at) {
			r.broke("entry-%d ended by itself at %s: %s", e.host, e.at.Format(clock), e.how)
		}
	}
}

func (r *run) note(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// sortEvents puts into order what was noted at once.
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
	r.noteEnd(h)
	h.told = h.told || a == Terminate || a == Kill
	h.process.signal(signal)
}

// restart starts the process of a host that has ended or was told to. Signals reach the old process meanwhile.
func (r *run) restart(ctx context.Context, h *host) error {
	h.mu.Lock()
	old := h.process
	due := h.told || old.ended()
	h.mu.Unlock()
	if !due {
		return nil
	}
	if err := old.await(ctx, stopBound); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != old {
		return nil
	}
	r.noteEnd(h)
	return r.startLocked(ctx, h)
}

func (r *run) start(ctx context.Context, h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return r.startLocked(ctx, h)
}

func (r *run) startLocked(ctx context.Context, h *host) error {
	if err := r.world.started(ctx, h.number); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", h.number)
	file := filepath.Join(r.o.Dir, name+".ini")
	if err := os.WriteFile(file, []byte(r.world.settings(h.number)), 0o600); err != nil {
		return err
	}
	p, err := start(ctx, name, filepath.Join(r.o.Dir, name+".log"), r.o.Daemon, "--config", file)
	if err != nil {
		return err
	}
	h.process, h.told = p, false
	r.mu.Lock()
	r.lives++
	r.mu.Unlock()
	return nil
}

// endAll ends every process of the run.
func (r *run) endAll() {
	for _, h := range r.hosts {
		if h.process != nil {
			h.process.kill()
		}
	}
	r.world.stop()
	r.proxy.Close()
}

func (r *run) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *run) say(format string, args ...any) { _, _ = fmt.Fprintf(r.o.Out, format+"\n", args...) }

// network is the first three bytes of what a host reaches: its own view in small runs.
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

// views are the hosts that have a view of their own, 0 for callers and all others.
func (r *run) views() []int {
	views := []int{0}
	for h := 1; h <= r.p.Hosts && r.p.Hosts <= maxOwnViews; h++ {
		views = append(views, h)
	}
	return views
}

// evidence are the last lines of a history that name a word of a broken promise.
func evidence(history []string, broken string) []string {
	var found []string
	for _, word := range strings.Fields(broken) {
		word = strings.Trim(word, "{},:")
		const id = 16
		if len(word) < id && !strings.Contains(word, ":7000") {
			continue
		}
		for i := len(history) - 1; i >= 0 && len(found) < evidenceKept; i-- {
			if strings.Contains(history[i], word) && !strings.Contains(history[i], "answered 200") {
				found = append([]string{history[i]}, found...)
			}
		}
	}
	return found
}
