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

// firstHost is the last byte of the first entry host's address, linkByte that of the links' addresses, which are as long.
const (
	firstHost = 11
	linkByte  = 31
)

// host is an entry host: a process of the deploy file's command.
type host struct {
	name, dir, ip          string
	front, ready, op, peer string
	settings               string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// deployment is the platform with its entry hosts.
type deployment struct {
	root, dir, ip string
	// network is the beginning of the entry hosts' addresses.
	network      string
	store        *kvStore
	cloudAddress string
	hosts        []*host
	log          *record
	reserved     map[string]bool
	// cuts are the links between the host that may be cut off from the others and them; nil without one.
	cuts   []*link
	linked bool
}

// freeAddress returns an address of a loopback ip that nothing listens on.
func (d *deployment) freeAddress(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			cannotRun("no free port: " + err.Error())
		}
		a := l.Addr().String()
		_ = l.Close()
		if !d.reserved[a] {
			d.reserved[a] = true
			return a
		}
	}
}

// newDeployment makes the platform's store. Each entry host has a loopback address of its own, so that no channel takes a port of it;
// everything else listens on 127.0.0.1. All ports are free ones.
func newDeployment(root string) *deployment {
	dir, err := os.MkdirTemp("", "agateturn-review-")
	if err != nil {
		cannotRun(err.Error())
	}
	d := &deployment{root: root, dir: dir, ip: "127.0.0.1", network: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(80), 10+rand.IntN(80)), store: newStore(), log: newRecord(), reserved: map[string]bool{}}
	return d
}

// settingsOf is deploy/agateturn.ini.template, filled in with the figures of the small deployment sites/arcds-agateturn.toml.
const settingsText = `[job_host]
name = %[1]s
data_centre = zone-1
region = region-1
ip = %[2]s
caller_address = %[3]s
ready_address = %[4]s
operator_address = %[5]s
peer_address = %[6]s
metrics_address = %[7]s
cold_start = %[8]t
zones = zone-1
cores = 0.4
memory_mb = 284

[job_store]
address = %[9]s
writes_per_second = 400
reads_per_second = 2000
history = 20s
value_bytes = 1048576
min_lease = 1000ms

[host_api]
address = %[10]s
reads_per_second = 64.0
changes_per_second = 64.0
fencing = true

[policy_service]
address = %[11]s

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

func (d *deployment) addHosts(n int) {
	advice := d.freeAddress(d.ip)
	for i := range n {
		h := &host{name: fmt.Sprintf("front-zone-1-%d", i+1), dir: d.dir}
		h.ip = fmt.Sprintf("%s%d", d.network, firstHost+i)
		h.front, h.ready, h.op, h.peer = d.freeAddress(h.ip), d.freeAddress(h.ip), d.freeAddress(h.ip), d.freeAddress(h.ip)
		h.settings = filepath.Join(d.dir, h.name+".ini")
		d.hosts = append(d.hosts, h)
	}
	views := make([]view, n)
	if d.linked { // each host reaches each other one by a link of its own
		for i, from := range d.hosts {
			for _, to := range d.hosts {
				if from == to {
					continue
				}
				l := newLink(d, from, to)
				views[i].there, views[i].here = append(views[i].there, to.peer), append(views[i].here, l.address)
				d.cuts = append(d.cuts, l)
			}
		}
	}
	for i, h := range d.hosts {
		views[i].Handler = d.store.handler()
		store := serve(d.ip, views[i])
		text := fmt.Sprintf(settingsText, h.name, h.ip, h.front, h.ready, h.op, h.peer, d.freeAddress(h.ip), true, store, d.cloudAddress, advice)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			cannotRun(err.Error())
		}
	}
	for _, h := range d.hosts {
		d.startHost(h)
	}
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
}

// startHost starts the process as the deploy file does.
func (d *deployment) startHost(h *host) {
	h.cmd = exec.Command("target/agateturnd")
	h.cmd.Dir = d.root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "AGATETURN_NODE_FILE=" + h.settings}
	out, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err.Error())
	}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannotRun("start: " + err.Error())
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}(h.cmd, h.exited)
	d.log.add("process of %s starts", h.name)
}

func (d *deployment) awaitReady(h *host) {
	for range 150 {
		if r, err := http.Get("http://" + h.ready + "/-/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun(h.name + " is not ready")
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	d.log.add("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

func (d *deployment) stopAll() {
	for _, h := range d.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// owner returns the entry host that holds a pool.
func (d *deployment) owner(pool string) *host {
	i, ok := d.store.get("agateturn/m/owner/" + pool)
	if !ok {
		return nil
	}
	for _, h := range d.hosts {
		if bytes.Contains(i.Value, []byte(h.name)) {
			return h
		}
	}
	return nil
}

func (d *deployment) awaitOwner(pool string) *host {
	for range 200 {
		if h := d.owner(pool); h != nil {
			return h
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("pool " + pool + " has no owner")
	return nil
}

var client = &http.Client{Timeout: 3 * time.Second}

// call makes a requester's call and returns the status (0: no answer) and the body.
func (d *deployment) call(h *host, method, hostName, path, body string) (int, string) {
	r, _ := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	began := time.Now()
	answer, err := client.Do(r)
	if err != nil {
		d.log.add("%s %s at %s: no answer (%v)", method, path, h.name, err)
		return 0, ""
	}
	defer answer.Body.Close()
	got, _ := io.ReadAll(answer.Body)
	d.log.add("%s %s at %s: %d %s (%d ms)", method, path, h.name, answer.StatusCode, strings.TrimSpace(string(got)), time.Since(began).Milliseconds())
	return answer.StatusCode, strings.TrimSpace(string(got))
}

// write writes the record.
func (l *record) write(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = os.WriteFile(path, []byte(strings.Join(l.lines, "\n")+"\n"), 0o644)
}
