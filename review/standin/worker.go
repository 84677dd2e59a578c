package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	holdMax    = 10 * time.Second
	stopTime   = 100 * time.Millisecond
	maxWaitMs  = 2000
	endsAtOnce = 500
)

// workSpec is what the callers of this stand-in write into the spec of a job.
type workSpec struct {
	// WorkMs is how long a run of a task takes, FailFirst how many runs of each task end as failed.
	WorkMs    int64 `json:"workMs"`
	FailFirst int   `json:"failFirst"`
}

type run struct {
	task      string
	number    int64
	spec      workSpec
	startedAt time.Time
	failed    bool
}

type endedRun struct {
	n    int64
	task string
	run  int64
	how  string
}

// machine is a machine on which one worker at a time runs, at a fixed address.
type machine struct {
	p       *platform
	id      string
	service string
	labels  []string
	cpu     int64
	memMb   int64

	mu       sync.Mutex
	address  string
	listener net.Listener
	server   *http.Server
	handler  http.Handler
	worker   *worker // nil while it is down
	workerID string
	lives    int
	silentAt time.Time
	state    string
	fence    uint64
	// clockAhead is by how much the machine's time of day is ahead of the true one.
	clockAhead time.Duration
	// startsLater means that startAll leaves the machine out.
	startsLater bool
}

// worker is one life of a machine's worker.
type worker struct {
	m     *machine
	id    string
	born  int64
	began time.Time

	mu      sync.Mutex
	dead    bool
	fence   uint64
	until   int64
	runs    map[string]*run
	over    map[string]int64 // the highest run of each task that was stopped or has ended
	ended   []endedRun
	nextEnd int64
	changed chan struct{}
	seq     int64
}

// start brings a worker up, under the same id as the last one if keepID is set.
func (m *machine) start(keepID bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == "" {
		m.address = network + ".100:0"
	}
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	m.lives++
	if m.workerID == "" || !keepID {
		m.workerID = fmt.Sprintf("w%s-%d", m.id, m.lives)
	}
	now := time.Now()
	w := &worker{
		m: m, id: m.workerID, born: now.Add(m.clockAhead).UnixMilli(), began: now, runs: map[string]*run{}, over: map[string]int64{},
		changed: make(chan struct{}),
	}
	m.worker, m.listener, m.state = w, l, "up"
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serveStart)
	mux.HandleFunc("POST /-/run-stop", w.serveStop)
	mux.HandleFunc("POST /-/hold", w.serveHold)
	mux.HandleFunc("POST /-/pace", w.servePace)
	m.handler = mux
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(l)
	m.p.log("worker %s of %s starts on machine %s, born=%d", w.id, m.service, m.id, w.born)
	m.writeEntry(w)
	go w.beat()
	go w.expire()
	return nil
}

// crash ends the worker at once: its channels break, what it runs is gone, and its address refuses channels.
func (m *machine) crash() {
	m.mu.Lock()
	w, server := m.worker, m.server
	m.worker, m.silentAt = nil, time.Now()
	m.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.dead = true
	for _, r := range w.runs {
		m.p.noteEnd(w, r.task, r.number, "lost", false)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = server.Close()
	m.p.log("worker %s on machine %s crashes", w.id, m.id)
}

// cut cuts the worker off the entry hosts for a time: its channels are reset and new ones are refused. The worker runs on.
func (m *machine) cut(length time.Duration) {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	m.p.log("machine %s is cut off, its channels are reset", m.id)
	_ = server.Close()
	time.AfterFunc(length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		l, err := net.Listen("tcp", m.address)
		if err != nil {
			m.p.log("machine %s cannot listen again: %v", m.id, err)
			return
		}
		m.server = &http.Server{Handler: m.handler}
		go m.server.Serve(l)
		m.p.log("the cut of machine %s is over", m.id)
	})
}

func (m *machine) writeEntry(w *worker) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	m.p.store.put("servers/"+w.id, map[string]any{
		"service": m.service, "address": m.address, "zone": "zone-1", "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"seq": seq, "capacity": map[string]any{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "labels": m.labels, "machine": m.id, "born": w.born,
	})
}

// beat writes the worker's entry every heartbeat, and removes it after three of them of silence.
func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.m.mu.Lock()
		current := w.m.worker
		w.m.mu.Unlock()
		if current == w {
			w.m.writeEntry(w)
			continue
		}
		time.Sleep(2 * heartbeat)
		w.m.mu.Lock()
		replaced := w.m.worker != nil && w.m.worker.id == w.id
		w.m.mu.Unlock()
		if !replaced {
			w.m.p.store.remove("servers/" + w.id)
		}
		return
	}
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.began).Milliseconds() }

// expire ends runs that are done, and all runs once the lease has expired.
func (w *worker) expire() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			switch {
			case w.clock() > w.until:
				w.endLocked(r, "lapsed")
			case time.Since(r.startedAt) < time.Duration(r.spec.WorkMs)*time.Millisecond:
			case r.failed:
				w.endLocked(r, "failed")
			default:
				w.endLocked(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endLocked(r *run, how string) {
	delete(w.runs, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	w.nextEnd++
	w.ended = append(w.ended, endedRun{w.nextEnd, r.task, r.number, how})
	w.m.p.noteEnd(w, r.task, r.number, how, true)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

// accept decodes an order and checks the intended life and the fence. It returns false once it has answered.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock(), "born": w.born})
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return o, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "born": w.born, "reason": reason})
}

func (w *worker) extendLocked(untilMs int64) {
	w.until = max(w.until, min(untilMs, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.UntilMs <= w.clock() {
		w.refuse(rw, "late")
		w.mu.Unlock()
		return
	}
	w.extendLocked(o.UntilMs)
	current := w.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case o.Run <= w.over[o.Task] || current != nil:
		w.refuse(rw, "old")
		w.mu.Unlock()
		return
	default:
		n := &run{task: o.Task, number: o.Run, startedAt: time.Now()}
		_ = json.Unmarshal([]byte(o.Spec), &n.spec)
		n.failed = w.m.p.noteStart(w, o.Task, o.Run, n.spec)
		w.runs[o.Task] = n
	}
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born})
	if hook := w.m.p.onStart; hook != nil {
		hook(w, o.Task)
	}
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	current := w.runs[o.Task]
	w.mu.Unlock()
	if current != nil && current.number == o.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == current && !w.dead {
				w.endLocked(current, "stopped")
			}
		})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born})
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(rw, r); ok {
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born})
	}
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].n <= o.LastSeen {
		w.m.p.noteSeen(w.ended[0].task, w.ended[0].run)
		w.ended = w.ended[1:]
	}
	if o.UntilMs > 0 {
		w.extendLocked(o.UntilMs)
	}
	wait, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if wait && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, maxWaitMs)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := int64(100)
		if x.spec.WorkMs > 0 {
			percent = min(99, 100*time.Since(x.startedAt).Milliseconds()/x.spec.WorkMs)
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), endsAtOnce)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "endedRuns": ended}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// jobOf returns the job of a work item's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
