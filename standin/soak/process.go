package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// process is a child process of the soak, as start returns it.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	// endedAt is set once exited is closed.
	endedAt time.Time
}

// start runs a program with its output appended to a log. The process outlives ctx so that it can be stopped gracefully.
func start(ctx context.Context, name, log, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, command: exec.CommandContext(context.WithoutCancel(ctx), program, args...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	go func() {
		_ = p.command.Wait() // the result is in ProcessState
		_ = out.Close()
		p.endedAt = time.Now()
		close(p.exited)
	}()
	return p, nil
}

// signal has no effect on a process that has ended.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// await waits for the process to end, at most for limit.
func (p *process) await(ctx context.Context, limit time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(limit):
		return fmt.Errorf("%s did not end in %v", p.name, limit)
	}
}

// stop stops the process gracefully and kills it after stopTimeout.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	if p.await(context.Background(), stopTimeout) != nil {
		p.kill()
	}
}

// kill ends the process in any state and waits for it.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}
