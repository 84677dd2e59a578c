package movebench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

// usualDuration is the virtual time of a run.
const usualDuration = 2 * time.Hour

// Run measures each policy on each deployment for two hours of virtual time and prints one table. It returns the error of
// writing it.
func Run(w io.Writer, seed uint64) error {
	return RunFor(w, seed, usualDuration)
}

// RunFor is Run for a given virtual time.
func RunFor(w io.Writer, seed uint64, duration time.Duration) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tpolicy\tgoodput %\tmoves\tmean roll-out s\tspare host-hours\tweighted cost\t")
	for i, d := range deployments() {
		for _, p := range policies() {
			printRow(table, d, p.name, newSim(d, p, seed).run(duration))
		}
		swapped := d
		swapped.weights = deployments()[1-i].weights
		own := policy{step: mover.Step}
		printRow(table, d, "agateturn, the other's weights", newSim(swapped, own, seed).run(duration))
	}
	return table.Flush()
}

// printRow prints one result, its cost by the weights of its deployment. An error of writing shows when the table ends.
func printRow(w io.Writer, d deployment, policy string, r result) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%d\t%.1f\t%.1f\t%.0f\t\n",
		d.name, policy, r.goodput(), r.moves, r.meanRollOut().Seconds(), r.idleSpare.Hours(), r.cost(d.weights))
}

// goodput is the share of requests that started within their deadline, in percent.
func (r result) goodput() float64 {
	return 100 * float64(r.inTime) / float64(max(r.asked, 1))
}

func (r result) meanRollOut() time.Duration {
	return r.rollOut / time.Duration(max(r.moves, 1))
}

// cost adds the three measures by their weights: each move, each second of roll-out, each host-hour of buffer.
func (r result) cost(w *pb.Weights) float64 {
	return w.Moves*float64(r.moves) + w.RollOut*r.rollOut.Seconds() + w.Buffer*r.idleSpare.Hours()
}
