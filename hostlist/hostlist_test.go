package hostlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/standin/platformd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, handler http.Handler) *hostlist.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := hostlist.New(server.URL, 2*time.Second)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

// fixedAnswer returns a handler with a fixed status and body.
func fixedAnswer(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

func TestDuplicatesAreMergedConservatively(t *testing.T) {
	client := start(t, fixedAnswer(http.StatusOK, `{"hosts":[
		{"name":"w2","role":"worker","state":"live","boot_id":"b2"},
		{"name":"w1","role":"worker","state":"live","boot_id":"b1"},
		{"name":"w2","role":"worker","state":"gone","boot_id":"b3"},
		{"name":"w1","role":"worker","state":"live","boot_id":"b1"}]}`))
	hosts, err := client.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []hostlist.Host{
		{Name: "w1", Role: hostlist.RoleWorker, State: hostlist.StateLive, BootID: "b1"},
		{Name: "w2", Role: hostlist.RoleWorker, State: hostlist.StateLeaving},
	})
}

func TestErrorClasses(t *testing.T) {
	ctx := t.Context()
	_, err := start(t, fixedAnswer(http.StatusOK, `{"hosts":[{"name":"w1","role":"worker","state":"asleep"}]}`)).Hosts(ctx)
	assert.Assert(t, hostlist.Malformed.Has(err), "%v", err)
	_, err = start(t, fixedAnswer(http.StatusOK, `<html>`)).Hosts(ctx)
	assert.Assert(t, hostlist.Malformed.Has(err), "%v", err)
	_, err = start(t, fixedAnswer(http.StatusBadGateway, "")).Hosts(ctx)
	assert.Assert(t, hostlist.Unavailable.Has(err), "%v", err)
	err = start(t, fixedAnswer(http.StatusNotFound, "")).Reboot(ctx, "w1", "op-1")
	assert.Assert(t, hostlist.Refused.Has(err), "%v", err)
	err = start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	})).Checkpoint(ctx, "w1", "op-1")
	assert.Assert(t, hostlist.Unavailable.Has(err), "%v", err)
}

// find returns the host with the given name.
func find(t *testing.T, client *hostlist.Client, name string) hostlist.Host {
	t.Helper()
	hosts, err := client.Hosts(t.Context())
	assert.NilError(t, err)
	for _, host := range hosts {
		if host.Name == name {
			return host
		}
	}
	t.Fatalf("no host %q", name)
	return hostlist.Host{}
}

func TestActionsAreIdempotentPerOperation(t *testing.T) {
	server := platformd.New(platformd.Config{
		Hosts:      []hostlist.Host{{Name: "w1", Role: hostlist.RoleWorker, State: hostlist.StateLive}},
		RebootTime: 20 * time.Millisecond,
	})
	defer server.Close()
	client := start(t, server)
	before := find(t, client, "w1")
	server.SetHostFaults(platformd.HostFaults{LoseNextAnswers: 1})
	err := client.Reboot(t.Context(), "w1", "op-1")
	assert.Assert(t, hostlist.Unavailable.Has(err), "%v", err)
	for range 2 {
		assert.NilError(t, client.Reboot(t.Context(), "w1", "op-1"))
		assert.NilError(t, client.Checkpoint(t.Context(), "w1", "op-2"))
	}
	for find(t, client, "w1").State != hostlist.StateLive {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, find(t, client, "w1").BootID != before.BootID)
	assert.Equal(t, server.Counters().Reboots, 1)
	assert.Equal(t, server.Counters().Checkpoints, 1)
	err = client.Reboot(t.Context(), "w1", "op-2")
	assert.Assert(t, hostlist.Refused.Has(err), "an operation id of another action: %v", err)
}

func Example() {
	server := platformd.New(platformd.Config{
		Hosts: []hostlist.Host{{Name: "w1", Role: hostlist.RoleWorker, State: hostlist.StateLive, BootID: "boot-1"}},
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := hostlist.New(listener.URL, time.Second)
	defer client.Close()
	hosts, _ := client.Hosts(context.Background())
	fmt.Println(hosts[0].Name, hosts[0].State, hosts[0].BootID)
	// Output: w1 live boot-1
}
