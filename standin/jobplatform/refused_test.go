package jobplatform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/store"
)

const viewAddressSuffix = ".8.100:18501"

// control sends a change of the injected faults to the platform.
func (n *unsafeOwner) control(c jobplatform.Control) {
	n.t.Helper()
	body, err := json.Marshal(c)
	assert.NilError(n.t, err)
	w := httptest.NewRecorder()
	n.p.ServeControl(nil).ServeHTTP(w, httptest.NewRequestWithContext(n.t.Context(), http.MethodPut, "/control", strings.NewReader(string(body))))
	assert.Equal(n.t, w.Code, http.StatusOK)
}

// TestRefusedHostsLoseTheirLeases makes the store refuse the clients of one of two views, which lose their keys at once and are
// served again afterwards.
func TestRefusedHostsLoseTheirLeases(t *testing.T) {
	n := newUnsafeOwner(t)
	refused := platform.NewStore(network()+viewAddressSuffix, platform.StoreOptions{})
	defer refused.Close()
	var lost uint64
	for key, kv := range map[string]*platform.Store{"own/refused": refused, "own/served": n.kv} {
		lease, _, err := kv.Grant(t.Context(), time.Minute)
		assert.NilError(t, err)
		_, err = kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: key, Data: []byte("x"), Lease: lease}}})
		assert.NilError(t, err)
		if kv == refused {
			lost = lease
		}
	}

	n.control(jobplatform.Control{Store: &jobplatform.StoreControl{Refused: []string{network() + viewNetworkSuffix}}})
	_, err := refused.Get(t.Context(), "own/served")
	assert.Assert(t, store.Unavailable.Has(err), "%v", err)
	_, _, err = refused.Grant(t.Context(), time.Minute)
	assert.Assert(t, store.Unavailable.Has(err), "%v", err)
	items, _, err := n.kv.Range(t.Context(), "own/", false)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].Key, "own/served")

	n.control(jobplatform.Control{Store: &jobplatform.StoreControl{LateEvery: 1}})
	assert.NilError(t, n.p.Configure(t.Context(), 1, nil, nil), "the operator is no entry host")
	n.control(jobplatform.Control{Store: &jobplatform.StoreControl{}})
	assert.Assert(t, store.LeaseLost.Has(refused.KeepAlive(t.Context(), lost)))
	_, err = refused.Get(t.Context(), "own/served")
	assert.NilError(t, err)
}
