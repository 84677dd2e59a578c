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

// TestSilentStore lets the store hang: for all hosts, or for the first. Callers are answered at once after a while, by a
// refusal or by a peer's write; and all is well after the store answers again.
func TestSilentStore(t *testing.T) {
	hang := func(whom string) func(string, memtxn.Call) memtxn.Outcome {
		return func(client string, _ memtxn.Call) memtxn.Outcome {
			if whom == "" || client == whom {
				return memtxn.Hang
			}
			return memtxn.Serve
		}
	}
	cases := []struct {
		name, whom string
		status     int
		atOnce     int // of 100 requests
	}{
		{name: "for all", whom: "", status: http.StatusServiceUnavailable, atOnce: 80},
		{name: "for one host", whom: "0", status: http.StatusOK, atOnce: 80},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t.Context(), surelyNotStored)
				id := 0
				ask := func() (int, time.Duration) {
					began := time.Now()
					id++
					return do(f.fronts[0], http.MethodPost, "/a/"+strconv.Itoa(1000+id), "{}").Code, time.Since(began)
				}
				f.kv.SetFaults(memtxn.Faults{Plan: hang(c.whom)})
				for range 3 {
					status, took := ask()
					assert.Assert(t, c.status != http.StatusOK || (status == c.status && took < time.Second), "%d after %v", status, took)
				}
				atOnce := 0
				for range 100 {
					status, took := ask()
					if status == c.status && took < 150*time.Millisecond {
						atOnce++
					}
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, atOnce >= c.atOnce, "%d", atOnce)
				f.kv.SetFaults(memtxn.Faults{})
				for range 3 {
					time.Sleep(probeEvery)
					ask()
				}
				time.Sleep(maxWait) // writes that hang end
				status, took := ask()
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, took < 10*time.Millisecond, "%s", took)
			})
		})
	}
}
