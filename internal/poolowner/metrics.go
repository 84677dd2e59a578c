package poolowner

import (
	"time"

	"github.com/agateturn/agateturn/stats"
)

// Names of the metrics; docs/OPERATIONS.md has them.
const (
	metricBegun    = "agateturn_job_ack_to_start_seconds"
	metricTakeover = "agateturn_pool_takeover_seconds"
	metricOrders   = "agateturn_orders_total"
)

// Metrics measures owners of pools. A nil Metrics measures nothing. It is safe for concurrent use.
type Metrics struct {
	stats *stats.Stats
}

// NewMetrics returns metrics kept in s.
func NewMetrics(s *stats.Stats) *Metrics { return &Metrics{stats: s} }

// begun takes the time from a job's acceptance to its first start that a worker confirmed.
func (m *Metrics) begun(age time.Duration) {
	if m != nil {
		m.stats.Time(metricBegun, max(age, 0))
	}
}

// tookOver takes the time from the beginning of a term to its first step.
func (m *Metrics) tookOver(d time.Duration) {
	if m != nil {
		m.stats.Time(metricTakeover, d)
	}
}

func (m *Metrics) ordered(kind, outcome string) {
	if m != nil {
		m.stats.Counter(metricOrders, stats.Label{Name: "kind", Value: kind}, stats.Label{Name: "outcome", Value: outcome}).Inc(1)
	}
}

// EndsWaiting is the number of jobs whose progress waits to be made durable.
func (o *Owner) EndsWaiting() int64 { return o.records.pending.Load() }

// DecisionsLost counts the steps whose decisions were not logged because the log's ring was full.
func (o *Owner) DecisionsLost() int64 { return o.decisions.Refused() }
