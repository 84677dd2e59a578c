// Package stats keeps latency histograms for each service, team and class, as well as counters and gauges, and serves them
// in the Prometheus text format. Its memory stays bounded regardless of the number of distinct names.
//
// A Stats is safe for concurrent use.
package stats

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Other is the name for all values beyond the limits.
const Other = "other"

// Limits bounds the memory use. A field of zero or less selects its default.
type Limits struct {
	Names     int // distinct values of a label
	Series    int // distinct combinations of labels, for each metric
	NameBytes int // length of a label value
	Metrics   int // distinct metric names of one kind, such as counters
}

// DefaultLimits is suitable for one entry host.
var DefaultLimits = Limits{Names: 128, Series: 1024, NameBytes: 64, Metrics: 128}

// Labels classifies a request.
type Labels struct {
	Service string
	Team    string
	Class   string
	Outcome string // such as done, not_run or unknown
}

// Label is one label of a metric.
type Label struct {
	Name  string
	Value string
}

// Stats holds all metrics of one process.
type Stats struct {
	limits Limits

	mu       sync.RWMutex
	services labelValues
	teams    labelValues
	classes  labelValues
	outcomes labelValues
	requests map[Labels]*requestSeries
	counters *family[metrics.Counter]
	gauges   *family[metrics.GaugeFloat64]
	times    *family[*histogram]
}

// requestSeries holds the histograms of one combination of labels.
type requestSeries struct {
	queue, total *histogram
}

func newRequestSeries() *requestSeries {
	return &requestSeries{queue: newHistogram(), total: newHistogram()}
}

// New returns an empty Stats.
func New(limits Limits) *Stats {
	limits = limits.withDefaults()
	return &Stats{
		limits:   limits,
		services: labelValues{limits: limits}, teams: labelValues{limits: limits},
		classes: labelValues{limits: limits}, outcomes: labelValues{limits: limits},
		requests: map[Labels]*requestSeries{},
		counters: newFamily(limits, metrics.NewCounter),
		gauges:   newFamily(limits, metrics.NewGaugeFloat64),
		times:    newFamily(limits, newHistogram),
	}
}

func (l Limits) withDefaults() Limits {
	orDefault := func(value, defaultValue int) int {
		if value <= 0 {
			return defaultValue
		}
		return value
	}
	return Limits{
		Names: orDefault(l.Names, DefaultLimits.Names), Series: orDefault(l.Series, DefaultLimits.Series),
		NameBytes: orDefault(l.NameBytes, DefaultLimits.NameBytes), Metrics: orDefault(l.Metrics, DefaultLimits.Metrics),
	}
}

// Observe records a finished request with its time in the queue and its total time since arrival.
func (s *Stats) Observe(labels Labels, queueTime, total time.Duration) {
	series := s.seriesOf(labels)
	series.queue.Update(int64(queueTime))
	series.total.Update(int64(total))
}

func (s *Stats) seriesOf(labels Labels) *requestSeries {
	s.mu.RLock()
	series, known := s.requests[labels]
	s.mu.RUnlock()
	if known {
		return series
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addSeries(labels)
}

// addSeries creates the series of the labels, or returns the existing or overflow series for them.
func (s *Stats) addSeries(labels Labels) *requestSeries {
	admitted := Labels{
		Service: s.services.admit(labels.Service),
		Team:    s.teams.admit(labels.Team),
		Class:   s.classes.admit(labels.Class),
		Outcome: s.outcomes.admit(labels.Outcome),
	}
	if series, known := s.requests[admitted]; known {
		return series
	}
	if len(s.requests) >= s.limits.Series {
		// One overflow series beyond the limit ensures that every request is counted.
		admitted = Labels{Service: Other, Team: Other, Class: Other, Outcome: Other}
	}
	series, known := s.requests[admitted]
	if !known {
		series = newRequestSeries()
		s.requests[admitted] = series
	}
	return series
}

// Counter returns the counter with that name and labels. Beyond the limits, all names or labels share one counter.
func (s *Stats) Counter(name string, labels ...Label) metrics.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.get(name, labels)
}

// Time adds a duration to the histogram with that name and labels, which is exported in seconds. Beyond the limits, all
// names or labels share one histogram.
func (s *Stats) Time(name string, d time.Duration, labels ...Label) {
	s.mu.Lock()
	times := s.times.get(name, labels)
	s.mu.Unlock()
	times.Update(int64(d))
}

// Gauge returns the gauge with that name and labels. Beyond the limits, all names or labels share one gauge.
func (s *Stats) Gauge(name string, labels ...Label) metrics.GaugeFloat64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gauges.get(name, labels)
}
