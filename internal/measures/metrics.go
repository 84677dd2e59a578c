// Package measures exports the gauges and accumulates the measures of an entry host.
package measures

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/claims"
	"github.com/agateturn/agateturn/internal/dispatch"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/stats"
)

// Names of the gauges, which are set at each scrape.
const (
	metricReady        = "agateturn_ready"
	metricHeld         = "agateturn_requests_held"
	metricStoreAge     = "agateturn_store_age_seconds"
	metricRevision     = "agateturn_fleet_revision"
	metricGeneration   = "agateturn_config_generation"
	metricSlots        = "agateturn_slots"
	metricQueued       = "agateturn_queued_requests"
	metricOldestQueued = "agateturn_oldest_queued_seconds"
	metricEjected      = "agateturn_ejected_hosts"
	metricKeys         = "agateturn_keys_remembered"
	metricHosts        = "agateturn_hosts"
	metricRingItems    = "agateturn_ring_items"
	metricRingCapacity = "agateturn_ring_capacity"
	metricRingRefused  = "agateturn_ring_refused"
)

// scrapeTimeout bounds the wait for the dispatcher during a scrape.
const scrapeTimeout = time.Second

// Gauges sets the gauges at each scrape.
type Gauges struct {
	view     *view.View
	dispatch *dispatch.Dispatcher
	keys     *claims.Keys
	held     func() int64
	stats    *stats.Stats
	ready    func() error
}

// GaugeOptions are the sources of the gauges' values.
type GaugeOptions struct {
	View     *view.View
	Dispatch *dispatch.Dispatcher
	Keys     *claims.Keys
	// Held returns the number of callers' requests held.
	Held  func() int64
	Stats *stats.Stats
	Ready func() error
}

// NewGauges returns gauges that read their values from the given sources.
func NewGauges(o GaugeOptions) *Gauges {
	return &Gauges{view: o.View, dispatch: o.Dispatch, keys: o.Keys, held: o.Held, stats: o.Stats, ready: o.Ready}
}

// Handler returns a handler that sets the gauges and serves all metrics.
func (g *Gauges) Handler() http.Handler {
	export := g.stats.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), scrapeTimeout)
		defer cancel()
		g.setGauges(ctx, time.Now())
		export.ServeHTTP(w, r)
	})
}

func (g *Gauges) setGauges(ctx context.Context, now time.Time) {
	g.gauge(metricReady, lo.Ternary(g.ready() == nil, 1.0, 0.0))
	g.gauge(metricHeld, float64(g.held()))
	g.gauge(metricStoreAge, g.view.StoreAge(now).Seconds())
	g.gauge(metricRevision, float64(g.view.AppliedRevision()))
	g.gauge(metricGeneration, float64(g.view.Config().GetGeneration()))
	g.gauge(metricKeys, float64(g.keys.Remembered()))
	g.setHostGauges()
	g.setDispatcherGauges(ctx)
	g.setRingGauges()
}

// setHostGauges counts the hosts of each pool by phase.
func (g *Gauges) setHostGauges() {
	hosts := g.view.Fleet().GetHosts()
	for _, pool := range g.view.Config().GetPools() {
		for _, phase := range hostPhases {
			n := lo.CountBy(hosts, func(h *pb.HostState) bool { return h.GetPool() == pool.GetName() && h.GetPhase() == phase })
			g.gauge(metricHosts, float64(n),
				stats.Label{Name: "pool", Value: pool.GetName()}, stats.Label{Name: "phase", Value: fleet.PhaseName(phase)})
		}
	}
}

// hostPhases are the phases that a host can be in.
var hostPhases = []pb.HostPhase{
	pb.HostPhase_HOST_PHASE_ACTIVE, pb.HostPhase_HOST_PHASE_DRAINING,
	pb.HostPhase_HOST_PHASE_MAINTENANCE, pb.HostPhase_HOST_PHASE_DOWN,
}

func (g *Gauges) setDispatcherGauges(ctx context.Context) {
	s := g.dispatch.SlotStatus(ctx)
	for state, n := range map[string]int{
		"own": s.Own, "in_use": s.InUse, "lent": s.Lent, "borrowed": s.Borrowed, "waiting": s.Waiting,
	} {
		g.gauge(metricSlots, float64(n), stats.Label{Name: "state", Value: state})
	}
	load := g.dispatch.Load(ctx)
	g.gauge(metricEjected, float64(len(load.Ejected)))
	for _, demand := range load.Demand {
		pool := stats.Label{Name: "pool", Value: demand.GetPool()}
		g.gauge(metricQueued, float64(demand.GetQueued()), pool)
		oldest := time.Duration(demand.GetOldestQueuedMs()) * time.Millisecond
		g.gauge(metricOldestQueued, oldest.Seconds(), pool)
	}
}

// setRingGauges exports the fill level of the rings that queue work. Rings that hold a single signal are omitted.
func (g *Gauges) setRingGauges() {
	for _, r := range []ring.State{g.dispatch.Backlog(), g.keys.Backlog()} {
		name := stats.Label{Name: "ring", Value: r.Name()}
		g.gauge(metricRingItems, float64(r.Len()), name)
		g.gauge(metricRingCapacity, float64(r.Cap()), name)
		g.gauge(metricRingRefused, float64(r.Refused()), name)
	}
}

func (g *Gauges) gauge(name string, value float64, labels ...stats.Label) {
	g.stats.Gauge(name, labels...).Update(value)
}
