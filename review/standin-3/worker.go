package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = 10 * time.Second // holdMaxMs
	endsAtOne = 500              // ended runs that one answer lists
	stopTime  = 200 * time.Millisecond
	startup   = 300 * time.Millisecond
	beat      = 1500 * time.Millisecond // heartbeatMs
)

// run is one run of a work item on a worker.
type run struct {
	task   string
	number int64
	begun  time.Time
	lasts  time.Duration
	cpu    int64
}

type ended struct {
	number int64
	run    *run
	how    string
	at     time.Time
	record *endRecord
}

// worker is a worker as PROTOCOL.md describes it, with enforcesCapacity false. It is sound and never loses an answer.
type worker struct {
	id, service, machine, zone, rack, address string
	cpu, mem                                  int64
	log                                       *record
	born                                      time.Time
	server                                    *http.Server
	// silent means that the worker's entry stays until its status reports have been missing for three intervals.
	silent bool

	mu      sync.Mutex
	fence   uint64
	until   int64
	runs    map[string]*run // by work item and run
	ends    []*ended
	endsSeq int64
	highest map[string]int64
	changed chan struct{}
	gone    bool
	seq     int64
	// deaf is closed with a new one while the worker gives no answers.
	deafUntil time.Time
}

func newWorker(log *record, ip, id, service, machine string, cpu, mem int64) *worker {
	w := &worker{
		id: id, service: service, machine: machine, zone: "zone-1", rack: "rack-1", cpu: cpu, mem: mem, log: log, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.order(w.start))
	mux.HandleFunc("POST /-/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /-/pace", w.order(func(*order) string { return "" }))
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	w.address = l.Addr().String()
	go func() { _ = w.server.Serve(l) }()
	go w.tick()
	return w
}

// register keeps the worker's entry in the store.
func (w *worker) register(s *kvStore) {
	go func() {
		for {
			w.mu.Lock()
			w.seq++
			entry, gone := map[string]any{
				"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
				"coldRemainingMs": 0, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
				"clockMs": w.clock(), "seq": w.seq, "machine": w.machine, "born": w.born.UnixMilli(),
			}, w.gone
			w.mu.Unlock()
			if gone {
				if w.silent {
					time.Sleep(2 * beat)
				}
				s.remove("servers/" + w.id)
				return
			}
			s.put("servers/"+w.id, entry)
			time.Sleep(beat)
		}
	}()
}

func (w *worker) clock() int64 { return 480000 + time.Since(w.born).Milliseconds() }

// tick ends the runs whose work is done, and all runs once the lease has expired.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		lapsed := w.clock() > w.until
		for _, r := range w.sortedRunsLocked() {
			switch {
			case lapsed:
				w.endLocked(r, "lapsed")
			case r.lasts > 0 && time.Since(r.begun) >= r.lasts:
				w.endLocked(r, "done")
			}
		}
		if lapsed {
			w.log.lapse(w.ends)
		}
		w.mu.Unlock()
	}
}

func (w *worker) sortedRunsLocked() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return a.begun.Compare(b.begun) })
	return all
}

func key(task string, number int64) string { return task + "#" + strconv.FormatInt(number, 10) }

func (w *worker) endLocked(r *run, how string) {
	delete(w.runs, key(r.task, r.number))
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.endsSeq++
	e := &ended{number: w.endsSeq, run: r, how: how, at: time.Now()}
	e.record = w.log.end(w.id, r.task, r.number, how)
	w.ends = append(w.ends, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the worker as if its process had died: its channels are closed, and it says nothing more.
func (w *worker) crash() {
	w.silent = true
	w.leave()
	_ = w.server.Close()
}

// leave ends the worker with all that runs on it, as an upkeep or a move does.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, r := range w.sortedRunsLocked() {
		delete(w.runs, key(r.task, r.number))
		w.log.end(w.id, r.task, r.number, "gone with its worker")
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

// take reads a call to the worker. It answers and returns nil if that fails, the worker is gone or another was meant.
func (w *worker) take(rw http.ResponseWriter, r *http.Request) *order {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil
	}
	w.mu.Lock()
	gone, deaf := w.gone, time.Until(w.deafUntil)
	w.mu.Unlock()
	if deaf > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(deaf):
		}
		panic(http.ErrAbortHandler)
	}
	if gone {
		panic(http.ErrAbortHandler)
	}
	if meant := r.Header.Get("Expect-Instance"); meant != "" && meant != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	return &o
}

func (w *worker) order(do func(*order) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o := w.take(rw, r)
		if o == nil {
			return
		}
		w.mu.Lock()
		reason := ""
		if o.Fence < w.fence {
			reason = "fence"
		} else {
			w.fence = o.Fence
			reason = do(o)
		}
		clock := w.clock()
		w.mu.Unlock()
		if reason != "" {
			reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
			return
		}
		reply(rw, 200, map[string]any{"clockMs": clock})
	}
}

func (w *worker) extendLocked(until int64) {
	w.until = max(w.until, min(until, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(o *order) string {
	if o.UntilMs <= w.clock() {
		return "late"
	}
	if w.clock() > w.until { // what ran has lapsed
		for _, r := range w.sortedRunsLocked() {
			w.endLocked(r, "lapsed")
		}
	}
	w.extendLocked(o.UntilMs)
	if w.runs[key(o.Task, o.Run)] != nil {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	r := &run{task: o.Task, number: o.Run, begun: time.Now(), lasts: lasts(o.Spec)}
	w.runs[key(o.Task, o.Run)] = r
	w.log.start(w.id, o.Task, o.Run, o.Spec)
	return ""
}

// lasts returns how long a work item works: its spec begins with that in ms. 0 means until it is stopped.
func lasts(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.Fields(spec + " 0")[0])
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stop(o *order) string {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[key(o.Task, o.Run)]; r != nil {
		time.AfterFunc(stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key(r.task, r.number)] == r {
				w.endLocked(r, "stopped")
			}
		})
	}
	return ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o := w.take(rw, r)
	if o == nil {
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		clock := w.clock()
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = o.Fence
	if o.UntilMs > 0 {
		w.extendLocked(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.log.note(w.ends[0].record)
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for o.WaitMs > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if expired {
			break
		}
	}
	running, list := [][]any{}, [][]any{}
	for _, x := range w.sortedRunsLocked() {
		percent := int64(100)
		if x.lasts > 0 {
			percent = min(99, int64(100*time.Since(x.begun)/x.lasts))
		} else if time.Since(x.begun) < startup {
			percent = 10
		}
		running = append(running, []any{x.task, x.number, "", percent, 40})
	}
	for _, e := range w.ends[:min(len(w.ends), endsAtOne)] {
		list = append(list, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "endedRuns": list}
	w.mu.Unlock()
	reply(rw, 200, body)
}

func (w *worker) counts() (running, unacked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs), len(w.ends)
}

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	lines  []string
	tasks  map[string]*taskRecord
	starts int
}

type taskRecord struct {
	starts []startRecord
	ends   []*endRecord
}

type startRecord struct {
	at     time.Time
	worker string
	run    int64
}

type endRecord struct {
	at     time.Time
	worker string
	task   string
	run    int64
	how    string
	// noted is when lastSeen reached the end. lapsed means that the lease lapsed before that.
	noted  time.Time
	lapsed bool
}

func newRecord() *record { return &record{begun: time.Now(), tasks: map[string]*taskRecord{}} }

func (l *record) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(format, values...)
}

func (l *record) addLocked(format string, values ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%8.3f  ", time.Since(l.begun).Seconds())+fmt.Sprintf(format, values...))
}

func (l *record) taskLocked(task string) *taskRecord {
	t := l.tasks[task]
	if t == nil {
		t = &taskRecord{}
		l.tasks[task] = t
	}
	return t
}

func (l *record) start(worker, task string, number int64, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	t := l.taskLocked(task)
	t.starts = append(t.starts, startRecord{time.Now(), worker, number})
	l.addLocked("worker %s starts %s run %d spec %q", worker, task, number, spec)
}

func (l *record) end(worker, task string, number int64, how string) *endRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &endRecord{at: time.Now(), worker: worker, task: task, run: number, how: how}
	t := l.taskLocked(task)
	t.ends = append(t.ends, e)
	l.addLocked("worker %s ends %s run %d %s", worker, task, number, how)
	return e
}

func (l *record) note(e *endRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.noted.IsZero() {
		e.noted = time.Now()
	}
}

func (l *record) lapse(ends []*ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range ends {
		e.record.lapsed = true
	}
}

// twice returns the starts of work items of which a run had ended done, where that end was taken note of then or later and the
// lease had not lapsed between the two.
func (l *record) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, t := range l.tasks {
		for _, s := range t.starts {
			for _, e := range t.ends {
				if e.how == "done" && s.at.After(e.at) && !e.noted.IsZero() && !e.lapsed {
					out = append(out, fmt.Sprintf("%s: run %d ended done on %s at %.3f and was taken note of at %.3f; run %d starts on %s at %.3f",
						task, e.run, e.worker, e.at.Sub(l.begun).Seconds(), e.noted.Sub(l.begun).Seconds(), s.run, s.worker, s.at.Sub(l.begun).Seconds()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
