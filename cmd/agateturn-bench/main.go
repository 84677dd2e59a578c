// Command agateturn-bench prints a table that compares ways of sharing slots out over entry hosts.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/agateturn/agateturn/bench"
)

// options are the command line.
type options struct {
	Seeds      int    `help:"Number of seeds to run each way with; the table shows the means." default:"5"`
	Deployment string `help:"Deployment to run; both runs the users' two." enum:"agency,brenaz,design,both" default:"both"`
}

// Run prints the table.
func (o *options) Run() error {
	seeds := make([]uint64, o.Seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	var results []bench.Result
	for _, d := range []bench.Deployment{bench.Agency(), bench.Brenaz(), bench.Design()} {
		if o.Deployment == d.Name || o.Deployment == "both" && d.Name != "design" {
			results = append(results, bench.Run(d, seeds)...)
		}
	}
	return bench.Print(os.Stdout, results)
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Compares ways of sharing slots on seeded demand in virtual time."))
	ctx.FatalIfErrorf(ctx.Run())
}
