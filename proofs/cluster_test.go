package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/settings"
	"github.com/agateturn/agateturn/standin/platformd"
	"github.com/agateturn/agateturn/standin/workers"
	"github.com/agateturn/agateturn/store/kvhttp"
)

const (
	operatorToken = "proof-operator-token"
	// waitTimeout is how long a test waits for a state before it fails.
	waitTimeout = 40 * time.Second
	// totalSlots is the number of slots of the deployment's ten hosts.
	totalSlots = 80
	// pauseLimit is timing.pause_limit of the entry hosts.
	pauseLimit = time.Second
)

// deployment configures two pools of four workers and a spare pool of two.
const deployment = `
[deployment]
name = proof
spare_pool = spare
[maintenance]
max_parallel = 2
max_per_data_centre = 2
[weights]
moves = 1000
[data_centre "a"]
[data_centre "b"]
[pool "left"]
[pool "right"]
[pool "spare"]
min_hosts = 0
[service "left"]
pool = left
availability = 0.5
[service "right"]
pool = right
availability = 0.5
[team "orders"]
quota = 80
`

var daemonPath string

// network is the first half of every address. It depends on the process id so that concurrent runs do not share addresses.
var network = fmt.Sprintf("127.%d", 100+os.Getpid()%100)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "agateturn-proofs")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "agateturnd")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", daemonPath, "../cmd/agateturnd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is one deployment under test.
type cluster struct {
	t        *testing.T
	dir      string
	config   *pb.Configuration
	ini      string
	platform *platformd.Server
	address  string // of the platform
	workers  *workers.Fleet
	entries  map[int]*entry
	size     int
	extra    string // additional sections of the entry hosts' settings
}

// entry is the process of one entry host.
type entry struct {
	number  int
	command *exec.Cmd
	exited  chan struct{}
}

func (e *entry) at(port int) string { return fmt.Sprintf("%s.5.%d:%d", network, e.number, port) }

// newCluster starts the stand-ins and n entry hosts, and applies the configuration.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return newClusterWith(t, n, "")
}

// newClusterWith is newCluster with additional sections in the entry hosts' settings.
func newClusterWith(t *testing.T, n int, extra string) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), entries: map[int]*entry{}, size: n, extra: extra}
	c.ini = deployment + hostSections()
	c.config = &pb.Configuration{}
	assert.NilError(t, settings.Parse("deployment", []byte(c.ini), c.config))
	var err error
	c.workers, err = workers.New(context.Background(), workers.Options{
		Hosts:          c.config.GetHosts(),
		AdminAddress:   network + ".5.100:0",
		Seed:           1,
		DefaultRunTime: workers.RunTime{Median: 20 * time.Millisecond, Sigma: 0.3},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- c.workers.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-served)
	})
	c.startPlatform()
	for i := 1; i <= n; i++ {
		c.start(i)
	}
	t.Cleanup(c.killAll)
	c.await("the operator API", func() bool { return c.call(1, http.MethodGet, "/v1/status", nil, nil) == http.StatusOK })
	assert.Equal(t, c.apply(1, "change-0001", 0, c.ini), http.StatusOK)
	c.awaitReady(n)
	c.awaitSettled(n)
	return c
}

func hostSections() string {
	var b bytes.Buffer
	for i, pool := range []string{"left", "left", "left", "left", "right", "right", "right", "right", "spare", "spare"} {
		fmt.Fprintf(&b, "[host %q]\naddress = %s.6.%d:9100\ndata_centre = %s\nrack = %s%d\npool = %s\n",
			fmt.Sprintf("w%d", i+1), network, i+1, []string{"a", "b"}[i%2], []string{"a", "b"}[i%2], i/4, pool)
	}
	return b.String()
}

func (c *cluster) startPlatform() {
	c.platform = platformd.New(platformd.Config{
		Hosts: lo.Map(c.config.GetHosts(), func(h *pb.Host, _ int) hostlist.Host {
			return hostlist.Host{Name: h.GetName(), Role: hostlist.RoleWorker, State: hostlist.StateLive}
		}),
		RebootTime:  time.Second,
		WorkerAdmin: "http://" + c.workers.Admin(),
	})
	server := httptest.NewUnstartedServer(c.platform)
	listener, err := (&net.ListenConfig{}).Listen(c.t.Context(), "tcp", network+".5.100:0")
	assert.NilError(c.t, err)
	server.Listener = listener
	server.Start()
	c.address = server.URL
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		c.platform.Close()
	})
}

// start starts or restarts the process of an entry host.
func (c *cluster) start(number int) {
	e := &entry{number: number, exited: make(chan struct{})}
	var peers string
	for i := 1; i <= c.size; i++ {
		if i != number {
			peers += fmt.Sprintf("%s.5.%d:7001,", network, i)
		}
	}
	path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.ini", number))
	text := fmt.Sprintf(`
[entry_host]
name = entry-%d
data_centre = %s
caller_address = %s
peer_address = %s
operator_address = %s
peers = %s
[store]
address = %s
timeout = 1s
[platform]
address = %s
poll = 200ms
[operator]
token = %s
[timing]
heartbeat = 200ms
decision = 100ms
controller_lease = 10s
pause_limit = %s
drain_notice = 1s
`, number, []string{"a", "b"}[number%2], e.at(7000), e.at(7001), e.at(7002), peers[:len(peers)-1], c.address, c.address, operatorToken, pauseLimit) + c.extra
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", number)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	e.command = exec.CommandContext(context.Background(), daemonPath, "--config", path)
	e.command.Stderr = log
	assert.NilError(c.t, e.command.Start())
	go func() {
		_ = e.command.Wait()
		_ = log.Close()
		close(e.exited)
	}()
	c.entries[number] = e
}

// signal sends a signal to an entry host. After SIGSTOP it waits until all threads have stopped: the signal is only pending when the
// call returns, and a thread that is running may go on for a while.
func (c *cluster) signal(number int, signal syscall.Signal) {
	c.t.Helper()
	process := c.entries[number].command.Process
	assert.NilError(c.t, process.Signal(signal))
	if signal == syscall.SIGSTOP {
		c.await(fmt.Sprintf("entry-%d stops", number), func() bool { return c.isStopped(process.Pid) })
	}
}

// isStopped reports whether all threads of a process are stopped.
func (c *cluster) isStopped(pid int) bool {
	c.t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	assert.NilError(c.t, err)
	return len(threads) > 0 && lo.EveryBy(threads, func(name string) bool {
		text, err := os.ReadFile(name) //nolint:gosec // a path below /proc
		return os.IsNotExist(err) || err == nil && bytes.Contains(text, []byte("\nState:\tT"))
	})
}

// awaitExit waits until a process exits and returns its exit code.
func (c *cluster) awaitExit(number int) int {
	c.t.Helper()
	select {
	case <-c.entries[number].exited:
	case <-time.After(waitTimeout):
		c.t.Fatalf("entry-%d did not exit", number)
	}
	return c.entries[number].command.ProcessState.ExitCode()
}

// killAll kills the remaining processes and prints the logs of a failed test.
func (c *cluster) killAll() {
	for _, e := range c.entries {
		_ = e.command.Process.Kill()
		<-e.exited
	}
	if !c.t.Failed() {
		return
	}
	for i := range c.entries {
		log, _ := os.ReadFile(filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", i)))
		c.t.Logf("entry-%d:\n%s", i, string(log))
	}
}

// call calls the operator API of an entry host. It returns the status, 0 without an answer.
func (c *cluster) call(number int, method, path string, in, out any) int {
	return c.callWith(context.Background(), number, method, path, in, out)
}

func (c *cluster) callWith(ctx context.Context, number int, method, path string, in, out any) int {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		assert.NilError(c.t, err)
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entries[number].at(7002)+path, body)
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Logf("entry-%d %s %s: %v", number, method, path, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		c.t.Logf("entry-%d %s %s: %d %s", number, method, path, resp.StatusCode, text)
	} else if out != nil {
		_ = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode
}

func (c *cluster) status(number int) operatorapi.Status {
	var s operatorapi.Status
	c.call(number, http.MethodGet, "/v1/status", nil, &s)
	return s
}

func (c *cluster) host(number int, name string) operatorapi.HostStatus {
	h, _ := lo.Find(c.status(number).Hosts, func(h operatorapi.HostStatus) bool { return h.Name == name })
	return h
}

func (c *cluster) apply(number int, changeID string, base uint64, ini string) int {
	return c.call(number, http.MethodPut, "/v1/config",
		operatorapi.ConfigChange{ChangeID: changeID, BaseGeneration: base, INI: ini}, nil)
}

func (c *cluster) move(number int, host, target string) int {
	return c.call(number, http.MethodPost, "/v1/hosts/"+host+"/move",
		operatorapi.MoveOrder{Target: target, OperationID: "operation-" + host + "-" + target}, nil)
}

// await polls until the state is reached.
func (c *cluster) await(what string, reached func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not reached in %s: %s", waitTimeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) awaitReady(n int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d entry hosts ready", n), func() bool {
		return lo.CountBy(c.status(1).Members, func(m operatorapi.MemberStatus) bool { return m.Ready }) == n
	})
}

// awaitSettled waits until all entry hosts together may use all slots and the owners are settled.
func (c *cluster) awaitSettled(n int) {
	c.t.Helper()
	c.await("slots settled", func() bool {
		own := 0
		for i := 1; i <= n; i++ {
			s := c.status(i).Slots
			if s.Waiting > 0 {
				return false
			}
			own += s.Own
		}
		return own == totalSlots && c.settledOwners() == n
	})
}

// settledOwners returns the number of owners in the stored fleet, 0 while they change.
func (c *cluster) settledOwners() int {
	value, err := kvhttp.New(c.address, "agateturn/", "", time.Second).Get(context.Background(), "fleet")
	assert.NilError(c.t, err)
	fleet := &pb.Fleet{}
	assert.NilError(c.t, proto.Unmarshal(value.Data, fleet))
	if len(fleet.GetNextOwners().GetOwners()) > 0 {
		return 0
	}
	return len(fleet.GetOwners().GetOwners())
}
