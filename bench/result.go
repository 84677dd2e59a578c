package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Result is what one run of one way gave.
type Result struct {
	Deployment string
	Way        Way
	Offered    int
	// InTime are the requests that finished before their deadlines, Late those that finished after.
	InTime int
	Late   int
	// Shed are the requests that were refused, Lost those that a dead or frozen entry host took with it.
	Shed int
	Lost int
	// ShedAfter is the mean time from a request's arrival until its refusal.
	ShedAfter time.Duration
	// GoodputPerSecond is InTime over the time of the demand.
	GoodputPerSecond float64
	// IdleSlotSeconds adds up the slots that were idle while requests were queued for their pool.
	IdleSlotSeconds float64
	// Recovery is the time after the death until the pool's slots were usable again.
	Recovery time.Duration
	// MeanBytes and MostBytes are the control bytes a second that an entry host sent: the mean, and the one that sent
	// most. Only the messages count, without the framing of the transport.
	MeanBytes float64
	MostBytes float64
	// Violations are the starts on a worker whose slots were all in use.
	Violations int
}

// Way is a way of sharing slots, by its name in the table.
type Way string

// The compared ways.
const (
	HomeSlots         Way = "home slots only"
	HomeSlotsAndLoans Way = "home slots and loans"
	TimedCredits      Way = "dispatcher, timed credits"
	GrantPerRequest   Way = "dispatcher, grant per request"
)

// makers makes each way for a run.
var makers = map[Way]func(*exchange) sharing{
	HomeSlots:         homeSlots,
	HomeSlotsAndLoans: homeSlotsAndLoans,
	TimedCredits:      timedCredits,
	GrantPerRequest:   grantPerRequest,
}

// Run plays the demand of a deployment with every way, for each seed, and returns the mean result of each way.
func Run(d Deployment, seeds []uint64) []Result {
	ways := []Way{HomeSlots, HomeSlotsAndLoans, TimedCredits, GrantPerRequest}
	return lo.Map(ways, func(w Way, _ int) Result { return RunWay(d, w, seeds) })
}

// RunWay plays the demand of a deployment with one way, for each seed, and returns the mean result.
func RunWay(d Deployment, way Way, seeds []uint64) Result {
	var sum Result
	for _, seed := range seeds {
		sum.add(newExchange(d, seed, makers[way]).play())
	}
	sum.Deployment, sum.Way = d.Name, way
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

// divide turns sums over seeds into means. Violations stay a sum, so that a single one shows.
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

// header is the head of the table; the cells of all rows are aligned.
const header = "| deployment \t| way \t| in time \t| goodput/s \t| shed \t| shed after \t| late \t| lost \t| idle slot-s \t| recovery \t| B/s mean \t" +
	"| B/s most \t| violations \t|\n" +
	"|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|\n"

// Print writes results as a table in Markdown.
func Print(w io.Writer, results []Result) error {
	var rows strings.Builder
	rows.WriteString(header)
	for _, r := range results {
		fmt.Fprintf(&rows, "| %s \t| %s \t| %.1f %% \t| %.1f \t| %d \t| %d ms \t| %d \t| %d \t| %.0f \t| %.1f s \t| %.0f \t| %.0f \t| %d \t|\n",
			r.Deployment, r.Way, 100*float64(r.InTime)/float64(r.Offered), r.GoodputPerSecond, r.Shed, r.ShedAfter.Milliseconds(), r.Late, r.Lost,
			r.IdleSlotSeconds, r.Recovery.Seconds(), r.MeanBytes, r.MostBytes, r.Violations)
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	if _, err := io.WriteString(t, rows.String()); err != nil {
		return err
	}
	return t.Flush()
}
