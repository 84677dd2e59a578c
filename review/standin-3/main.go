// Command standin-3 runs the script cases of the third review: it plays the platform, the workers and the requesters, and starts
// the entry hosts as separate processes.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	hostName    = "jobs.example"
	poolName    = "svc-a"
	queuePrefix = "/qa/"
)

var running *deployment

// cannotRun ends the case with exit code 2.
func cannotRun(why string) {
	fmt.Println("could not run:", why)
	if running != nil {
		running.log.add("could not run: %s", why)
		running.log.write(recordPath())
		running.stopAll()
	}
	os.Exit(exitNotRun)
}

func recordPath() string { return os.Args[3] }

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin-3 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*deployment, bool) []string{"ends": endsCase, "wave": waveCase, "crash": crashCase, "nested": nestedCase, "late": lateCase}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no such case")
	}
	running = newDeployment(os.Args[2])
	time.AfterFunc(110*time.Second, func() { cannotRun("too slow") })
	broken := play(running, os.Getenv("TROUBLE") != "0")
	for _, b := range broken {
		running.log.add("BROKEN: %s", b)
	}
	running.log.add("%d breaks", len(broken))
	running.log.write(recordPath())
	running.stopAll()
	fmt.Printf("%d breaks\n", len(broken))
	for i, b := range broken {
		if i < 5 {
			fmt.Println(b)
		}
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

type route struct{ prefix, service string }

// configure writes a version of the configuration.
func (d *deployment) configure(version int, services []string, routes ...route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": "r" + strings.ReplaceAll(r.prefix, "/", "-"), "host": hostName, "prefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetDurationMs": 600, "priority": 0, "service": r.service, "maxAttempts": 3, "stretch": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false,
		})
	}
	d.log.add("operator writes configuration %d: %v", version, routes)
	d.store.put("op/config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// startCloud serves machines for the workers that newWorker makes.
func (d *deployment) startCloud(newWorker func(m *machine) *worker) *cloud {
	c := &cloud{log: d.log, newWorker: newWorker}
	d.cloudAddress = serve(d.ip, c.handler())
	return c
}
