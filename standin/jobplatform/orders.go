package jobplatform

import (
	"context"
	"net/http"
	"time"
)

const maxHoldWait = 2 * time.Second

// orderBody is the body of an order to start, stop or pace a run.
type orderBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"untilMs"`
	Fence   uint64 `json:"fence"`
	// Checkpoint is empty for a start from the beginning.
	Checkpoint string `json:"checkpoint"`
}

type holdBody struct {
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	UntilMs  int64  `json:"untilMs"`
	WaitMs   int64  `json:"waitMs"`
}

// serveOrders returns the handler of orders for the current worker of the machine.
func (m *machine) serveOrders() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.order((*worker).start))
	mux.HandleFunc("POST /-/run-stop", m.order((*worker).stop))
	mux.HandleFunc("POST /-/pace", m.order((*worker).pace))
	mux.HandleFunc("POST /-/hold", m.hold)
	return mux
}

// targetWorker returns the worker that the request addresses. If another worker runs now, it answers the request and returns nil;
// without a worker it aborts the connection.
func (m *machine) targetWorker(w http.ResponseWriter, r *http.Request) *worker {
	m.mu.Lock()
	target := m.current
	m.mu.Unlock()
	if target == nil {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != target.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	return target
}

func (m *machine) order(act func(*worker, orderBody, taskID) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		target := m.targetWorker(w, r)
		var body orderBody
		if target == nil || !readBody(w, r, &body) {
			return
		}
		t, ok := parseTask(body.Task)
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if m.faults.lateOrders.next() {
			m.executeLate(target.id, func(w *worker) { act(w, body, t) })
			panic(http.ErrAbortHandler)
		}
		reason := act(target, body, t)
		if reason == reasonDead || m.shouldLoseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if reason != "" {
			writeJSON(w, http.StatusConflict, map[string]any{"clockMs": target.clock(), "reason": reason})
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": target.clock()})
	}
}

// pace accepts the order without effect, because simulated tasks do not interfere with each other.
func (w *worker) pace(o orderBody, _ taskID) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(o.Fence) {
		return "fence"
	}
	return ""
}

func (m *machine) hold(w http.ResponseWriter, r *http.Request) {
	target := m.targetWorker(w, r)
	var body holdBody
	if target == nil || !readBody(w, r, &body) {
		return
	}
	if m.faults.lateHolds.next() {
		m.executeLate(target.id, func(w *worker) { w.renew(body) })
		panic(http.ErrAbortHandler)
	}
	if !target.renew(body) {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": target.clock(), "reason": "fence"})
		return
	}
	wait := min(maxHoldWait, time.Duration(body.WaitMs)*time.Millisecond)
	target.awaitEnd(r.Context(), wait)
	report, alive := target.report()
	if !alive || m.shouldLoseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, report)
}

// renew drops acknowledged ends and extends the lease. It returns false if the fencing token is too low.
func (w *worker) renew(h holdBody) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(h.Fence) {
		return false
	}
	w.expireLocked()
	w.acknowledgeLocked(h.LastSeen)
	w.extendLocked(h.UntilMs)
	return true
}

// awaitEnd returns once there is an end to report, or after wait.
func (w *worker) awaitEnd(ctx context.Context, wait time.Duration) {
	w.mu.Lock()
	waiting, changed := len(w.ended) == 0 && !w.dead, w.changed
	w.mu.Unlock()
	if !waiting {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// report returns the running and ended runs.
func (w *worker) report() (report map[string]any, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		running = append(running, []any{r.name, r.number, r.checkpoint(), r.percent(now), r.step.CPUMilli})
	}
	ended := make([][]any, 0, len(w.ended))
	for _, e := range w.ended[:min(len(w.ended), maxReportedEnds)] {
		ended = append(ended, []any{e.number, e.run.name, e.run.number, e.how, e.run.checkpoint()})
	}
	return map[string]any{
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "endedRuns": ended,
	}, !w.dead
}
