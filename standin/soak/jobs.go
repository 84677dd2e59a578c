package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/standin/jobscenario"
	"github.com/agateturn/agateturn/wait"
)

const (
	callerPort, peerPort, readyPort = 7000, 7001, 7003
	storePort, controlPort          = 18500, 18400
	workerPort, firstWorker         = 9100, 20
	workerBytes                     = 70

	loseEvery, lateEvery, lateWritesEvery = 25, 20, 15
	slowStore                             = 150 * time.Millisecond
	// drainTimeout is the time after the load for callers to await the ends of their jobs and for the stand-in to write its report.
	drainTimeout = 90 * time.Second
)

// jobHarness runs entry hosts that serve jobs, and one stand-in process for platform, workers, operator and callers.
type jobHarness struct {
	*run
	platform *process

	// storeMu is held while the faults of the store are sent, so that the latest are sent last.
	storeMu sync.Mutex
	store   jobplatform.StoreControl
}

func address(network string, last, port int) string {
	return fmt.Sprintf("%s.%d:%d", network, last, port)
}

func (w *jobHarness) launch(ctx context.Context) error {
	if err := w.createLinks(ctx); err != nil {
		return err
	}
	entries := lo.Map(w.hosts, func(h *host, _ int) string { return address(w.network(0), h.number, callerPort) })
	ready := lo.Map(w.hosts, func(h *host, _ int) string { return address(w.real(), h.number, readyPort) })
	pools := strings.Join(lo.Map(w.p.Pools, func(n, _ int) string { return strconv.Itoa(n) }), ",")
	views := lo.Map(w.views(), func(h, _ int) string { return w.network(h) })
	var err error
	w.platform, err = start(ctx, "platform", w.file("platform.log"), w.o.Standin, "jobs",
		"--listen", address(w.real(), standinByte, storePort), "--network", w.real(), "--views", strings.Join(views, ","),
		"--entries", strings.Join(entries, ","), "--ready", strings.Join(ready, ","), "--pools", pools,
		"--duration", w.p.Load.String(), "--rate", fmt.Sprint(w.p.Rate), "--seed", fmt.Sprint(w.p.Seed), "--wave-cap", strconv.Itoa(w.p.WaveCap),
		"--control", address(w.real(), standinByte, controlPort), "--history", w.file("history.log"), "--report", w.file("report.json"))
	if err != nil {
		return err
	}
	return w.awaitControl(ctx)
}

// createLinks creates the links of all views.
func (w *jobHarness) createLinks(ctx context.Context) error {
	for i, view := range w.views() {
		from, visible := "", w.network(view)
		if view > 0 {
			from = fmt.Sprintf("entry-%d", view)
		}
		err := w.proxy.Listen(ctx, Link{from, storeAddress}, address(visible, standinByte, storePort), address(w.real(), standinByte, storePort+1+i))
		for _, h := range w.hosts {
			to, port := fmt.Sprintf("entry-%d", h.number), peerPort
			if view == 0 {
				err = errors.Join(err, w.proxy.Listen(ctx, Link{callersName, to}, address(visible, h.number, callerPort), address(w.real(), h.number, callerPort)))
			}
			err = errors.Join(err, w.proxy.Listen(ctx, Link{from, to}, address(visible, h.number, port), address(w.real(), h.number, port)))
		}
		for n := range lo.Sum(w.p.Pools) {
			last, port := firstWorker+n%workerBytes, workerPort+n/workerBytes
			err = errors.Join(err, w.proxy.Listen(ctx, Link{from, fmt.Sprintf("worker-%d", n+1)}, address(visible, last, port), address(w.real(), last, port)))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *jobHarness) file(name string) string { return filepath.Join(w.o.Dir, name) }

func (w *jobHarness) awaitControl(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < startTimeout; {
		if w.control(ctx, jobplatform.Control{}) == nil {
			return nil
		}
		if w.platform.ended() || wait.For(ctx, retryInterval) != nil {
			break
		}
	}
	return errors.New("the platform did not start; see platform.log")
}

// await waits for the start of the load.
func (w *jobHarness) await(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < startTimeout; {
		log, err := os.ReadFile(w.file("platform.log"))
		if err != nil || bytes.Contains(log, []byte("load begins")) {
			return err
		}
		if wait.For(ctx, retryInterval) != nil {
			break
		}
	}
	return errors.New("the load did not start; see platform.log")
}

func (w *jobHarness) settings(host int) string {
	visible, own := w.network(host), w.real()
	store := address(visible, standinByte, storePort)
	return fmt.Sprintf(`[job_host]
name = entry-%d
data_centre = zone-1
ip = %s.%d
caller_address = %s
peer_address = %s
ready_address = %s
[job_store]
address = %s
writes_per_second = 400
reads_per_second = 2000
[host_api]
address = %s
[job_bounds]
move_time = 1s
upkeep_time = 1500ms
heartbeat = 1s
`, host, own, host, address(own, host, callerPort), address(own, host, peerPort), address(own, host, readyPort), store, store)
}

// control sends a change of the injected faults to the stand-in.
func (w *jobHarness) control(ctx context.Context, c jobplatform.Control) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address(w.real(), standinByte, controlPort)+"/control", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // only the status matters
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control: %s", resp.Status)
	}
	return nil
}

func (w *jobHarness) inject(ctx context.Context, s Step) (end func(), err error) {
	var begin, after jobplatform.Control
	switch s.Action {
	case Store:
		return w.setStoreFault(ctx, s)
	case Compact:
		begin.Compact = true
	case Revoke:
		begin.Revoke = true
	case Crash:
		begin.Crash = true
	case Return:
		begin.Return = s.Workers
	case Lapse:
		begin.Lapse = true
	case Configure:
		begin.Configure = true
	case LoseAnswers:
		begin.LoseEvery, after.LoseEvery = lo.ToPtr(loseEvery), lo.ToPtr(0)
	case DelayOrders:
		begin.DelayEvery, after.DelayEvery = lo.ToPtr(lateEvery), lo.ToPtr(0)
	case DelayHolds:
		begin.DelayHoldsEvery, after.DelayHoldsEvery = lo.ToPtr(lateEvery), lo.ToPtr(0)
	default:
		return nil, fmt.Errorf("unknown fault: %s", s)
	}
	if err := w.control(ctx, begin); err != nil || after == (jobplatform.Control{}) {
		return nil, err
	}
	return func() { w.endFault(ctx, after) }, nil
}

func (w *jobHarness) endFault(ctx context.Context, c jobplatform.Control) {
	if err := w.control(ctx, c); err != nil && ctx.Err() == nil {
		w.reportViolation("a fault could not be ended: %v", err)
	}
}

// setStoreFault adds a fault to the active faults of the store.
func (w *jobHarness) setStoreFault(ctx context.Context, s Step) (end func(), err error) {
	set := func(on bool, send func(jobplatform.Control)) {
		w.storeMu.Lock()
		defer w.storeMu.Unlock()
		switch s.Detail {
		case "slow":
			w.store.DelayMs = lo.Ternary(on, slowStore.Milliseconds(), 0)
		case "silent":
			w.store.Silent = on
		case "deaf":
			w.store.Deaf = on
		case "late":
			w.store.LateEvery = lo.Ternary(on, lateWritesEvery, 0)
		case refusal:
			view := w.network(s.Host)
			w.store.Refused = lo.Without(w.store.Refused, view)
			if on {
				w.store.Refused = append(w.store.Refused, view)
			}
		}
		send(jobplatform.Control{Store: &w.store})
	}
	set(true, func(c jobplatform.Control) { err = w.control(ctx, c) })
	if err != nil {
		return nil, err
	}
	return func() { set(false, func(c jobplatform.Control) { w.endFault(ctx, c) }) }, nil
}

func (w *jobHarness) hostStarting(ctx context.Context, host int) error {
	return w.control(ctx, jobplatform.Control{Started: address(w.network(0), host, callerPort)})
}

func (w *jobHarness) faultsEnded(ctx context.Context) error {
	return w.control(ctx, jobplatform.Control{Calm: true})
}

func (w *jobHarness) verdict(ctx context.Context, out *Outcome) error {
	if err := w.platform.await(ctx, w.p.Load+drainTimeout); err != nil {
		return err
	}
	data, err := os.ReadFile(w.file("report.json"))
	if err != nil {
		return fmt.Errorf("no report, see platform.log: %w", err)
	}
	var result jobscenario.Result
	if err := json.Unmarshal(data, &result); err != nil {
		return err
	}
	c, t := result.Callers, result.Workers
	out.Broken = result.Broken
	if !result.Held() && len(out.Broken) == 0 {
		out.Broken = []string{"not every accepted job ended as it should, see platform.log"}
	}
	if t.ServedAgain == 0 {
		out.Broken = append(out.Broken, fmt.Sprintf("no job was submitted later than %v after the last fault, which ended late", recoveryBound))
	}
	w.sortEvents()
	unexplained, breaks := unexplainedBreaks(w.proxy.Breaks(), w.events)
	out.Broken = append(out.Broken, lo.Map(unexplained, func(f Violation, _ int) string { return f.Text })...)
	out.Checked = map[string]int{
		"connections broken": breaks,
		"starts":             t.Starts, "ends": t.Done + t.Failed + t.Stopped + t.Lapsed + t.Gone + t.Apart, "jobs accepted": c.Accepted,
		"jobs completed": c.Completed, "cancellations": c.CancelsAcknowledged, "upkeeps": t.Upkeeps, "moves": t.Moves,
		"configurations checked": t.Looks, "attempts after the bound": t.ServedAgain,
		"requests with unknown keys": c.UnknownKeys,
	}
	history, err := os.ReadFile(w.file("history.log"))
	if err != nil {
		return err
	}
	for _, violation := range out.Broken {
		out.Evidence = append(out.Evidence, evidence(strings.Split(string(history), "\n"), violation)...)
	}
	return nil
}

func (w *jobHarness) stop() {
	if w.platform != nil {
		w.platform.stop()
	}
}
