package platformd_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/standin/platformd"
	"github.com/agateturn/agateturn/store/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func live(names ...string) []hostlist.Host {
	var hosts []hostlist.Host
	for _, name := range names {
		hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleWorker, State: hostlist.StateLive, BootID: "boot-" + name})
	}
	return hosts
}

// call serves one request by the handler directly, without a network.
func call(t *testing.T, server http.Handler, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorded := httptest.NewRecorder()
	server.ServeHTTP(recorded, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	return recorded
}

func listed(t *testing.T, server http.Handler) []hostlist.Host {
	t.Helper()
	var list hostlist.HostList
	assert.NilError(t, json.Unmarshal(call(t, server, http.MethodGet, "/v1/hosts", "").Body.Bytes(), &list))
	return list.Hosts
}

func TestListLagsAndDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformd.New(platformd.Config{Hosts: live("w1"), ListLag: 30 * time.Second})
		defer server.Close()
		assert.Equal(t, call(t, server, http.MethodPut, "/admin/hosts/w1", `{"state":"leaving"}`).Code, http.StatusOK)
		assert.Equal(t, listed(t, server)[0].State, hostlist.StateLive)
		time.Sleep(29 * time.Second)
		assert.Equal(t, listed(t, server)[0].State, hostlist.StateLive)
		time.Sleep(time.Second)
		assert.Equal(t, listed(t, server)[0].State, hostlist.StateLeaving)
		assert.Equal(t, listed(t, server)[0].BootID, "boot-w1")

		call(t, server, http.MethodPut, "/admin/list", `{"lag":"1s","duplicate":true}`)
		assert.Equal(t, len(listed(t, server)), 2)
		assert.Equal(t, call(t, server, http.MethodPut, "/admin/hosts/w1", `{"state":"asleep"}`).Code, http.StatusBadRequest)
	})
}

func TestRebootNotifiesWorkers(t *testing.T) {
	calls := make(chan string, 2)
	workers := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls <- r.Method + " " + r.URL.Path + " " + r.URL.Query().Encode()
	}))
	defer workers.Close()
	server := platformd.New(platformd.Config{Hosts: live("w1"), RebootTime: time.Millisecond, WorkerAdmin: workers.URL})
	for range 2 {
		assert.Equal(t, call(t, server, http.MethodPost, "/v1/hosts/w1/reboot", `{"operation_id":"op-1"}`).Code, http.StatusAccepted)
	}
	assert.Equal(t, <-calls, "POST /admin/reboot host=w1&seconds=0.001")
	server.Close()
	assert.Equal(t, len(calls), 0)
	assert.Equal(t, call(t, server, http.MethodPost, "/v1/hosts/w9/reboot", `{"operation_id":"op-2"}`).Code, http.StatusNotFound)
}

func TestKeyProtocol(t *testing.T) {
	server := platformd.New(platformd.Config{})
	defer server.Close()
	absent := call(t, server, http.MethodGet, "/v1/kv/a/b", "")
	assert.Equal(t, absent.Code, http.StatusNotFound)
	assert.Equal(t, absent.Header().Get("X-Consul-Index"), "1")
	for _, step := range []struct{ query, answer string }{
		{"?cas=5", "false\n"}, {"?cas=0", "true\n"}, {"?cas=0", "false\n"}, {"?cas=1", "true\n"},
	} {
		assert.Equal(t, call(t, server, http.MethodPut, "/v1/kv/a/b"+step.query, "hello").Body.String(), step.answer)
	}
	found := call(t, server, http.MethodGet, "/v1/kv/a/b?index=1&wait=10s", "")
	assert.Equal(t, found.Body.String(), `[{"Key":"a/b","Value":"aGVsbG8=","ModifyIndex":2}]`+"\n")
	assert.Equal(t, found.Header().Get("X-Consul-Index"), "2")
	assert.Equal(t, call(t, server, http.MethodPut, "/v1/kv/a/b", "x").Code, http.StatusBadRequest)
	assert.Equal(t, call(t, server, http.MethodPut, "/v1/kv/a/b?acquire=none", "x").Code, http.StatusBadRequest)
	assert.Equal(t, call(t, server, http.MethodPut, "/v1/session/renew/none", "").Code, http.StatusNotFound)
	assert.Equal(t, call(t, server, http.MethodPut, "/v1/session/create", `{"TTL":"soon","Behavior":"delete"}`).Code, http.StatusBadRequest)
}

func TestAdminSetsFaultsAndCounts(t *testing.T) {
	server := platformd.New(platformd.Config{})
	defer server.Close()
	call(t, server, http.MethodPut, "/admin/store", `{"down":true}`)
	assert.Equal(t, call(t, server, http.MethodPut, "/v1/kv/a?cas=0", "x").Code, http.StatusServiceUnavailable)
	assert.Equal(t, call(t, server, http.MethodGet, "/v1/kv/a", "").Code, http.StatusServiceUnavailable)
	var counters platformd.Counters
	assert.NilError(t, json.Unmarshal(call(t, server, http.MethodGet, "/admin/counters", "").Body.Bytes(), &counters))
	assert.Equal(t, counters.Store.Total, memstore.Calls{Reads: 1, Writes: 1})
	call(t, server, http.MethodPost, "/admin/counters/reset", "")
	assert.Equal(t, server.Counters().Store.Total, memstore.Calls{})
}

func Example() {
	server := platformd.New(platformd.Config{Hosts: live("w1")})
	defer server.Close()
	listener := httptest.NewServer(server)
	defer listener.Close()
	response, err := http.Get(listener.URL + "/v1/hosts") //nolint:noctx // an example
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	fmt.Print(string(body))
	http.DefaultClient.CloseIdleConnections()
	// Output: {"hosts":[{"name":"w1","role":"worker","state":"live","boot_id":"boot-w1"}]}
}
