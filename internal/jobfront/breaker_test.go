package jobfront

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// TestUnresponsiveStore makes the store hang, for all hosts or for the first one only. Once the breaker has tripped,
// callers get an immediate answer: a 503, or success through a peer. Writes succeed again once the store answers.
func TestUnresponsiveStore(t *testing.T) {
	hangFor := func(victim string) func(string, memtxn.Call) memtxn.Outcome {
		return func(client string, _ memtxn.Call) memtxn.Outcome {
			if victim == "" || client == victim {
				return memtxn.Hang
			}
			return memtxn.Serve
		}
	}
	cases := []struct {
		name, victim string
		status       int
		immediate    int // least number of immediate answers to 100 requests
	}{
		{name: "for all", victim: "", status: http.StatusServiceUnavailable, immediate: 80},
		{name: "for one host", victim: "0", status: http.StatusOK, immediate: 80},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t.Context(), isNotStored)
				id := 0
				submit := func() (int, time.Duration) {
					began := time.Now()
					id++
					return do(f.fronts[0], http.MethodPost, "/a/"+strconv.Itoa(1000+id), "{}").Code, time.Since(began)
				}
				f.kv.SetFaults(memtxn.Faults{Plan: hangFor(c.victim)})
				for range 3 {
					status, took := submit()
					assert.Assert(t, c.status != http.StatusOK || (status == c.status && took < time.Second), "%d after %v", status, took)
				}
				immediate := 0
				for range 100 {
					status, took := submit()
					if status == c.status && took < 150*time.Millisecond {
						immediate++
					}
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, immediate >= c.immediate, "%d", immediate)
				f.kv.SetFaults(memtxn.Faults{})
				for range 3 {
					time.Sleep(probeInterval)
					submit()
				}
				time.Sleep(maxStoreWait) // the hanging writes time out
				status, took := submit()
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, took < 10*time.Millisecond, "%s", took)
			})
		})
	}
}
