// Command agateturnd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/entryhost"
	"github.com/agateturn/agateturn/settings"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Config      string `help:"Settings file." type:"path" required:"" short:"c" env:"AGATETURN_NODE_FILE"`
	CheckConfig bool   `help:"Check the settings and exit."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("agateturnd"), kong.Description("Runs one entry host."))
	debug.SetGCPercent(gcPercent)
	os.Exit(run(line, os.Stdout, os.Stderr))
}

// gcPercent makes the garbage collector run when the heap has grown by this share of the live heap. The live heap of an
// entry host is a few megabytes, and memory is its scarcer resource.
const gcPercent = 50

// run checks the settings and runs the daemon until a signal stops it. It returns the exit code.
func run(line commandLine, out, errOut io.Writer) int {
	if settings.HasSection(line.Config, jobSection) {
		return runJobs(line, out, errOut)
	}
	s, code, ok := loadChecked(line, out, errOut, load)
	if !ok {
		return code
	}
	logger := newLogger(s.GetLog(), errOut).With("entry_host", s.GetEntryHost().GetName())
	daemon, err := entryhost.New(s, logger)
	if err != nil {
		events.Emit(context.Background(), logger, events.FailedToRun, "err", err)
		return exitFailed
	}
	if err := runUntilSignal(daemon.Run); err != nil {
		events.Emit(context.Background(), logger, events.FailedToRun, "err", err)
		return exitFailed
	}
	return exitOK
}

// loadChecked loads and checks the settings. It returns false and the exit code if the daemon must not start: the settings
// are invalid, or were only to be checked.
func loadChecked[S any](line commandLine, out, errOut io.Writer, load func(path string) (S, error)) (s S, code int, ok bool) {
	s, err := load(line.Config)
	if err != nil {
		events.Emit(context.Background(), newLogger(nil, errOut), events.SettingsRefused, "file", line.Config)
		_, _ = fmt.Fprintln(errOut, err)
		return s, exitSettings, false
	}
	if line.CheckConfig {
		_, _ = fmt.Fprintln(out, line.Config+": no problems")
		return s, exitOK, false
	}
	return s, exitOK, true
}

// runUntilSignal calls run with a context that is cancelled by an interrupt or SIGTERM.
func runUntilSignal(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}

func load(path string) (*pb.Settings, error) {
	s := &pb.Settings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	return s, config.CheckSettings(s)
}

// errorText replaces an error by its message, as some error types would also print their stack.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

func newLogger(s *pb.LogSettings, out io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.GetLevel())); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorText}
	if s.GetFormat() == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
