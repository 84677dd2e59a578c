package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the platform, with its worker.
type machine struct {
	id, pool, state string
	worker          *worker
	fence           uint64
	upkeeps         map[int64]time.Time
}

// cloud is the platform's API for machines. It checks fences and answers every call.
type cloud struct {
	mu       sync.Mutex
	machines []*machine
	log      *record
	// newWorker starts the worker of a machine that joins its pool.
	newWorker func(m *machine) *worker
}

const upkeepTime = 2 * time.Second

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		rows := []map[string]any{}
		for _, m := range c.machines {
			row := map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": "zone-1", "labels": []string{"a", "rack-1"},
				"capacity": map[string]any{"cpu": 32000, "memMb": 65536, "gpu": 0},
			}
			if m.worker != nil {
				row["id"] = m.worker.id
			}
			rows = append(rows, row)
		}
		reply(w, 200, map[string]any{"machines": rows, "nextToken": nil})
	})
	mux.HandleFunc("POST /-/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, true) })
	mux.HandleFunc("POST /-/machine-move", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, false) })
	return mux
}

func (c *cloud) add(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.upkeeps = map[int64]time.Time{}
	m.state = "up"
	if c.newWorker != nil && m.worker == nil {
		m.worker = c.newWorker(m)
	}
	c.machines = append(c.machines, m)
	c.log.add("machine %s is there, in pool %s", m.id, m.pool)
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request, upkeep bool) {
	var b struct {
		Machine, Pool string
		Wave          int64
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	refuse := func(reason string) { reply(w, http.StatusConflict, map[string]any{"reason": reason}) }
	for _, m := range c.machines {
		if m.id != b.Machine {
			continue
		}
		if fence < m.fence {
			refuse("fence")
			return
		}
		m.fence = fence
		down := "moving"
		if upkeep {
			down = "upkeep"
			if _, done := m.upkeeps[b.Wave]; done {
				reply(w, 200, struct{}{})
				return
			}
		} else if m.pool == b.Pool {
			reply(w, 200, struct{}{})
			return
		}
		if m.state != "up" {
			refuse("busy")
			return
		}
		if upkeep {
			m.upkeeps[b.Wave] = time.Now()
			c.log.add("machine %s begins its upkeep for wave %d (ordered by %s)", m.id, b.Wave, r.Header.Get("Lease-Holder"))
		} else {
			m.pool = b.Pool
			c.log.add("machine %s moves to %s", m.id, b.Pool)
		}
		m.state = down
		if m.worker != nil {
			m.worker.leave()
			m.worker = nil
		}
		time.AfterFunc(upkeepTime, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			m.state = "up"
			if c.newWorker != nil {
				m.worker = c.newWorker(m)
			}
		})
		reply(w, 200, struct{}{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (c *cloud) begun(id string, wave int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if _, ok := m.upkeeps[wave]; m.id == id && ok {
			return true
		}
	}
	return false
}

// crash ends the worker of a machine without a word. A new one, with another id, is there after a time.
func (c *cloud) crash(m *machine, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.worker == nil {
		return
	}
	c.log.add("worker %s of machine %s crashes", m.worker.id, m.id)
	m.state = "down"
	m.worker.crash()
	m.worker = nil
	time.AfterFunc(down, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		m.worker = c.newWorker(m)
		c.log.add("worker %s of machine %s is up", m.worker.id, m.id)
	})
}
