// Package ctl implements the operators' command-line tool.
package ctl

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
	ExitTimeout     = 7
)

// flags are common to all commands.
type flags struct {
	Address   []string `help:"Operator addresses of entry hosts, ip:port; the first that answers is used." env:"AGATETURN_ADDRESS" default:"127.0.1.1:7002"`
	Token     string   `help:"Operator token. Prefer --token-file or the environment." env:"AGATETURN_TOKEN"`
	TokenFile string   `help:"File that holds the operator token." type:"path"`
	Output    string   `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

// commands declares the tool's command line.
type commands struct {
	flags

	Status     statusCmd     `cmd:"" help:"Show the entry hosts, which of them lag, and which block a drain."`
	Pools      poolsCmd      `cmd:"" help:"List pools with their hosts, slots and queues."`
	Services   servicesCmd   `cmd:"" help:"List latencies for each service, team and class."`
	Hosts      hostsCmd      `cmd:"" help:"List, move, and take hosts in and out of service."`
	Waves      wavesCmd      `cmd:"" help:"Create and control maintenance waves."`
	Jobs       jobsCmd       `cmd:"" help:"List, show, explain and cancel jobs, at an entry host that serves jobs."`
	Config     configCmd     `cmd:"" help:"Show, compare and apply configurations."`
	Measures   measuresCmd   `cmd:"" help:"Show buffer cost, roll-out time and moves."`
	Init       initCmd       `cmd:"" help:"Answer the questionnaire and write a configuration."`
	Completion completionCmd `cmd:"" help:"Print a completion script for bash."`
}

// env holds the dependencies of a command.
type env struct {
	ctx    context.Context
	client *client
	out    io.Writer
	errOut io.Writer
	in     io.Reader
	json   bool
	model  *kong.Application
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	var line commands
	helpShown := false
	parser, err := kong.New(&line, kong.Name("agateturnctl"),
		kong.Description("Operates an agateturn deployment."),
		kong.Writers(out, errOut), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		panic(err) // the declaration of the command line is invalid
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return ExitOK
	}
	if err != nil {
		_, _ = io.WriteString(errOut, "agateturnctl: "+err.Error()+"\n")
		return ExitUsage
	}
	token, err := line.token()
	if err == nil {
		err = parsed.Run(&env{
			ctx:    ctx,
			client: newClient(line.Address, token),
			out:    out,
			errOut: errOut,
			in:     in,
			json:   line.Output == "json",
			model:  parser.Model,
		})
	}
	if err != nil {
		_, _ = io.WriteString(errOut, "agateturnctl: "+err.Error()+"\n")
	}
	return exitCode(err)
}

func (f *flags) token() (string, error) {
	if f.TokenFile == "" {
		return f.Token, nil
	}
	data, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return "", errUsage.Wrap(err)
	}
	return strings.TrimSpace(string(data)), nil
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errUsage.Has(err):
		return ExitUsage
	case errRefused.Has(err):
		return ExitRefused
	case errConflict.Has(err):
		return ExitConflict
	case errUnavailable.Has(err):
		return ExitUnavailable
	case errUnknown.Has(err), errCancelled.Has(err):
		return ExitUnknown
	case errWait.Has(err):
		return ExitTimeout
	default:
		return ExitFailed
	}
}

// operationID returns the given id, or a new one if it is empty.
func operationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
