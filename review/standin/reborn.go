package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["reborn"] = reborn }

// reborn: a worker of its own kind is added, whose machine's time of day is two seconds ahead and jumps back a second later. The
// worker then crashes and starts again under its id, so that it names a lower start time than before. A job that needs its kind
// follows.
func reborn(e *env) (string, error) {
	const jump, down, patience = 2 * time.Second, 500 * time.Millisecond, 45 * time.Second
	services := []string{"alpha", "beta"}
	for range 6 {
		e.addMachine("alpha", 32000)
	}
	for range 3 {
		e.addMachine("beta", 32000)
	}
	added := e.addMachine("alpha", 32000)
	added.labels[0], added.startsLater = "b", true
	e.configure(3, services, route{"r-checks", "/checks/", "alpha", 3})
	if err := e.startAll(); err != nil {
		return "", err
	}
	if e.trouble {
		added.setClock(jump)
	}
	if err := added.start(true); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if e.trouble {
		added.setClock(0)
		added.crash()
		time.Sleep(down)
		if err := added.start(true); err != nil {
			return "", err
		}
	}
	time.Sleep(10 * time.Second) // calm for longer than stableWindowMs
	path := "/checks/" + newJobID()
	body := `{"spec":"{\"workMs\":1000}","steps":[{"count":1,"cpu":1800,"memMb":512,"estimateMs":1000,"requiredLabel":"b"}]}`
	if a := e.sys.call(e.sys.any(), http.MethodPost, path, body); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", a.status)
	}
	acked := time.Now()
	var last reply
	over := await(patience, func() bool {
		time.Sleep(time.Second)
		last = e.sys.call(e.sys.any(), http.MethodGet, path, "")
		return strings.Contains(last.body, "completed")
	})
	if !over {
		return fmt.Sprintf("LOST: %.0f s after its ack nothing of the job has run, while the worker of its kind is up and empty: %s",
			time.Since(acked).Seconds(), last.body), nil
	}
	return "", nil
}

// setClock sets by how much the machine's time of day is ahead of the true one.
func (m *machine) setClock(ahead time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clockAhead != ahead {
		m.p.log("the time of day of machine %s is %s ahead from now on", m.id, ahead)
	}
	m.clockAhead = ahead
}
