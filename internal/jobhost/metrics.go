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
		waiting = float64(owner.EndsWaiting())
		lost = float64(owner.DecisionsLost())
	}
	label := stats.Label{Name: "pool", Value: pool}
	h.stats.Gauge(metricPoolOwned, label).Update(owned)
	h.stats.Gauge(metricEndsWaiting, label).Update(waiting)
	h.stats.Gauge(metricDecisionsLost, label).Update(lost)
}

// callMeter counts and times calls by kind and outcome. Both are constants of the client. It is safe for concurrent use.
type callMeter struct {
	stats       *stats.Stats
	calls, time string

	mu       sync.Mutex
	counters map[callKind]metrics.Counter
}

type callKind struct {
	call, outcome string
}

func newCallMeter(s *stats.Stats, calls, time string) *callMeter {
	return &callMeter{stats: s, calls: calls, time: time, counters: map[callKind]metrics.Counter{}}
}

func (m *callMeter) observe(call string, d time.Duration, outcome string) {
	kind := callKind{call: call, outcome: outcome}
	m.mu.Lock()
	counter := m.counters[kind]
	if counter == nil {
		counter = m.stats.Counter(m.calls, stats.Label{Name: "call", Value: call}, stats.Label{Name: "outcome", Value: outcome})
		m.counters[kind] = counter
	}
	m.mu.Unlock()
	counter.Inc(1)
	m.stats.Time(m.time, d, stats.Label{Name: "call", Value: call})
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
