package jobplatform

import (
	"net/http"
	"time"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Control is one change from outside: faults of the store, of workers and of answers. Fields that are zero change nothing,
// but for those of Store, which replace all former ones.
type Control struct {
	Store *StoreControl `json:"store,omitempty"`
	// LoseEvery and DelayEvery are as in LoseAnswers and DelayOrders.
	LoseEvery  *int `json:"loseEvery,omitempty"`
	DelayEvery *int `json:"delayEvery,omitempty"`
	// Compact makes the store forget all past changes, Revoke all leases.
	Compact bool `json:"compact,omitempty"`
	Revoke  bool `json:"revoke,omitempty"`
	// Crash ends the busiest worker.
	Crash bool `json:"crash,omitempty"`
	// Calm tells that the last fault has ended.
	Calm bool `json:"calm,omitempty"`
	// Configure has the operator write the next version of the configuration.
	Configure bool `json:"configure,omitempty"`
	// Started names an entry host whose process is about to start.
	Started string `json:"started,omitempty"`
}

// StoreControl is how the store misbehaves.
type StoreControl struct {
	DelayMs int64 `json:"delayMs"`
	// Silent gives entry hosts no answers, Deaf keeps watches from telling changes.
	Silent bool `json:"silent"`
	Deaf   bool `json:"deaf"`
	// LateEvery lets one write in so many take effect late, without an answer; 0 for none.
	LateEvery int `json:"lateEvery"`
}

// silentForever is ended by the next StoreControl.
const silentForever = time.Hour

// ServeControl serves Control on PUT /control. configure is told to write the next version of the configuration.
func (p *Platform) ServeControl(configure func(r *http.Request) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control", func(w http.ResponseWriter, r *http.Request) {
		var c Control
		if !readBody(w, r, &c) {
			return
		}
		p.apply(c)
		if c.Configure {
			if err := configure(r); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}
	})
	return mux
}

func (p *Platform) apply(c Control) {
	if c.Store != nil {
		p.kv.SetFaults(memtxn.Faults{
			Plan: p.plan, Delay: time.Duration(c.Store.DelayMs) * time.Millisecond, StallWatches: c.Store.Deaf, LateBy: lateBy,
		})
		p.faults.lateWrites.many.Store(int64(c.Store.LateEvery))
		p.SilenceStore(map[bool]time.Duration{true: silentForever}[c.Store.Silent])
	}
	if c.LoseEvery != nil {
		p.LoseAnswers(*c.LoseEvery)
	}
	if c.DelayEvery != nil {
		p.DelayOrders(*c.DelayEvery)
	}
	if c.Compact {
		p.kv.Compact()
	}
	if c.Revoke {
		p.kv.RevokeAll()
	}
	if c.Crash {
		p.CrashBusiest()
	}
	if c.Calm {
		p.history.Calm(time.Now())
	}
	if c.Started != "" {
		p.history.EntryStarted(c.Started)
	}
}
