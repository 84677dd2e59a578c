package jobhost

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/httpcall"
	"github.com/agateturn/agateturn/internal/meterconn"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/stats"
)

// Names of the metrics. Hosts report 0 for pools that they do not own, so that sums over hosts are correct.
const (
	metricPoolOwned        = "agateturn_pool_owned"
	metricPending          = "agateturn_job_pending"
	metricUnwrittenJobs    = "agateturn_ends_waiting"
	metricDroppedDecisions = "agateturn_decisions_not_logged"
	metricLeaseSlack       = "agateturn_lease_slack_seconds"
	metricStoreCalls       = "agateturn_store_calls_total"
	metricStoreTime        = "agateturn_store_call_seconds"
	metricStoreBytes       = "agateturn_store_call_bytes_total"
	metricWorkerCalls      = "agateturn_worker_calls_total"
	metricWorkerTime       = "agateturn_worker_call_seconds"
	metricWorkerBytes      = "agateturn_worker_call_bytes_total"
)

// metricsEndpoint serves metrics and health checks only.
func (h *Host) metricsEndpoint() endpoint {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metricsHandler())
	mux.Handle("GET /readyz", h.front.ReadyHandler())
	return endpoint{
		address: h.settings.Load().GetJobHost().GetMetricsAddress(), connections: probeConnections, idleTimeout: probeIdleTimeout, handler: mux,
	}
}

// metricsHandler updates the gauges of this host at each request and serves all of its metrics.
func (h *Host) metricsHandler() http.Handler {
	front := h.front.MetricsHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.setGauges() //nolint:contextcheck // the pools bound their queries with timeouts of their own
		front.ServeHTTP(w, r)
	})
}

func (h *Host) setGauges() {
	h.stats.Gauge(metricLeaseSlack).Update(max(h.members.LeaseSlack(), -time.Hour).Seconds())
	table := h.tables.Table()
	if table == nil {
		return
	}
	owners := map[string]*poolowner.Owner{}
	for _, p := range table.Pools {
		h.setPoolGauges(p.Name)
		if owner := h.pools.owner(p.Name); owner != nil {
			owners[p.Name] = owner
		}
	}
	h.workspaceGauges.update(h.stats, owners)
	for _, q := range table.Queues {
		pending, _ := h.pools.Pending(q.Pool, q.Name)
		h.stats.Gauge(metricPending, stats.Label{Name: "queue", Value: q.Name}).Update(float64(pending))
	}
}

func (h *Host) setPoolGauges(pool string) {
	var owned, unwritten, dropped float64
	if owner := h.pools.owner(pool); owner != nil {
		owned = 1
		unwritten = float64(owner.UnwrittenJobs())
		dropped = float64(owner.DroppedDecisions())
	}
	label := stats.Label{Name: "pool", Value: pool}
	h.stats.Gauge(metricPoolOwned, label).Update(owned)
	h.stats.Gauge(metricUnwrittenJobs, label).Update(unwritten)
	h.stats.Gauge(metricDroppedDecisions, label).Update(dropped)
}

// callMeter counts calls by name and outcome, and records their duration by name and their bytes by name and direction.
// Names and outcomes are constants of the client, so their number is bounded. It is safe for concurrent use.
type callMeter struct {
	stats                                *stats.Stats
	callsMetric, timeMetric, bytesMetric string

	mu       sync.Mutex
	counters map[callKey]metrics.Counter
	traffic  map[string]meterconn.Meter
}

type callKey struct {
	call, outcome string
}

func newCallMeter(s *stats.Stats, callsMetric, timeMetric, bytesMetric string) *callMeter {
	return &callMeter{
		stats: s, callsMetric: callsMetric, timeMetric: timeMetric, bytesMetric: bytesMetric,
		counters: map[callKey]metrics.Counter{}, traffic: map[string]meterconn.Meter{},
	}
}

func (m *callMeter) observe(c httpcall.Call) {
	count, traffic := m.metersFor(callKey{call: c.Name, outcome: c.Outcome})
	count.Inc(1)
	traffic.Sent.Inc(c.Sent)
	traffic.Received.Inc(c.Received)
	m.stats.Time(m.timeMetric, c.Took, stats.Label{Name: "call", Value: c.Name})
}

func (m *callMeter) metersFor(key callKey) (metrics.Counter, meterconn.Meter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	callLabel := stats.Label{Name: "call", Value: key.call}
	count, ok := m.counters[key]
	if !ok {
		count = m.stats.Counter(m.callsMetric, callLabel, stats.Label{Name: "outcome", Value: key.outcome})
		m.counters[key] = count
	}
	meter, ok := m.traffic[key.call]
	if !ok {
		meter = meterconn.Meter{
			Sent:     m.stats.Counter(m.bytesMetric, callLabel, stats.Label{Name: "direction", Value: "sent"}),
			Received: m.stats.Counter(m.bytesMetric, callLabel, stats.Label{Name: "direction", Value: "received"}),
		}
		m.traffic[key.call] = meter
	}
	return count, meter
}

// logStarted logs the identity and addresses of this process.
func (h *Host) logStarted(ctx context.Context) {
	s := h.settings.Load()
	host := s.GetJobHost()
	events.Log(ctx, h.log, events.Started,
		slog.String("data_centre", host.GetDataCentre()), slog.String("caller_address", host.GetCallerAddress()),
		slog.String("peer_address", host.GetPeerAddress()), slog.String("operator_address", host.GetOperatorAddress()),
		slog.String("metrics_address", host.GetMetricsAddress()), slog.String("store", s.GetJobStore().GetAddress()),
		slog.Bool("cold_start", host.GetColdStart()))
}
