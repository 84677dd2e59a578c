package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobhost"
	"github.com/agateturn/agateturn/internal/reload"
	"github.com/agateturn/agateturn/settings"
)

// jobSection is the section of a file that makes the daemon serve jobs.
const jobSection = "job_host"

// runJobs is run for a file with jobSection.
func runJobs(line commandLine, out, errOut io.Writer) int {
	s, code, ok := checked(line, out, errOut, loadJobs)
	if !ok {
		return code
	}
	logger := newLogger(s.GetLog(), errOut).With("entry_host", s.GetJobHost().GetName())
	return serve(logger, func(ctx context.Context) error { return serveJobs(ctx, line.Config, s, logger) })
}

func loadJobs(path string) (*pb.JobSettings, error) {
	s := &pb.JobSettings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	return s, config.CheckJobSettings(s)
}

// serveJobs runs until ctx ends. Changes of the file take effect while it runs.
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
