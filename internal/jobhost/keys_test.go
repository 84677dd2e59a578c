package jobhost

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// tenants is the list of workspaces in the configuration.
const tenants = `"tenants":[{"name":"north","apiKeys":["k-north"],"weight":1,"cap":{"cpu":0,"memMb":0,"gpu":0}},
	{"name":"south","apiKeys":["k-south"],"weight":1,"cap":{"cpu":900,"memMb":0,"gpu":0}}],`

// call makes a caller's request with a key and returns the status and the body.
func (tc *testCluster) call(t *testing.T, host, method, id, key string) (int, string) {
	t.Helper()
	const body = `{"spec":"ok","steps":[{"count":1,"cpu":900,"memMb":256,"estimateMs":400}],"repeatCount":1,"startAtMs":4102444800000,"intervalMs":1}`
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+tc.callers[host]+"/tiles/"+id, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "maps.example"
	r.Header.Set("Deadline-Ms", "2500")
	r.Header.Set("Api-Key", key)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(answer)
}

func (tc *testCluster) status(t *testing.T, host, method, id, key string) int {
	t.Helper()
	status, _ := tc.call(t, host, method, id, key)
	return status
}

// TestJobsOfWorkspacesOverATakeover guards against a job that another workspace sees or cancels, through any host, before and
// after its owner is cut off from the store and replaced; and against an unknown or removed key that is served by a host that is
// cut off.
func TestJobsOfWorkspacesOverATakeover(t *testing.T) {
	const id, early = "5c0e7a21d94b3701", "5c0e7a21d94b3702"
	withTenants := strings.Replace(table, `"routes"`, tenants+`"routes"`, 1)
	tc := startClusterWith(t, withTenants)
	hosts := []string{"entry-1", "entry-2"}
	owner := tc.owner()
	assert.Equal(t, tc.status(t, hosts[0], http.MethodPost, id, "k-north"), http.StatusOK)
	assert.Equal(t, tc.status(t, hosts[1], http.MethodDelete, early, "k-south"), http.StatusGone)
	assert.Equal(t, tc.status(t, hosts[0], http.MethodPost, early, "k-north"), http.StatusOK)

	checkAll := func() {
		t.Helper()
		for _, host := range hosts {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				assert.Equal(t, tc.status(t, host, method, id, "k-nobody"), http.StatusUnauthorized, "%s on %s", method, host)
			}
			assert.Equal(t, tc.status(t, host, http.MethodGet, "", "k-nobody"), http.StatusUnauthorized, host)
			assert.Equal(t, tc.status(t, host, http.MethodGet, "", "k-south"), http.StatusOK, host)
			assert.Equal(t, tc.status(t, host, http.MethodPost, id, "k-south"), http.StatusConflict, host)
			for _, job := range []string{id, early} {
				assert.Equal(t, tc.status(t, host, http.MethodGet, job, "k-south"), http.StatusGone, host)
				assert.Equal(t, tc.status(t, host, http.MethodDelete, job, "k-south"), http.StatusGone, host)
				status, body := tc.call(t, host, http.MethodGet, job, "k-north")
				assert.Equal(t, status, http.StatusOK, host)
				assert.Assert(t, strings.Contains(body, "queued"), "%s on %s: %s", job, host, body)
			}
		}
	}
	checkAll()
	tc.kv.SetFaults(memtxn.Faults{Cut: map[string]bool{owner: true}})
	tc.waitForLog(t, "pool_taken_over pool=exports", func() bool { return tc.owner() != "" && tc.owner() != owner })
	tc.kv.SetFaults(memtxn.Faults{})
	tc.waitForLog(t, "records_loaded pool=exports", func() bool { return tc.owner() != owner })
	checkAll()

	// A key is removed while one host is cut off from the store: its peer confirms and sends the new version.
	tc.kv.SetFaults(memtxn.Faults{Cut: map[string]bool{"entry-1": true}})
	removed := strings.Replace(strings.Replace(withTenants, `"k-north"`, `"k-new"`, 1), `"version":7`, `"version":8`, 1)
	_, err := tc.kv.Client("operator").Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: "op/config", Data: []byte(removed)}}})
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	for _, host := range hosts {
		status := tc.status(t, host, http.MethodDelete, id, "k-north")
		assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s: %d", host, status)
	}
	time.Sleep(8 * time.Second) // longer than a table may go unconfirmed
	for _, host := range hosts {
		assert.Equal(t, tc.status(t, host, http.MethodGet, id, "k-north"), http.StatusUnauthorized, host)
		assert.Equal(t, tc.status(t, host, http.MethodDelete, id, "k-south"), http.StatusGone, host)
		assert.Equal(t, tc.status(t, host, http.MethodDelete, id, "k-new"), http.StatusOK, "through a peer, by %s", host)
	}
	assert.Assert(t, !strings.Contains(tc.log.String(), "k-no") && !strings.Contains(tc.log.String(), "k-south"))
}
