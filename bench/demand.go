package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/agateturn/agateturn/admission"
)

// The demand.
const (
	// meanLoad is the mean demand of a service as a share of the capacity of its pool.
	meanLoad     = 0.3
	burstFactor  = 5.0
	lullFactor   = 1.0 / 20
	burstTime    = 4 * time.Second
	burstPeriod  = 5 * time.Second
	warmUp       = 4 * time.Second
	bursts       = 12
	meanRunTime  = 400 * time.Millisecond
	sessionShare = 0.005
	sessionTime  = 8 * time.Second
	urgentShare  = 0.1
	deadline     = 2 * time.Second
	// declaredRunTime differs from meanRunTime, since declared run times are inaccurate in practice.
	declaredRunTime = 100 * time.Millisecond
	// sessionDeadline is the deadline of the few long sessions.
	sessionDeadline = 20 * time.Second
)

// arrival is one request of a caller.
type arrival struct {
	at       time.Time
	pool     string
	team     string
	class    admission.Class
	run      time.Duration
	deadline time.Time
	// balance is a uniform random number in [0, 1) that determines the balancer's choice of an entry host.
	balance float64
}

// burstStart returns the start of a burst.
func burstStart(burst int) time.Time { return start.Add(warmUp + time.Duration(burst)*burstPeriod) }

// start is the first instant of each run.
var start = time.Unix(1_000_000, 0)

// end is the last instant of the demand.
func end() time.Time { return burstStart(bursts) }

// drained returns the time by which the last request has ended.
func drained() time.Time {
	const drain = 25 * time.Second
	return end().Add(drain)
}

// demand generates all requests of a run in order of arrival.
func demand(d Deployment, rng *rand.Rand) []arrival {
	var out []arrival
	for burst := range bursts {
		for i, p := range d.Pools {
			capacity := float64(p.Workers*slotsPerHost) / meanRunTime.Seconds()
			mean := capacity * meanLoad
			from := burstStart(burst)
			if burst%len(d.Pools) == i {
				out = append(out, poisson(p.Name, d.Teams, mean*burstFactor, from, burstTime, rng)...)
				out = append(out, poisson(p.Name, d.Teams, mean*lullFactor, from.Add(burstTime), burstPeriod-burstTime, rng)...)
			} else {
				out = append(out, poisson(p.Name, d.Teams, mean*lullFactor, from, burstPeriod, rng)...)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out
}

// poisson generates Poisson arrivals at a rate per second over a period.
func poisson(pool string, teams int, rate float64, from time.Time, length time.Duration, rng *rand.Rand) []arrival {
	var out []arrival
	at := from
	for {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(from) >= length {
			return out
		}
		out = append(out, request(pool, teams, at, rng))
	}
}

// request draws a random request.
func request(pool string, teams int, at time.Time, rng *rand.Rand) arrival {
	const sigma = 0.5
	a := arrival{
		at:       at,
		pool:     pool,
		team:     teamName(rng.IntN(teams)),
		run:      time.Duration(float64(meanRunTime) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)),
		deadline: at.Add(deadline),
		balance:  rng.Float64(),
	}
	if rng.Float64() < urgentShare {
		a.class = admission.ClassUrgent
	}
	if rng.Float64() < sessionShare {
		a.run = sessionTime
		a.deadline = at.Add(sessionDeadline)
	}
	return a
}
