package jobplatform

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// wave is an order of upkeeps. It is safe for concurrent use.
type wave struct {
	limit    int
	machines map[string]bool

	mu sync.Mutex
	// backAt are the ends of the upkeeps that have begun.
	backAt []time.Time
}

// begin notes an upkeep and tells whether the limit allows it.
func (w *wave) begin() bool {
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
	if m.life != nil {
		row["id"] = m.life.id
	}
	return row
}

func (m *machine) labels() []string { return []string{machineKind, m.rack} }

type dutyBody struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// duty reads an order for a machine; it answers and returns nil if that fails.
func (p *Platform) duty(w http.ResponseWriter, r *http.Request) (m *machine, body dutyBody, fence uint64) {
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
	m, body, fence := p.duty(w, r)
	if m == nil {
		return
	}
	if _, known := m.pools[body.Pool]; !known {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.answerDuty(w, m.move(body.Pool, r.Header.Get("Lease-Holder"), fence))
}

func (p *Platform) upkeepMachine(w http.ResponseWriter, r *http.Request) {
	m, body, fence := p.duty(w, r)
	if m == nil {
		return
	}
	p.mu.Lock()
	ordered := p.waves[body.Wave]
	p.mu.Unlock()
	if ordered == nil || !ordered.machines[m.id] {
		p.answerDuty(w, "wave")
		return
	}
	p.answerDuty(w, m.upkeep(body.Wave, r.Header.Get("Lease-Holder"), fence, ordered.begin))
}

func (p *Platform) answerDuty(w http.ResponseWriter, reason string) {
	if p.faults.loses() {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
