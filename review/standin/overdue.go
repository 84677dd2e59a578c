package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { scenarios["overdue"] = overdue }

// overdue: a caller hands in a job that is due once a minute for a year, and gives its first time in seconds instead of
// milliseconds, so that all its times are past. Another caller's job follows.
func overdue(e *env) (string, error) {
	const times, interval = 525_600, 60_000
	services := []string{"alpha", "beta"}
	for _, s := range services {
		for range 4 {
			e.addMachine(s, 32000)
		}
	}
	e.configure(3, services, route{"r-checks", "/checks/", "alpha", 3})
	if err := e.startAll(); err != nil {
		return "", err
	}
	lasting := newJobID()
	body := `{"spec":"{\"workMs\":1000000}","steps":[{"count":5,"cpu":1800,"memMb":512,"persistent":true,"mayMiss":1,"image":"watch"}]}`
	if a := e.sys.call(e.sys.any(), http.MethodPost, "/checks/"+lasting, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the lasting job was not accepted: %d", a.status)
	}
	if !await(5*time.Second, func() bool { return len(e.runsOf(lasting)) == 5 }) {
		return "", fmt.Errorf("the lasting job did not start")
	}
	first := time.Now().UnixMilli()
	if e.trouble {
		first = time.Now().Unix()
	}
	timed := fmt.Sprintf(`{"spec":"{\"workMs\":100}","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":100}],"repeatCount":%d,"startAtMs":%d,"intervalMs":%d}`,
		times, first, interval)
	if a := e.sys.call(e.sys.any(), http.MethodPost, "/checks/"+newJobID(), timed); a.status != http.StatusOK {
		return "", fmt.Errorf("the timed job was not accepted: %d", a.status)
	}
	time.Sleep(2 * time.Second)
	id := newJobID()
	path := "/checks/" + id
	body = `{"spec":"{\"workMs\":1000}","steps":[{"count":1,"cpu":1800,"memMb":512,"estimateMs":1000}]}`
	if a := e.sys.call(e.sys.any(), http.MethodPost, path, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", a.status)
	}
	acked := time.Now()
	var last reply
	over := await(40*time.Second, func() bool {
		time.Sleep(2 * time.Second)
		e.sys.noteMemory()
		last = e.sys.call(e.sys.any(), http.MethodGet, path, "")
		return strings.Contains(last.body, "completed")
	})
	lapsed := 0
	for _, r := range e.runsOf(lasting) {
		if r.how == "lapsed" {
			lapsed++
		}
	}
	e.log("%d runs of the lasting job have lapsed", lapsed)
	if !over {
		return fmt.Sprintf("LOST: %.0f s after its ack nothing of the other job has run (%d runs), and %d runs of the lasting job have lapsed: %s",
			time.Since(acked).Seconds(), len(e.runsOf(id)), lapsed, last.body), nil
	}
	return "", nil
}

// noteMemory records the memory of the entry hosts.
func (s *system) noteMemory() {
	for _, h := range s.hosts {
		if h.cmd == nil {
			continue
		}
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "VmRSS") {
				s.p.log("memory of %s: %s", h.name, strings.Join(strings.Fields(line)[1:], " "))
			}
		}
	}
}
