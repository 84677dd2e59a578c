// Command agateturn-capacity measures the resource usage of the control plane at several sizes and estimates it at the
// design size. It starts no processes: scripts/capacity.sh does.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/agateturn/agateturn/internal/command"
)

type commands struct {
	Deployment deploymentCommand `cmd:"" help:"Write a configuration of a given size."`
	Sample     sampleCommand     `cmd:"" help:"Measure a running deployment on loopback, and append the samples to a file."`
	Fault      faultCommand      `cmd:"" help:"Control the platform's stand-in: take the store down, bring it back, or reset its counters."`
	Report     reportCommand     `cmd:"" help:"Fit the samples and write the table, the page's tables and the plot."`
}

func main() {
	var line commands
	parsed := kong.Parse(&line,
		kong.Name("agateturn-capacity"),
		kong.Description("Measures the resource usage of the control plane and estimates it at the design size."),
		kong.UsageOnError(),
	)
	command.Run(parsed)
}
