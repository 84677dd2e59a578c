package jobplatform

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// wave is an operator's order for upkeep of a set of machines. It is safe for concurrent use.
type wave struct {
	limit    int
	machines map[string]bool

	mu sync.Mutex
	// backAt holds the end times of the upkeeps that have started.
	backAt []time.Time
}

// start records an upkeep and reports whether the limit permits it.
func (w *wave) start() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	down, now := 0, time.Now()
	for _, back := range w.backAt {
		if back.After(now) {
			down++
		}
	}
	w.backAt = append(w.backAt, now.Add(upkeepTime))
	return down < w.limit
}

func (p *Platform) routeMachines(mux *http.ServeMux) {
	mux.HandleFunc("GET /-/machines", p.listMachines)
	mux.HandleFunc("POST /-/machine-move", p.moveMachine)
	mux.HandleFunc("POST /-/machine-upkeep", p.upkeepMachine)
}

func (p *Platform) listMachines(w http.ResponseWriter, _ *http.Request) {
	rows := make([]map[string]any, 0, len(p.machines))
	for _, m := range p.machines {
		rows = append(rows, m.row())
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": ""})
}

func (m *machine) row() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := map[string]any{
		"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels(), "capacity": m.capacity,
	}
	if m.current != nil {
		row["id"] = m.current.id
	}
	return row
}

func (m *machine) labels() []string { return []string{machineKind, m.rack} }

type machineOrderBody struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// readMachineOrder parses an order for a machine. If that fails, it answers the request and returns nil.
func (p *Platform) readMachineOrder(w http.ResponseWriter, r *http.Request) (m *machine, body machineOrderBody, fence uint64) {
	if !readBody(w, r, &body) {
		return nil, body, 0
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	m = p.machine(body.Machine)
	if err != nil || m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, body, 0
	}
	return m, body, fence
}

func (p *Platform) moveMachine(w http.ResponseWriter, r *http.Request) {
	m, body, fence := p.readMachineOrder(w, r)
	if m == nil {
		return
	}
	if _, known := m.pools[body.Pool]; !known {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.answerMachineOrder(w, m.move(body.Pool, r.Header.Get("Lease-Holder"), fence))
}

func (p *Platform) upkeepMachine(w http.ResponseWriter, r *http.Request) {
	m, body, fence := p.readMachineOrder(w, r)
	if m == nil {
		return
	}
	p.mu.Lock()
	ordered := p.waves[body.Wave]
	p.mu.Unlock()
	if ordered == nil || !ordered.machines[m.id] {
		p.answerMachineOrder(w, "wave")
		return
	}
	p.answerMachineOrder(w, m.upkeep(body.Wave, r.Header.Get("Lease-Holder"), fence, ordered.start))
}

func (p *Platform) answerMachineOrder(w http.ResponseWriter, reason string) {
	if p.faults.shouldLoseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
