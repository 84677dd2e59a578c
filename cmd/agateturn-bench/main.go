// Command agateturn-bench prints tables that compare agateturn's decisions with baselines, on seeded demand in virtual
// time.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/agateturn/agateturn/bench"
	"github.com/agateturn/agateturn/movebench"
)

// commands is the command line.
type commands struct {
	Slots slotsCommand `cmd:"" help:"Compare policies of sharing slots among entry hosts."`
	Moves movesCommand `cmd:"" help:"Compare policies of moving hosts between pools."`
}

// slotsCommand compares policies of sharing slots.
type slotsCommand struct {
	Seeds      int    `help:"Number of seeds to run each policy with; the table shows the means." default:"5"`
	Deployment string `help:"Deployment to run; both runs agency and brenaz." enum:"agency,brenaz,design,both" default:"both"`
}

// Run prints the table.
func (c *slotsCommand) Run() error {
	seeds := make([]uint64, c.Seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	var results []bench.Result
	for _, d := range []bench.Deployment{bench.Agency(), bench.Brenaz(), bench.Design()} {
		if c.Deployment == d.Name || c.Deployment == "both" && d.Name != "design" {
			results = append(results, bench.Run(d, seeds)...)
		}
	}
	return bench.Print(os.Stdout, results)
}

// movesCommand compares policies of moving hosts.
type movesCommand struct {
	Seed uint64 `help:"Seed of the demand." default:"1"`
}

// Run prints the table.
func (c *movesCommand) Run() error { return movebench.Run(os.Stdout, c.Seed) }

func main() {
	var line commands
	parsed := kong.Parse(&line, kong.Name("agateturn-bench"), kong.Description("Compares agateturn's decisions with baselines."))
	parsed.FatalIfErrorf(parsed.Run())
}
