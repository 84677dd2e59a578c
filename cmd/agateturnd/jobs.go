package main

import (
	"context"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobhost"
	"github.com/agateturn/agateturn/internal/logpipe"
	"github.com/agateturn/agateturn/internal/reload"
	"github.com/agateturn/agateturn/settings"
)

// jobSection is the settings section whose presence makes the daemon serve jobs.
const jobSection = "job_host"

// logCloseTimeout bounds the wait for the last log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

// runJobs runs the daemon for a settings file with jobSection. It returns the exit code.
func runJobs(line commandLine, out, errOut io.Writer) int {
	s, code, ok := loadChecked(line, out, errOut, loadJobs)
	if !ok {
		return code
	}
	limitThreads(s.GetJobHost().GetCores())
	limitMemory(s.GetJobHost().GetMemoryMb())
	pipe := logpipe.New(out)
	logger := pipe.Logger(func(w io.Writer) slog.Handler { return newLogger(s.GetLog(), w).Handler() }).
		With("entry_host", s.GetJobHost().GetName())
	defer closeLog(pipe)
	run := func(ctx context.Context) error { return serveJobs(ctx, line.Config, s, logger) }
	if err := runUntilSignal(run); err != nil {
		events.Emit(context.Background(), logger, events.FailedToRun, "err", err)
		return exitFailed
	}
	return exitOK
}

// limitThreads keeps a small host from running more threads than it has processors for. GOMAXPROCS in the environment
// takes precedence.
func limitThreads(cores float64) {
	if cores > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), int(math.Ceil(cores))))
	}
}

// limitMemory makes the garbage collector run more often before the memory is used up. GOMEMLIMIT in the environment takes precedence.
func limitMemory(megabytes int64) {
	const share = 0.75
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(share * float64(megabytes<<20)))
	}
}

// closeLog writes the last lines, unless the reader stalls.
func closeLog(pipe *logpipe.Pipe) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	pipe.Close(ctx)
}

func loadJobs(path string) (*pb.JobSettings, error) {
	s := &pb.JobSettings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	return s, config.CheckJobSettings(s)
}

// serveJobs runs the entry host until ctx ends, and applies changes of the settings file meanwhile.
func serveJobs(ctx context.Context, file string, s *pb.JobSettings, logger *slog.Logger) error {
	host := jobhost.New(s, logger)
	go reload.Watch(ctx, file, func([]byte) {
		changed, err := loadJobs(file)
		if err != nil {
			events.Emit(ctx, logger, events.SettingsRefused, "file", file, "err", err)
			return
		}
		host.Reload(ctx, changed)
	})
	return host.Run(ctx)
}
