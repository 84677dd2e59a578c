package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["cut"] = cut }

// cut: the links of one worker of nine are cut, with resets, while it runs a work item. The worker runs on.
func cut(e *env) (string, error) {
	const length = 5 * time.Second
	services := []string{"alpha", "beta"}
	for range 9 {
		e.addMachine("alpha", 32000)
	}
	for range 3 {
		e.addMachine("beta", 32000)
	}
	e.configure(3, services, route{"r-checks", "/checks/", "alpha", 3})
	if err := e.startAll(); err != nil {
		return "", err
	}
	id := newJobID()
	body := `{"spec":"{\"workMs\":4000}","steps":[{"count":1,"cpu":1800,"memMb":512,"estimateMs":4000}]}`
	if a := e.sys.call(e.sys.any(), http.MethodPost, "/checks/"+id, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", a.status)
	}
	if !await(5*time.Second, func() bool { return len(e.runsOf(id)) == 1 }) {
		return "", fmt.Errorf("the job did not start")
	}
	time.Sleep(time.Second)
	if e.trouble {
		worker := e.runsOf(id)[0].worker
		for _, m := range e.machines {
			if m.workerID == worker {
				m.cut(length)
			}
		}
	}
	time.Sleep(length + 6*time.Second)
	if twice := overlapping(e.runsOf(id)); twice != "" {
		return "TWICE: " + twice, nil
	}
	return "", nil
}
