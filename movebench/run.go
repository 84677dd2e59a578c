package movebench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

// defaultDuration is the default virtual time of a run.
const defaultDuration = 2 * time.Hour

// Run measures each policy on each deployment for two hours of virtual time and prints one table. It returns the error
// of the write.
func Run(w io.Writer, seed uint64) error {
	return RunFor(w, seed, defaultDuration)
}

// RunFor does the same as Run for a given virtual time.
func RunFor(w io.Writer, seed uint64, duration time.Duration) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tpolicy\tgoodput %\tmoves\tmean roll-out s\tspare host-hours\tweighted cost\t")
	for i, d := range deployments() {
		for _, p := range policies() {
			printRow(table, d, p.name, newSim(d, p, seed).run(duration))
		}
		swapped := d
		swapped.weights = deployments()[1-i].weights
		moverPolicy := policy{step: mover.Step}
		printRow(table, d, "agateturn, the other's weights", newSim(swapped, moverPolicy, seed).run(duration))
	}
	return table.Flush()
}

// printRow prints one result, with its cost by the weights of its deployment. A write error is returned when the table is
// flushed.
func printRow(w io.Writer, d deployment, policy string, r result) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%d\t%.1f\t%.1f\t%.0f\t\n",
		d.name, policy, r.goodput(), r.moves, r.meanRollOut().Seconds(), r.idleSpare.Hours(), r.cost(d.weights))
}

// goodput returns the share of requests that started within their deadline, in percent.
func (r result) goodput() float64 {
	return 100 * float64(r.inTime) / float64(max(r.offered, 1))
}

func (r result) meanRollOut() time.Duration {
	return r.rollOut / time.Duration(max(r.moves, 1))
}

// cost returns the weighted sum of the moves, the seconds of roll-out and the idle host-hours of the spare pool.
func (r result) cost(w *pb.Weights) float64 {
	return w.Moves*float64(r.moves) + w.RollOut*r.rollOut.Seconds() + w.Buffer*r.idleSpare.Hours()
}
