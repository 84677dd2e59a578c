package jobhost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/httpcall"
	"github.com/agateturn/agateturn/internal/meterconn"
	"github.com/agateturn/agateturn/stats"
)

// Names of the metrics. Hosts that do not own a pool tell 0 for it, so that sums over hosts are right.
const (
	metricPoolOwned     = "agateturn_pool_owned"
	metricPending       = "agateturn_job_pending"
	metricEndsWaiting   = "agateturn_ends_waiting"
	metricDecisionsLost = "agateturn_decisions_not_logged"
	metricLeaseSlack    = "agateturn_lease_slack_seconds"
	metricStoreCalls    = "agateturn_store_calls_total"
	metricStoreTime     = "agateturn_store_call_seconds"
	metricStoreBytes    = "agateturn_store_call_bytes_total"
	metricWorkerCalls   = "agateturn_worker_calls_total"
	metricWorkerTime    = "agateturn_worker_call_seconds"
	metricWorkerBytes   = "agateturn_worker_call_bytes_total"
)

// listenMetrics serves metrics and health checks alone, if the settings name an address for them.
func (h *Host) listenMetrics(ctx context.Context, group *errgroup.Group) error {
	address := h.settings.Load().GetJobHost().GetMetricsAddress()
	if address == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metricsHandler())
	mux.Handle("GET /readyz", h.front.ReadyHandler())
	h.serve(ctx, group, listener, mux)
	return nil
}

// metricsHandler serves the metrics of the front, and those of the pools that this host owns.
func (h *Host) metricsHandler() http.Handler {
	front := h.front.MetricsHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.setGauges() //nolint:contextcheck // the pools bound the time of their answers themselves
		front.ServeHTTP(w, r)
	})
}

func (h *Host) setGauges() {
	h.stats.Gauge(metricLeaseSlack).Update(max(h.members.LeaseSlack(), -time.Hour).Seconds())
	table := h.tables.Table()
	if table == nil {
		return
	}
	for _, p := range table.Pools {
		h.setPoolGauges(p.Name)
	}
	for _, q := range table.Queues {
		pending, _ := h.pools.Pending(q.Pool, q.Name)
		h.stats.Gauge(metricPending, stats.Label{Name: "queue", Value: q.Name}).Update(float64(pending))
	}
}

func (h *Host) setPoolGauges(pool string) {
	var owned, waiting, lost float64
	if owner := h.pools.owner(pool); owner != nil {
		owned = 1
		waiting = float64(owner.UnwrittenJobs())
		lost = float64(owner.DroppedDecisions())
	}
	label := stats.Label{Name: "pool", Value: pool}
	h.stats.Gauge(metricPoolOwned, label).Update(owned)
	h.stats.Gauge(metricEndsWaiting, label).Update(waiting)
	h.stats.Gauge(metricDecisionsLost, label).Update(lost)
}

// callMeter counts and times calls by kind and outcome, and their bytes by kind and direction. Kinds and outcomes are
// constants of the client. It is safe for concurrent use.
type callMeter struct {
	stats              *stats.Stats
	calls, time, bytes string

	mu       sync.Mutex
	counters map[callKind]metrics.Counter
	volumes  map[string]meterconn.Meter
}

type callKind struct {
	call, outcome string
}

func newCallMeter(s *stats.Stats, calls, time, bytes string) *callMeter {
	return &callMeter{
		stats: s, calls: calls, time: time, bytes: bytes,
		counters: map[callKind]metrics.Counter{}, volumes: map[string]meterconn.Meter{},
	}
}

func (m *callMeter) observe(c httpcall.Call) {
	count, volume := m.metersOf(callKind{call: c.Name, outcome: c.Outcome})
	count.Inc(1)
	volume.Sent.Inc(c.Sent)
	volume.Received.Inc(c.Received)
	m.stats.Time(m.time, c.Took, stats.Label{Name: "call", Value: c.Name})
}

func (m *callMeter) metersOf(kind callKind) (metrics.Counter, meterconn.Meter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	call := stats.Label{Name: "call", Value: kind.call}
	count, ok := m.counters[kind]
	if !ok {
		count = m.stats.Counter(m.calls, call, stats.Label{Name: "outcome", Value: kind.outcome})
		m.counters[kind] = count
	}
	volume, ok := m.volumes[kind.call]
	if !ok {
		volume = meterconn.Meter{
			Sent:     m.stats.Counter(m.bytes, call, stats.Label{Name: "direction", Value: "sent"}),
			Received: m.stats.Counter(m.bytes, call, stats.Label{Name: "direction", Value: "received"}),
		}
		m.volumes[kind.call] = volume
	}
	return count, volume
}

// tellStarted logs what this process is and where it listens.
func (h *Host) tellStarted(ctx context.Context) {
	s := h.settings.Load()
	host := s.GetJobHost()
	events.Log(ctx, h.log, events.Started,
		slog.String("data_centre", host.GetDataCentre()), slog.String("caller_address", host.GetCallerAddress()),
		slog.String("peer_address", host.GetPeerAddress()), slog.String("operator_address", host.GetOperatorAddress()),
		slog.String("metrics_address", host.GetMetricsAddress()), slog.String("store", s.GetJobStore().GetAddress()),
		slog.Bool("cold_start", host.GetColdStart()))
}
