package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/wait"
)

// pollStatus records the status of an entry host until ctx is done.
func (w *requestHarness) pollStatus(ctx context.Context, number int) {
	for wait.For(ctx, pollInterval) == nil {
		incarnation := w.incarnation(number)
		s, ok := w.status(ctx, number)
		if !ok || w.incarnation(number) != incarnation {
			continue
		}
		short, _ := lo.Find(s.Pools, func(p operatorapi.PoolStatus) bool {
			return p.Name != poolName(len(w.p.Pools)-1) && p.Active*2 < p.Hosts
		})
		w.seenMu.Lock()
		w.seen.Views = append(w.seen.Views, View{At: time.Now(), Host: number, Life: incarnation, Generation: s.Generation, Short: short.Name})
		w.seenMu.Unlock()
	}
}

// call sends a JSON request over HTTP and returns the status, 0 without a valid answer.
func (w *requestHarness) call(ctx context.Context, method, url string, in, out any) int {
	body, err := json.Marshal(in)
	if err != nil {
		return 0
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	r.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	return resp.StatusCode
}

func (w *requestHarness) callOperator(ctx context.Context, number int, method, path string, in, out any) int {
	return w.call(ctx, method, address(w.real(), number, operatorPort)+path, in, out)
}

func (w *requestHarness) status(ctx context.Context, number int) (s operatorapi.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s, w.callOperator(ctx, number, http.MethodGet, "/v1/status", nil, &s) == http.StatusOK
}

// configure submits the next configuration change to an entry host and reports whether it was accepted.
func (w *requestHarness) configure(ctx context.Context, number int) bool {
	s, ok := w.status(ctx, number)
	if !ok {
		return false
	}
	w.seenMu.Lock()
	w.changes++
	change := w.changes
	w.seenMu.Unlock()
	order := operatorapi.ConfigChange{
		ChangeID: fmt.Sprintf("change-%04d", change), BaseGeneration: s.Generation, INI: w.deployment(w.network(0), change),
	}
	if w.callOperator(ctx, number, http.MethodPut, "/v1/config", order, nil) != http.StatusOK {
		return false
	}
	w.seenMu.Lock()
	defer w.seenMu.Unlock()
	w.seen.Accepted = append(w.seen.Accepted, Accepted{At: time.Now(), Generation: s.Generation + 1})
	return true
}
