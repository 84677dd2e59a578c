package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Result holds the figures of one run of one strategy.
type Result struct {
	Deployment string
	Strategy   Strategy
	Offered    int
	// InTime are the requests that finished before their deadlines, Late those that finished after.
	InTime int
	Late   int
	// Shed are the requests that were rejected, Lost those that were lost with a dead or frozen entry host.
	Shed int
	Lost int
	// ShedAfter is the mean time from a request's arrival until its rejection.
	ShedAfter time.Duration
	// GoodputPerSecond is InTime divided by the duration of the demand.
	GoodputPerSecond float64
	// IdleSlotSeconds is the total time, in slot-seconds, that slots were idle while requests were queued for their pool.
	IdleSlotSeconds float64
	// Recovery is the time after the death until the pool's slots were usable again.
	Recovery time.Duration
	// MeanBytes and MostBytes are the control bytes per second that an entry host sent: the mean over the entry hosts, and
	// the largest value of one. Only the messages count, without the framing of the transport.
	MeanBytes float64
	MostBytes float64
	// Violations is the number of requests that were started on a worker whose slots were all in use.
	Violations int
}

// Strategy is the name of a strategy for allocating slots, as printed in the table.
type Strategy string

// The compared strategies.
const (
	HomeSlots         Strategy = "home slots only"
	HomeSlotsAndLoans Strategy = "home slots and loans"
	TimedCredits      Strategy = "dispatcher, timed credits"
	GrantPerRequest   Strategy = "dispatcher, grant per request"
)

// constructors holds the constructor of the allocator of each strategy.
var constructors = map[Strategy]func(*simulation) allocator{
	HomeSlots:         homeSlots,
	HomeSlotsAndLoans: homeSlotsAndLoans,
	TimedCredits:      timedCredits,
	GrantPerRequest:   grantPerRequest,
}

// Run simulates a deployment with every strategy, for each seed, and returns the mean result of each strategy.
func Run(d Deployment, seeds []uint64) []Result {
	strategies := []Strategy{HomeSlots, HomeSlotsAndLoans, TimedCredits, GrantPerRequest}
	return lo.Map(strategies, func(w Strategy, _ int) Result { return RunStrategy(d, w, seeds) })
}

// RunStrategy simulates a deployment with one strategy, for each seed, and returns the mean result.
func RunStrategy(d Deployment, strategy Strategy, seeds []uint64) Result {
	var sum Result
	for _, seed := range seeds {
		sum.add(newSimulation(d, seed, constructors[strategy]).play())
	}
	sum.Deployment, sum.Strategy = d.Name, strategy
	sum.divide(len(seeds))
	return sum
}

func (r *Result) add(o Result) {
	r.Offered += o.Offered
	r.InTime += o.InTime
	r.Late += o.Late
	r.Shed += o.Shed
	r.Lost += o.Lost
	r.ShedAfter += o.ShedAfter
	r.GoodputPerSecond += o.GoodputPerSecond
	r.IdleSlotSeconds += o.IdleSlotSeconds
	r.Recovery += o.Recovery
	r.MeanBytes += o.MeanBytes
	r.MostBytes += o.MostBytes
	r.Violations += o.Violations
}

// divide turns sums over seeds into means. Violations stay a sum, so that a single one is visible.
func (r *Result) divide(n int) {
	r.Offered /= n
	r.InTime /= n
	r.Late /= n
	r.Shed /= n
	r.Lost /= n
	r.ShedAfter /= time.Duration(n)
	r.GoodputPerSecond /= float64(n)
	r.IdleSlotSeconds /= float64(n)
	r.Recovery /= time.Duration(n)
	r.MeanBytes /= float64(n)
	r.MostBytes /= float64(n)
}

// header is the header of the table; the cells of all rows are aligned.
const header = "| deployment \t| way \t| in time \t| goodput/s \t| shed \t| shed after \t| late \t| lost \t| idle slot-s \t| recovery \t| B/s mean \t" +
	"| B/s most \t| violations \t|\n" +
	"|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|\n"

// Print writes results as a table in Markdown.
func Print(w io.Writer, results []Result) error {
	var rows strings.Builder
	rows.WriteString(header)
	for _, r := range results {
		fmt.Fprintf(&rows, "| %s \t| %s \t| %.1f %% \t| %.1f \t| %d \t| %d ms \t| %d \t| %d \t| %.0f \t| %.1f s \t| %.0f \t| %.0f \t| %d \t|\n",
			r.Deployment, r.Strategy, 100*float64(r.InTime)/float64(r.Offered), r.GoodputPerSecond, r.Shed, r.ShedAfter.Milliseconds(), r.Late, r.Lost,
			r.IdleSlotSeconds, r.Recovery.Seconds(), r.MeanBytes, r.MostBytes, r.Violations)
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	if _, err := io.WriteString(t, rows.String()); err != nil {
		return err
	}
	return t.Flush()
}
