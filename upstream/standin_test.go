package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/standin/workers"
	"github.com/agateturn/agateturn/upstream"
	"gotest.tools/v3/assert"
)

const (
	standInCallers  = 8
	standInRequests = 25 // of each caller
)

// claim is the outcome that the client reported for a request; passed means a complete response with status 200.
type claim struct {
	id             string
	notRun, passed bool
}

// callAll has callers send requests through a client, and checks each response that is complete.
func callAll(t *testing.T, client *upstream.Client, address string, timeout time.Duration) []claim {
	var mu sync.Mutex
	var claims []claim
	var callers sync.WaitGroup
	for caller := range standInCallers {
		callers.Go(func() {
			for i := range standInRequests {
				c := claim{id: fmt.Sprintf("%d-%d", caller, i)}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				resp, err := client.Do(ctx, upstream.Target{Host: "w1", Address: address}, upstream.Request{
					Method: http.MethodPost, Path: "/?size=200", RequestID: c.id, Echo: true,
					Header: http.Header{"Idempotency-Key": {c.id}}, Body: bytes.NewReader(make([]byte, 100)), ContentLength: 100,
				})
				c.notRun = upstream.NotRun.Has(err)
				if err == nil {
					body, err := io.ReadAll(resp.Body)
					c.passed = err == nil && resp.Status == http.StatusOK
					if c.passed && !bytes.Equal(body, workers.Body(c.id, 200)) {
						t.Errorf("request %s got the response to another request", c.id)
					}
					_ = resp.Body.Close()
				}
				cancel()
				mu.Lock()
				claims = append(claims, c)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return claims
}

// TestStandInFaults injects faults into a stand-in worker and reboots it under load, and checks the reported outcomes
// against the worker's records.
func TestStandInFaults(t *testing.T) {
	const short = 30 * time.Millisecond
	tests := map[string]struct {
		faults workers.Faults
		passes bool // the client returns complete responses despite the fault
		reboot bool
	}{
		"sound":             {passes: true},
		"late":              {faults: workers.Faults{Late: true}, passes: true},
		"twice":             {faults: workers.Faults{Twice: true}, passes: true},
		"crossed":           {faults: workers.Faults{Crossed: true}},
		"cut":               {faults: workers.Faults{Cut: true}},
		"wrong length":      {faults: workers.Faults{WrongLength: true}},
		"hang after header": {faults: workers.Faults{HangAfterHeader: true}},
		"close after read":  {faults: workers.Faults{CloseAfterRead: true}},
		"frozen":            {faults: workers.Faults{Frozen: true}},
		"reboot":            {reboot: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet, err := workers.New(t.Context(), workers.Options{
				Hosts:        []*pb.Host{{Name: "w1", Address: "127.0.0.1:0"}},
				AdminAddress: "127.0.0.1:0", DefaultRunTime: workers.RunTime{Median: time.Millisecond, Sigma: 0.5},
			})
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- fleet.Serve(ctx) }()
			fleet.SetFaults("w1", test.faults)
			if test.reboot {
				time.AfterFunc(5*time.Millisecond, func() { fleet.Reboot("w1", 10*time.Millisecond) })
			}
			timeout := 10 * time.Second
			if test.faults.HangAfterHeader || test.faults.Frozen {
				timeout = short
			}
			client := upstream.New(upstream.Options{})
			claims := callAll(t, client, fleet.Address("w1"), timeout)
			fleet.SetFaults("w1", workers.Faults{}) // a frozen worker now runs the requests it received
			assert.NilError(t, client.Wait(t.Context()))
			cancel()
			assert.NilError(t, <-served)
			checkClaims(t, fleet, claims, test.passes, test.reboot)
		})
	}
}

// checkClaims compares the reported outcomes with the worker's records. passes states whether every response must be complete
// or none; with either set, both are allowed.
func checkClaims(t *testing.T, fleet *workers.Fleet, claims []claim, passes, either bool) {
	recorded := map[string]bool{}
	for _, record := range fleet.Records() {
		recorded[record.RequestID] = true
	}
	assert.Equal(t, len(fleet.Counts().Doubled), 0)
	for _, c := range claims {
		assert.Assert(t, !c.notRun || !recorded[c.id], "%s was reported as not run, but ran", c.id)
		assert.Assert(t, either || c.passed == passes, "%s: response complete: %v", c.id, c.passed)
	}
}
