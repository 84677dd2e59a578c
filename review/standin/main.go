// Command standin shows the cases of the review. It serves the platform, the workers and the callers on loopback addresses, and
// starts the system's entry hosts as the deploy file does.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// scenario shows one case. It returns what of the rule was broken, empty if it held.
type scenario func(e *env) (verdict string, err error)

// env is what a scenario uses.
type env struct {
	*platform
	sys     *system
	trouble bool
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY, from the repository's root")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	play := scenarios[name]
	dir, err := os.MkdirTemp("", "agateturn-review-")
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no temporary folder:", err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs of the entry hosts:", dir)
	}
	p, err := newPlatform(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	e := &env{platform: p, trouble: os.Getenv("TROUBLE") != "0"}
	if e.sys, err = newSystem(p, dir, 3); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	p.log("case %s, trouble %t", name, e.trouble)
	type result struct {
		verdict string
		err     error
	}
	done := make(chan result, 1)
	go func() {
		verdict, err := play(e)
		done <- result{verdict, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("not over after %s", limit)
	case <-signals:
		r.err = fmt.Errorf("interrupted")
	}
	e.sys.stopAll()
	code := held
	switch {
	case r.err != nil:
		code = notRun
		p.log("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
	case r.verdict != "":
		code = broken
		p.log("broken: %s", r.verdict)
		fmt.Println("broken:", r.verdict)
	default:
		p.log("held")
		fmt.Println("held")
	}
	p.mu.Lock()
	p.closed = true
	p.record.Close()
	p.mu.Unlock()
	return code
}

// startAll starts the workers and the entry hosts, and waits until they serve.
func (e *env) startAll() error {
	for _, m := range e.machines {
		if m.startsLater {
			continue
		}
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, h := range e.sys.hosts {
		if err := e.sys.start(h); err != nil {
			return err
		}
	}
	if !e.sys.awaitReady(15 * time.Second) {
		return fmt.Errorf("the entry hosts are not ready")
	}
	time.Sleep(4 * time.Second) // the pools have owners, and the workers have reported to them
	return nil
}

// await polls until ok, or until the limit has passed.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}
