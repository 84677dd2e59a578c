package poolowner

import (
	"time"

	"github.com/agateturn/agateturn/stats"
)

// Metric names, documented in docs/OPERATIONS.md.
const (
	metricAckToStart = "agateturn_job_ack_to_start_seconds"
	metricTakeover   = "agateturn_pool_takeover_seconds"
	metricOrders     = "agateturn_orders_total"
	metricLostRuns   = "agateturn_runs_lost_total"
	metricCrashes    = "agateturn_worker_crashes_total"
	metricGivenUp    = "agateturn_tasks_given_up_total"
	metricBeyond     = "agateturn_workspace_beyond_weight_total"
	metricContained  = "agateturn_queue_containments_total"
)

// Metrics records metrics of pool owners. A nil *Metrics records nothing. It is safe for concurrent use.
type Metrics struct {
	stats      *stats.Stats
	workspaces workspaceNames
}

// NewMetrics returns Metrics that records into s.
func NewMetrics(s *stats.Stats) *Metrics { return &Metrics{stats: s} }

// observeAckToStart records the time from a job's acceptance to its first start that a worker confirmed.
func (m *Metrics) observeAckToStart(age time.Duration) {
	if m != nil {
		m.stats.Time(metricAckToStart, max(age, 0))
	}
}

// observeTakeover records the time from the start of a term to the end of loading.
func (m *Metrics) observeTakeover(d time.Duration) {
	if m != nil {
		m.stats.Time(metricTakeover, d)
	}
}

func (m *Metrics) countOrder(kind, outcome string) {
	if m != nil {
		m.stats.Counter(metricOrders, stats.Label{Name: "kind", Value: kind}, stats.Label{Name: "outcome", Value: outcome}).Inc(1)
	}
}

func (m *Metrics) countLostRun(reason string) {
	if m != nil {
		m.stats.Counter(metricLostRuns, stats.Label{Name: "reason", Value: reason}).Inc(1)
	}
}

func (m *Metrics) countWorkerCrash() {
	if m != nil {
		m.stats.Counter(metricCrashes).Inc(1)
	}
}

func (m *Metrics) countGivenUp() {
	if m != nil {
		m.stats.Counter(metricGivenUp).Inc(1)
	}
}

// countBeyondWeight counts that a workspace begins to submit jobs beyond its weight.
func (m *Metrics) countBeyondWeight(workspace string) {
	if m != nil {
		m.stats.Counter(metricBeyond, stats.Label{Name: "workspace", Value: m.workspaces.label(workspace)}).Inc(1)
	}
}

func (m *Metrics) countContainment() {
	if m != nil {
		m.stats.Counter(metricContained).Inc(1)
	}
}

// UnwrittenJobs returns the number of jobs whose progress is not durable yet.
func (o *Owner) UnwrittenJobs() int64 { return o.records.pending.Load() }

// DroppedDecisions returns the number of steps whose decisions were not logged because the ring was full.
func (o *Owner) DroppedDecisions() int64 { return o.decisions.Refused() }
