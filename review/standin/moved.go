package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["moved"] = moved }

// moved: an accepted job's route is replaced by one with the same host and prefix that names another service. The caller then
// asks for the job, and its request arrives once more.
func moved(e *env) (string, error) {
	services := []string{"alpha", "beta"}
	for _, s := range services {
		for range 3 {
			e.addMachine(s, 32000)
		}
	}
	e.configure(3, services, route{"r-checks", "/checks/", "alpha", 3})
	if err := e.startAll(); err != nil {
		return "", err
	}
	id := newJobID()
	path := "/checks/" + id
	body := `{"spec":"{\"workMs\":12000}","steps":[{"count":2,"cpu":1800,"memMb":512,"estimateMs":12000}]}`
	if a := e.sys.call(e.sys.any(), http.MethodPost, path, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", a.status)
	}
	acked := time.Now()
	if !await(5*time.Second, func() bool { return len(e.runsOf(id)) == 2 }) {
		return "", fmt.Errorf("the job did not start")
	}
	if e.trouble {
		e.configure(8, services, route{"r-checks-2", "/checks/", "beta", 3})
	}
	time.Sleep(time.Until(acked.Add(6 * time.Second))) // beyond configApplyMs and visible_ms
	var problems []string
	for _, h := range e.sys.hosts {
		if a := e.sys.call(h, http.MethodGet, path, ""); a.status == http.StatusGone {
			problems = append(problems, "LOST: the accepted job is answered 410 by "+h.name)
			break
		}
	}
	e.sys.call(e.sys.any(), http.MethodPost, path, body) // the same request arrives again, seconds after the 2xx
	time.Sleep(3 * time.Second)
	if twice := overlapping(e.runsOf(id)); twice != "" {
		problems = append(problems, "TWICE: "+twice)
	}
	return strings.Join(problems, "; "), nil
}

// overlapping describes two runs of one work item at the same time, if there are any.
func overlapping(runs []startedRun) string {
	now := time.Now()
	end := func(r startedRun) time.Time {
		if r.how == "" {
			return now
		}
		return r.endedAt
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && b.at.Before(end(a)) && a.at.Before(end(b)) {
				return fmt.Sprintf("work item %s runs on %s of %s and on %s of %s at the same time", a.task, a.worker, a.service, b.worker, b.service)
			}
		}
	}
	return ""
}
