package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entryHost is a process of the system.
type entryHost struct {
	name  string
	front string
	ready string
	file  string
	cmd   *exec.Cmd
	log   *os.File
}

// system is the entry hosts of the deployment.
type system struct {
	p     *platform
	dir   string
	hosts []*entryHost
}

// network is the first three bytes of the addresses of one run, so that no other listener or channel takes their ports.
var network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))

// freeAddresses returns free addresses of an entry host.
func freeAddresses(ip string, count int) ([]string, error) {
	var all []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all, nil
}

// settings follow the template of the deploy file, with the bounds of the small deployments.
const settings = `[job_host]
name = %s
data_centre = zone-1
region = region-1
ip = %s
caller_address = %s
ready_address = %s
operator_address = %s
peer_address = %s
metrics_address = %s
cold_start = true
zones = zone-1
cores = 0.4
memory_mb = 284

[job_store]
address = %s
writes_per_second = 400
reads_per_second = 2000
history = 20s
value_bytes = 1048576
min_lease = 1000ms

[host_api]
address = %s
reads_per_second = 64
changes_per_second = 64
fencing = true

[job_bounds]
max_lease = 10000ms
stop_time = 400ms
gang_time = 3000ms
early = 250ms
retention = 120s
cross_rack_factor = 3
save_interval = 1s
restore_time = 600ms
notice = 4500ms
move_time = 1.5s
upkeep_time = 2s
controller_lease = 3000ms
pace_delay = 100ms
harm_time = 4000ms
drain_time = 2000ms
apply_time = 2000ms
apply_stretch = 5000ms
grace = 6s
stable_window = 3000ms
ack_time = 4000ms
cancel_time = 3000ms
visible_time = 3000ms
heartbeat = 1500ms
order_delivery = dispatch

[log]
level = info

[job_upkeep]
learn = 20s
`

func newSystem(p *platform, dir string, count int) (*system, error) {
	s := &system{p: p, dir: dir}
	for n := range count {
		ip := fmt.Sprintf("%s.%d", network, n+1)
		free, err := freeAddresses(ip, 5)
		if err != nil {
			return nil, err
		}
		h := &entryHost{name: fmt.Sprintf("front-%d", n+1), front: free[0], ready: free[1]}
		h.file = filepath.Join(dir, h.name+".ini")
		text := fmt.Sprintf(settings, h.name, ip, free[0], free[1], free[2], free[3], free[4], p.address, p.address)
		if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

// start starts the process of an entry host as the deploy file does.
func (s *system) start(h *entryHost) error {
	var err error
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(s.dir, h.name+".log")); err != nil {
			return err
		}
	}
	h.cmd = exec.Command("target/agateturnd")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATETURN_NODE_FILE=" + h.file}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.p.log("entry host %s is started", h.name)
	return h.cmd.Start()
}

// kill ends the process of an entry host with SIGKILL.
func (s *system) kill(h *entryHost) {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	h.cmd = nil
	s.p.log("entry host %s is killed", h.name)
}

func (s *system) stopAll() {
	for _, h := range s.hosts {
		s.kill(h)
	}
}

// awaitReady waits until all entry hosts pass the readiness check.
func (s *system) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			r, err := http.Get("http://" + h.ready + "/-/ready")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// ownerOf returns the entry host that owns a pool, as the store shows.
func (s *system) ownerOf(pool string) *entryHost {
	for _, i := range s.p.store.find("agateturn/m/owner/" + pool) {
		for _, h := range s.hosts {
			if bytes.Contains(i.Value, []byte(h.name)) {
				return h
			}
		}
	}
	return nil
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is the answer to a caller; status 0 means that there was none.
type reply struct {
	status int
	body   string
}

// call makes a caller's request to one entry host.
func (s *system) call(h *entryHost, method, path, body string) reply {
	r, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(r)
	if err != nil {
		s.p.log("%-6s %s at %s -> no answer: %v", method, path, h.name, err)
		return reply{}
	}
	defer got.Body.Close()
	data, _ := io.ReadAll(got.Body)
	a := reply{got.StatusCode, strings.TrimSpace(string(data))}
	s.p.log("%-6s %s at %s -> %d %s", method, path, h.name, a.status, a.body)
	return a
}

// any returns a live entry host.
func (s *system) any() *entryHost {
	for {
		if h := s.hosts[rand.IntN(len(s.hosts))]; h.cmd != nil {
			return h
		}
	}
}
