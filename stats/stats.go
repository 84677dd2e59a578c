// Package stats keeps latency histograms for each service, team and class, and counters and gauges, in memory that
// stays bounded however many names appear, and serves them in the Prometheus text format.
//
// A Stats is safe for concurrent use.
package stats

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Other is the name under which everything beyond the limits is counted.
const Other = "other"

// Limits bounds the memory. A zero field means its default.
type Limits struct {
	Names     int // distinct values of one label
	Series    int // distinct combinations of labels, for each metric
	NameBytes int // length of a label's value
	Metrics   int // distinct names of counters and of gauges
}

// DefaultLimits suit one entry host.
var DefaultLimits = Limits{Names: 128, Series: 1024, NameBytes: 64, Metrics: 128}

// Labels says what a request was.
type Labels struct {
	Service string
	Team    string
	Class   string
	Outcome string // how it ended, such as done, not_run or unknown
}

// Label is one label of a counter or gauge.
type Label struct {
	Name  string
	Value string
}

// Stats holds all metrics of one process.
type Stats struct {
	limits Limits

	mu       sync.RWMutex
	services names
	teams    names
	classes  names
	outcomes names
	requests map[Labels]*requestSeries
	counters *family[metrics.Counter]
	gauges   *family[metrics.GaugeFloat64]
	times    *family[*buckets]
}

// requestSeries is what one combination of labels has seen.
type requestSeries struct {
	queue, total *buckets
}

func newRequestSeries() *requestSeries {
	return &requestSeries{queue: newBuckets(), total: newBuckets()}
}

// New returns an empty Stats.
func New(limits Limits) *Stats {
	limits = limits.orDefaults()
	return &Stats{
		limits:   limits,
		services: names{limits: limits}, teams: names{limits: limits},
		classes: names{limits: limits}, outcomes: names{limits: limits},
		requests: map[Labels]*requestSeries{},
		counters: newFamily(limits, metrics.NewCounter),
		gauges:   newFamily(limits, metrics.NewGaugeFloat64),
		times:    newFamily(limits, newBuckets),
	}
}

func (l Limits) orDefaults() Limits {
	fill := func(value, otherwise int) int {
		if value <= 0 {
			return otherwise
		}
		return value
	}
	return Limits{
		Names: fill(l.Names, DefaultLimits.Names), Series: fill(l.Series, DefaultLimits.Series),
		NameBytes: fill(l.NameBytes, DefaultLimits.NameBytes), Metrics: fill(l.Metrics, DefaultLimits.Metrics),
	}
}

// Observe counts one request that ended: the time it was queued, and the time from its arrival to its end.
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

// addSeries makes the series of the labels, or finds the one that stands for them beyond the limits.
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
		// One series is kept over and above the limit, so that nothing goes uncounted.
		admitted = Labels{Service: Other, Team: Other, Class: Other, Outcome: Other}
	}
	series, known := s.requests[admitted]
	if !known {
		series = newRequestSeries()
		s.requests[admitted] = series
	}
	return series
}

// Counter returns the counter of that name and labels. Beyond the limits it is one that stands for all the rest.
func (s *Stats) Counter(name string, labels ...Label) metrics.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.get(name, labels)
}

// Time counts a duration in the histogram of that name and labels; its unit is seconds. Beyond the limits it is one that
// stands for all the rest.
func (s *Stats) Time(name string, d time.Duration, labels ...Label) {
	s.mu.Lock()
	times := s.times.get(name, labels)
	s.mu.Unlock()
	times.Update(int64(d))
}

// Gauge returns the gauge of that name and labels. Beyond the limits it is one that stands for all the rest.
func (s *Stats) Gauge(name string, labels ...Label) metrics.GaugeFloat64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gauges.get(name, labels)
}
