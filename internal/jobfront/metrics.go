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
	metricReady         = "agateturn_ready"
)

// maxStoreAge is shown when the store never answered, in seconds.
const maxStoreAge = 1e6

// Metrics counts what callers get. It is safe for concurrent use.
type Metrics struct {
	stats   *stats.Stats
	silent  metrics.Counter
	dropped metrics.Counter
	relayed metrics.Counter

	mu      sync.Mutex
	answers map[answerKind]metrics.Counter
}

// answerKind has few values: the methods are bounded by methodLabel and the statuses by what the front answers.
type answerKind struct {
	method string
	status int
}

// NewMetrics returns metrics kept in s; nil keeps them out of sight.
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

func (m *Metrics) answered(method string, status int) {
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

func (m *Metrics) ownerSilent() { m.silent.Inc(1) }

func (m *Metrics) wasRelayed() { m.relayed.Inc(1) }

func (m *Metrics) offersDropped(n int) { m.dropped.Inc(int64(n)) }

// Stats is where the metrics are kept; others may add theirs.
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
	s.Gauge(metricOffersWaiting).Update(float64(f.offers.news.Len()))
	s.Gauge(metricOffersRefused).Update(float64(f.offers.news.Refused()))
	if table := f.options.Tables.Table(); table != nil {
		s.Gauge(metricTableVersion).Update(float64(table.Version))
	}
}
