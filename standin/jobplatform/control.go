package jobplatform

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Control is one change of the injected faults of the store, the workers and the answers. Zero fields change nothing, except
// that Store replaces all previous store faults.
type Control struct {
	Store *StoreControl `json:"store,omitempty"`
	// LoseEvery, DelayEvery and DelayHoldsEvery are as in LoseAnswers, DelayOrders and DelayHolds.
	LoseEvery       *int `json:"loseEvery,omitempty"`
	DelayEvery      *int `json:"delayEvery,omitempty"`
	DelayHoldsEvery *int `json:"delayHoldsEvery,omitempty"`
	// Compact makes the store discard all past changes, Revoke revokes all leases.
	Compact bool `json:"compact,omitempty"`
	Revoke  bool `json:"revoke,omitempty"`
	// Crash terminates the busiest worker.
	Crash bool `json:"crash,omitempty"`
	// Return is the number of the busiest workers that crash and return under their ids.
	Return int `json:"return,omitempty"`
	// Lapse removes the registry entries of all workers for a time, as in LapseEntries.
	Lapse bool `json:"lapse,omitempty"`
	// Calm reports that the last fault has ended.
	Calm bool `json:"calm,omitempty"`
	// Configure makes the operator write the next version of the configuration.
	Configure bool `json:"configure,omitempty"`
	// Started names an entry host whose process is about to start.
	Started string `json:"started,omitempty"`
}

// StoreControl selects the faults of the store.
type StoreControl struct {
	DelayMs int64 `json:"delayMs"`
	// Silent leaves calls of entry hosts without an answer, Deaf stalls watches.
	Silent bool `json:"silent"`
	Deaf   bool `json:"deaf"`
	// LateEvery applies every nth write late and without an answer; 0 disables this.
	LateEvery int `json:"lateEvery"`
	// Refused holds the networks of the views whose clients are answered 503 and lose their leases at once. They still reach
	// workers and one another.
	Refused []string `json:"refused,omitempty"`
}

// silenceLimit bounds the silence of the store; the next StoreControl ends it earlier.
const silenceLimit = time.Hour

// ServeControl serves Control on PUT /control. It calls configure to write the next version of the configuration.
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
			Plan: p.plan, Delay: time.Duration(c.Store.DelayMs) * time.Millisecond, StallWatches: c.Store.Deaf, LateBy: lateDelay,
			Cut: lo.SliceToMap(c.Store.Refused, func(network string) (string, bool) { return entryHostClients + network, true }),
		})
		for _, network := range c.Store.Refused { // after SetFaults, so that they are granted no other lease
			p.kv.RevokeClient(entryHostClients + network)
		}
		p.faults.lateWrites.interval.Store(int64(c.Store.LateEvery))
		p.SilenceStore(map[bool]time.Duration{true: silenceLimit}[c.Store.Silent])
	}
	if c.LoseEvery != nil {
		p.LoseAnswers(*c.LoseEvery)
	}
	if c.DelayEvery != nil {
		p.DelayOrders(*c.DelayEvery)
	}
	if c.DelayHoldsEvery != nil {
		p.DelayHolds(*c.DelayHoldsEvery)
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
	p.ReturnBusiest(c.Return)
	if c.Lapse {
		p.LapseEntries()
	}
	if c.Calm {
		p.history.Calm(time.Now())
	}
	if c.Started != "" {
		p.history.EntryStarted(c.Started)
	}
}
