package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// platform is the store, the machines and the record of what was sent, answered and run.
type platform struct {
	store    *kvStore
	address  string
	machines []*machine
	// onStart is called after a worker has answered a start.
	onStart func(w *worker, task string)

	began  time.Time
	mu     sync.Mutex
	record *os.File
	starts []startedRun
	closed bool
}

// startedRun is a run that a worker has started.
type startedRun struct {
	task    string
	number  int64
	service string
	worker  string
	at      time.Time
	endedAt time.Time
	how     string
	// listed is set for an end that the worker can report, seen once it was acknowledged.
	listed, seen bool
}

func newPlatform(record string) (*platform, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p := &platform{store: newStore(), began: time.Now(), record: f}
	l, err := net.Listen("tcp", network+".200:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("/", p.store.handler())
	mux.HandleFunc("GET /-/machines", p.serveMachines)
	mux.HandleFunc("POST /-/machine-move", p.serveMove)
	mux.HandleFunc("POST /-/machine-upkeep", p.serveUpkeep)
	go http.Serve(l, mux)
	return p, nil
}

// log writes a line of the record.
func (p *platform) log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logLocked(format, args...)
}

func (p *platform) logLocked(format string, args ...any) {
	if !p.closed {
		fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// noteStart records a start and returns whether the run is to end as failed.
func (p *platform) noteStart(w *worker, task string, number int64, spec workSpec) (failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	earlier := 0
	for _, s := range p.starts {
		if s.task == task {
			earlier++
		}
	}
	p.starts = append(p.starts, startedRun{task: task, number: number, service: w.m.service, worker: w.id, at: time.Now()})
	p.logLocked("start  task=%s run=%d service=%s worker=%s", task, number, w.m.service, w.id)
	return earlier < spec.FailFirst
}

func (p *platform) noteEnd(w *worker, task string, number int64, how string, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.starts {
		s := &p.starts[i]
		if s.task == task && s.number == number && s.worker == w.id && s.how == "" {
			s.how, s.endedAt, s.listed = how, time.Now(), listed
		}
	}
	p.logLocked("end    task=%s run=%d service=%s worker=%s how=%s", task, number, w.m.service, w.id, how)
}

func (p *platform) noteSeen(task string, number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.starts {
		if s := &p.starts[i]; s.task == task && s.number == number {
			s.seen = true
		}
	}
	p.logLocked("seen   task=%s run=%d", task, number)
}

// runsOf returns the runs of a job so far.
func (p *platform) runsOf(job string) []startedRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []startedRun
	for _, s := range p.starts {
		if jobOf(s.task) == job {
			out = append(out, s)
		}
	}
	return out
}

func (p *platform) addMachine(service string, cpu int64, labels ...string) *machine {
	m := &machine{p: p, id: fmt.Sprintf("m%02d", len(p.machines)+1), service: service, cpu: cpu, memMb: 65536}
	m.labels = append([]string{"a", fmt.Sprintf("r%d", len(p.machines)/4+1)}, labels...)
	p.machines = append(p.machines, m)
	return m
}

func (p *platform) serveMachines(w http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, m := range p.machines {
		m.mu.Lock()
		state, id := "down", ""
		if m.worker != nil {
			state, id = m.state, m.workerID
		}
		list = append(list, map[string]any{
			"machine": m.id, "pool": m.service, "state": state, "zone": "zone-1", "labels": m.labels,
			"capacity": map[string]any{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "id": id,
		})
		m.mu.Unlock()
	}
	answer(w, http.StatusOK, map[string]any{"machines": list})
}

// serveMove moves a machine to another pool: its worker ends, and a new one comes after 1.5 s.
func (p *platform) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	for _, m := range p.machines {
		if m.id != body.Machine {
			continue
		}
		m.mu.Lock()
		switch {
		case fence < m.fence:
			m.mu.Unlock()
			answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		case m.service == body.Pool:
			m.mu.Unlock()
			answer(w, http.StatusOK, map[string]any{})
		case m.worker == nil:
			m.mu.Unlock()
			answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		default:
			m.fence = fence
			m.mu.Unlock()
			p.log("machine %s moves from %s to %s", m.id, m.service, body.Pool)
			m.crash()
			m.mu.Lock()
			m.service = body.Pool
			m.mu.Unlock()
			time.AfterFunc(1500*time.Millisecond, func() { _ = m.start(false) })
			answer(w, http.StatusOK, map[string]any{})
		}
		return
	}
	answer(w, http.StatusBadRequest, map[string]any{})
}

func (p *platform) serveUpkeep(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusConflict, map[string]any{"reason": "wave"})
}

// route is a route of the configuration.
type route struct {
	Name, Prefix, Service string
	MaxAttempts           int
}

const routeHost = "jobs.example"

// configure writes a version of the configuration, as the operator does.
func (p *platform) configure(version int, services []string, routes ...route) {
	wireRoutes, wireServices := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name": r.Name, "host": routeHost, "prefix": r.Prefix, "service": r.Service, "kind": "unsafe", "timeoutMs": 3000,
			"targetDurationMs": 600, "priority": 0, "maxAttempts": r.MaxAttempts, "stretch": 1.6,
		})
		p.log("configuration %d: route %s prefix=%s service=%s maxAttempts=%d", version, r.Name, r.Prefix, r.Service, r.MaxAttempts)
	}
	if len(routes) == 0 {
		p.log("configuration %d: no route", version)
	}
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{"name": s, "maxConns": 64, "enforcesCapacity": false, "spare": false})
	}
	p.store.put("op/config", map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	p.log("configuration %d is acknowledged", version)
}
