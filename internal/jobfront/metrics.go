package jobfront

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/stats"
)

// Names of the metrics; docs/OPERATIONS.md says which to alert on.
const (
	metricAnswers       = "agateturn_job_answers_total"
	metricOwnerSilent   = "agateturn_job_owner_silent_total"
	metricOffersDropped = "agateturn_job_offers_dropped_total"
	metricRelayed       = "agateturn_job_relayed_total"
	metricOffersWaiting = "agateturn_job_offers_waiting"
	metricOffersRefused = "agateturn_job_offers_refused"
	metricTableVersion  = "agateturn_job_table_version"
	metricStoreAge      = "agateturn_store_age_seconds"
	metricTableAge      = "agateturn_job_table_confirmed_age_seconds"
	metricReady         = "agateturn_ready"
)

// maxStoreAge bounds the exported age of the store's last answer, in seconds. It is exported if the store never answered.
const maxStoreAge = 1e6

// Metrics counts the answers to callers and the calls to owners and peers. It is safe for concurrent use.
type Metrics struct {
	stats   *stats.Stats
	silent  metrics.Counter
	dropped metrics.Counter
	relayed metrics.Counter

	mu      sync.Mutex
	answers map[answerKind]metrics.Counter
}

// answerKind is the label set of a counter. It has few values: methodLabel bounds the methods, and the front sends few
// statuses.
type answerKind struct {
	method string
	status int
}

// NewMetrics returns metrics kept in s. If s is nil, they are not exported.
func NewMetrics(s *stats.Stats) *Metrics {
	if s == nil {
		s = stats.New(stats.Limits{})
	}
	return &Metrics{
		stats:   s,
		silent:  s.Counter(metricOwnerSilent),
		dropped: s.Counter(metricOffersDropped),
		relayed: s.Counter(metricRelayed),
		answers: map[answerKind]metrics.Counter{},
	}
}

func (m *Metrics) countAnswer(method string, status int) {
	kind := answerKind{method: methodLabel(method), status: status}
	m.mu.Lock()
	counter := m.answers[kind]
	if counter == nil {
		counter = m.stats.Counter(metricAnswers,
			stats.Label{Name: "method", Value: kind.method},
			stats.Label{Name: "status", Value: strconv.Itoa(status)})
		m.answers[kind] = counter
	}
	m.mu.Unlock()
	counter.Inc(1)
}

func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return strings.ToLower(method)
	default:
		return "other"
	}
}

func (m *Metrics) countOwnerSilent() { m.silent.Inc(1) }

func (m *Metrics) countRelayed() { m.relayed.Inc(1) }

func (m *Metrics) countDroppedOffers(n int) { m.dropped.Inc(int64(n)) }

// Stats returns the registry of the metrics, to which callers may add their own.
func (f *Front) Stats() *stats.Stats { return f.options.Metrics.stats }

// MetricsHandler serves the metrics as text.
func (f *Front) MetricsHandler() http.Handler {
	export := f.options.Metrics.stats.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.setGauges()
		export.ServeHTTP(w, r)
	})
}

func (f *Front) setGauges() {
	s := f.options.Metrics.stats
	s.Gauge(metricReady).Update(lo.Ternary(f.notReady() == "", 1.0, 0.0))
	s.Gauge(metricStoreAge).Update(min(f.options.Tables.StoreAge().Seconds(), maxStoreAge))
	s.Gauge(metricTableAge).Update(min(f.options.Tables.ConfirmedAge().Seconds(), maxStoreAge))
	s.Gauge(metricOffersWaiting).Update(float64(f.offers.queue.Len()))
	s.Gauge(metricOffersRefused).Update(float64(f.offers.queue.Refused()))
	if table := f.options.Tables.Table(); table != nil {
		s.Gauge(metricTableVersion).Update(float64(table.Version))
	}
}
