// Command agateturn-standin simulates the external systems in demos and tests: the platform, the workers and the callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/agateturn/agateturn/internal/command"
)

const (
	stopTimeout   = 5 * time.Second
	headerTimeout = 5 * time.Second
)

// commands is the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the platform: key-value store, host list, host actions."`
	Workers  workersCommand  `cmd:"" help:"Serve every worker of a deployment."`
	Judge    judgeCommand    `cmd:"" help:"Check what the workers recorded against the guarantees."`
	Load     loadCommand     `cmd:"" help:"Send a bounded load to entry hosts on loopback and check each answer."`
	Jobs     jobsCommand     `cmd:"" help:"Simulate a platform that runs jobs, and its callers, and compare what both observed."`
	Soak     soakCommand     `cmd:"" help:"Run seeded fault plans against real processes, and check what is observed from outside."`
}

func main() {
	var line commands
	parsed := kong.Parse(&line,
		kong.Name("agateturn-standin"),
		kong.Description("Simulates the platform, the workers and the callers in demos and tests."),
		kong.UsageOnError(),
	)
	command.Run(parsed)
}

// serve answers HTTP on address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx }, // cancelling ctx ends pending watches
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Fprintf(os.Stderr, "listening on %s\n", listener.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return stopServer(ctx, server)
}

// stopServer shuts the server down gracefully. It closes connections that are still active after stopTimeout.
func stopServer(ctx context.Context, server *http.Server) error {
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := server.Shutdown(grace)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
