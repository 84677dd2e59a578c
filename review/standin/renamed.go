package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["renamed"] = renamed }

// renamed: a version of the configuration replaces a route by one with another name and the same host, prefix, service and
// attempts. The entry host that owns the pool is killed afterwards, while a job of the route has attempts left.
func renamed(e *env) (string, error) {
	const attempts, failures = 5, 3
	services := []string{"alpha", "beta"}
	for _, s := range services {
		for range 3 {
			e.addMachine(s, 32000)
		}
	}
	e.configure(3, services, route{"r-checks", "/checks/", "alpha", attempts})
	if err := e.startAll(); err != nil {
		return "", err
	}
	id := newJobID()
	path := "/checks/" + id
	body := fmt.Sprintf(`{"spec":"{\"workMs\":4000,\"failFirst\":%d}","steps":[{"count":1,"cpu":1800,"memMb":512,"estimateMs":4000}]}`, failures)
	if a := e.sys.call(e.sys.any(), http.MethodPost, path, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", a.status)
	}
	if !await(5*time.Second, func() bool { return len(e.runsOf(id)) == 1 }) {
		return "", fmt.Errorf("the job did not start")
	}
	if e.trouble {
		e.configure(8, services, route{"r-checks-2", "/checks/", "alpha", attempts})
		time.Sleep(2500 * time.Millisecond) // configApplyMs
		owner := e.sys.ownerOf("alpha")
		if owner == nil {
			return "", fmt.Errorf("the pool has no owner")
		}
		e.sys.kill(owner)
	}
	var last reply
	over := await(60*time.Second, func() bool {
		time.Sleep(time.Second)
		last = e.sys.call(e.sys.any(), http.MethodGet, path, "")
		return strings.Contains(last.body, "completed") || strings.Contains(last.body, "failed")
	})
	if !over {
		return "", fmt.Errorf("the job did not end: %s", last.body)
	}
	failed := 0
	for _, r := range e.runsOf(id) {
		if r.how == "failed" {
			failed++
		}
	}
	e.log("%d runs have ended failed, %d attempts are allowed", failed, attempts)
	if strings.Contains(last.body, "failed") && failed < attempts {
		return fmt.Sprintf("LOST: the job is shown as failed after %d failed runs of a work item, %d are allowed", failed, attempts), nil
	}
	return "", nil
}
