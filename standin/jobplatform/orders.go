package jobplatform

import (
	"context"
	"net/http"
	"time"
)

const maxHoldWait = 2 * time.Second

// orderBody is what a worker is told to start, stop or pace.
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

// serveOrders answers for the present life of a machine.
func (m *machine) serveOrders() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.order((*worker).start))
	mux.HandleFunc("POST /-/run-stop", m.order((*worker).stop))
	mux.HandleFunc("POST /-/pace", m.order((*worker).pace))
	mux.HandleFunc("POST /-/hold", m.hold)
	return mux
}

// intended returns the life that a call is for; it answers if there is none.
func (m *machine) intended(w http.ResponseWriter, r *http.Request) *worker {
	m.mu.Lock()
	life := m.life
	m.mu.Unlock()
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != life.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	return life
}

func (m *machine) order(act func(*worker, orderBody, taskID) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		life := m.intended(w, r)
		var body orderBody
		if life == nil || !readBody(w, r, &body) {
			return
		}
		t, ok := parseTask(body.Task)
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if m.faults.late.next() {
			time.AfterFunc(lateBy, func() { act(life, body, t) })
			panic(http.ErrAbortHandler)
		}
		reason := act(life, body, t)
		if reason == reasonDead || m.losesAnswer() {
			panic(http.ErrAbortHandler)
		}
		if reason != "" {
			writeJSON(w, http.StatusConflict, map[string]any{"clockMs": life.clock(), "reason": reason})
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": life.clock()})
	}
}

// pace is accepted and changes nothing, as no task here disturbs another.
func (w *worker) pace(o orderBody, _ taskID) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(o.Fence) {
		return "fence"
	}
	return ""
}

func (m *machine) hold(w http.ResponseWriter, r *http.Request) {
	life := m.intended(w, r)
	var body holdBody
	if life == nil || !readBody(w, r, &body) {
		return
	}
	if !life.renew(body) {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": life.clock(), "reason": "fence"})
		return
	}
	wait := min(maxHoldWait, time.Duration(body.WaitMs)*time.Millisecond)
	life.awaitEnd(r.Context(), wait)
	report, alive := life.report()
	if !alive || m.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, report)
}

// renew takes note of ends and extends the lease, unless the fence is too low.
func (w *worker) renew(h holdBody) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(h.Fence) {
		return false
	}
	w.forgetLocked(h.LastSeen)
	w.extendLocked(h.UntilMs)
	return true
}

// awaitEnd returns once there is an end to report.
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

// report lists what runs and what ended.
func (w *worker) report() (report map[string]any, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		running = append(running, []any{r.name, r.number, r.checkpoint(), r.percent(now), r.step.CPUMilli})
	}
	ended := make([][]any, 0, len(w.ended))
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{e.number, e.run.name, e.run.number, e.how, e.run.checkpoint()})
	}
	return map[string]any{
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "endedRuns": ended,
	}, !w.dead
}
