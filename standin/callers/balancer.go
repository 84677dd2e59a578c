package callers

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// checkPeriod is the time between two readiness checks of a target.
	checkPeriod = 50 * time.Millisecond
	// checkTimeout bounds one readiness check.
	checkTimeout = time.Second
)

// balancer simulates the platform's balancer: it polls each target's readiness check and skips targets that fail it. It
// is safe for concurrent use.
type balancer struct {
	targets []string

	mu    sync.Mutex
	ready map[string]bool
}

func newBalancer(targets []Target) *balancer {
	addresses := lo.Map(targets, func(t Target, _ int) string { return t.Address })
	return &balancer{
		targets: addresses,
		ready:   lo.SliceToMap(addresses, func(a string) (string, bool) { return a, true }),
	}
}

// run checks the targets until ctx ends.
func (b *balancer) run(ctx context.Context, client *http.Client) {
	var checks sync.WaitGroup
	for _, target := range b.targets {
		checks.Go(func() {
			for sleepUntil(ctx, time.Now().Add(checkPeriod)) {
				ok := check(ctx, client, target)
				b.mu.Lock()
				b.ready[target] = ok
				b.mu.Unlock()
			}
		})
	}
	checks.Wait()
}

func check(ctx context.Context, client *http.Client, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// pick returns the planned target or, if that is not ready, the next one that is ready. If none is ready, it returns the
// planned one.
func (b *balancer) pick(planned string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := lo.IndexOf(b.targets, planned)
	for i := range b.targets {
		if next := b.targets[(at+i)%len(b.targets)]; b.ready[next] {
			return next
		}
	}
	return planned
}
