package stats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func scrape(t *testing.T, s *Stats) string {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	assert.Equal(t, w.Header().Get("Content-Type"), contentType)
	return w.Body.String()
}

func TestExportIsPrometheusText(t *testing.T) {
	s := New(Limits{})
	labels := Labels{Service: "exports", Team: "a\"b\\c\nd", Class: "urgent", Outcome: "done"}
	s.Observe(labels, 0, 3*time.Millisecond)
	s.Observe(labels, time.Millisecond, 3*time.Hour)
	s.Counter("agateturn_retries_total", Label{"pool", "exports"}).Inc(2)
	s.Gauge("agateturn_idle slots").Update(1.5)
	want := `# TYPE agateturn_request_seconds histogram
agateturn_request_seconds_bucket{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done",le="0.003"} 1
agateturn_request_seconds_bucket{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done",le="+Inf"} 2
agateturn_request_seconds_sum{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done"} 10800.003
agateturn_request_seconds_count{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done"} 2
# TYPE agateturn_queue_seconds histogram
agateturn_queue_seconds_bucket{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done",le="0.0005"} 1
agateturn_queue_seconds_bucket{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done",le="0.001"} 2
agateturn_queue_seconds_bucket{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done",le="+Inf"} 2
agateturn_queue_seconds_sum{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done"} 0.001
agateturn_queue_seconds_count{service="exports",team="a\"b\\c\nd",class="urgent",outcome="done"} 2
# TYPE agateturn_retries_total counter
agateturn_retries_total{pool="exports"} 2
# TYPE agateturn_idle_slots gauge
agateturn_idle_slots 1.5
`
	assert.Equal(t, scrape(t, s), want)
}

// TestNamesStayBounded adds many names of labels and metrics from several goroutines.
func TestNamesStayBounded(t *testing.T) {
	limits := Limits{Names: 8, Series: 50, NameBytes: 16, Metrics: 4}
	const writers, each = 4, 5000
	s := New(limits)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				name := fmt.Sprintf("n%d-%d", w, i)
				s.Observe(Labels{Service: name, Team: name, Class: strings.Repeat(name, 10), Outcome: name}, 0, time.Millisecond)
				s.Counter(name, Label{"team", name}).Inc(1)
				s.Counter("one", Label{"team", name}).Inc(1)
				s.Gauge("one", Label{"team", strings.Repeat(name, 10)}).Update(1)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, len(s.requests) <= limits.Series+1, "%d series", len(s.requests))
	assert.Assert(t, len(s.counters.byName) <= limits.Metrics+1, "%d metrics", len(s.counters.byName))
	for name, members := range s.counters.byName {
		assert.Assert(t, len(members) <= limits.Series+1, "%s has %d series", name, len(members))
	}
	assert.Equal(t, len(s.gauges.byName["one"]), 1)
	var observed, counted int64
	for _, row := range s.Snapshot() {
		observed += row.Count
	}
	for _, members := range s.counters.byName {
		for _, m := range members {
			counted += m.Count()
		}
	}
	assert.Equal(t, observed, int64(writers*each))
	assert.Equal(t, counted, int64(2*writers*each))
	assert.Assert(t, len(scrape(t, s)) < 64<<10, "exported %d bytes", len(scrape(t, s)))
}

// TestPercentilesAgreeWithExactOnes compares percentiles with those of the sorted values. The width of a bucket is at most
// half its lower bound.
func TestPercentilesAgreeWithExactOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := newHistogram()
	values := make([]int64, 5000)
	for i := range values {
		values[i] = int64(time.Millisecond * time.Duration(1+rng.ExpFloat64()*200))
		h.Update(values[i])
	}
	slices.Sort(values)
	for _, p := range []float64{0.01, 0.5, 0.9, 0.99, 1} {
		exact := float64(values[int(math.Ceil(p*float64(len(values))))-1])
		got := h.Percentile(p)
		assert.Assert(t, math.Abs(got-exact) <= exact/2, "p%g is %g, exact value %g", 100*p, got, exact)
	}
	assert.Equal(t, h.Max(), values[len(values)-1])
	assert.Equal(t, h.Min(), values[0])
	assert.Equal(t, h.Count(), int64(len(values)))
	assert.Equal(t, h.Snapshot().Sum(), h.Sum())
}

func ExampleStats_Snapshot() {
	s := New(DefaultLimits)
	for i := range 100 {
		latency := time.Duration(i+1) * time.Millisecond
		s.Observe(Labels{Service: "quotes", Team: "orders", Class: "urgent", Outcome: "done"}, 0, latency)
	}
	s.Observe(Labels{Service: "quotes", Team: "orders", Class: "urgent", Outcome: "not_run"}, time.Second, time.Second)
	for _, row := range s.Snapshot() {
		fmt.Println(row.Service, row.Team, row.Class, row.Count, row.Outcomes, row.Total.Max)
	}
	// Output:
	// quotes orders urgent 101 [{done 100} {not_run 1}] 1s
}
