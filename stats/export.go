package stats

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
)

// contentType is the content type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Names of the request histograms. Their unit is seconds.
const (
	requestMetric = "agateturn_request_seconds"
	queueMetric   = "agateturn_queue_seconds"
)

// Handler serves all metrics in the Prometheus text format.
func (s *Stats) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(s.export()) // a scraper that disconnected retries
	})
}

func (s *Stats) export() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var b bytes.Buffer
	s.exportHistogram(&b, requestMetric, func(r *requestSeries) *histogram { return r.total })
	s.exportHistogram(&b, queueMetric, func(r *requestSeries) *histogram { return r.queue })
	exportFamily(&b, s.counters, "counter", func(c metrics.Counter) string { return strconv.FormatInt(c.Count(), 10) })
	exportFamily(&b, s.gauges, "gauge", func(g metrics.GaugeFloat64) string { return formatNumber(g.Value()) })
	s.exportTimes(&b)
	return b.Bytes()
}

func (s *Stats) exportHistogram(b *bytes.Buffer, name string, data func(*requestSeries) *histogram) {
	fmt.Fprintf(b, "# TYPE %s histogram\n", name)
	for _, labels := range s.sortedRequests() {
		exportBuckets(b, name, labels.list(), data(s.requests[labels]))
	}
}

func (s *Stats) exportTimes(b *bytes.Buffer) {
	for _, name := range sortedKeys(s.times.byName) {
		exported := metricName(name)
		fmt.Fprintf(b, "# TYPE %s histogram\n", exported)
		for _, id := range sortedKeys(s.times.byName[name]) {
			exportLabelled(b, exported, id, s.times.byName[name][id])
		}
	}
}

// exportBuckets writes the histogram of one set of labels. Counts are cumulative, so an empty bucket is omitted.
func exportBuckets(b *bytes.Buffer, name string, labels []Label, data *histogram) {
	exportLabelled(b, name, formatLabels(labels), data)
}

// exportLabelled is exportBuckets for labels that formatLabels has formatted.
func exportLabelled(b *bytes.Buffer, name, labels string, data *histogram) {
	var count int64
	bucket := func(le string) string {
		if labels == "" {
			return `{le="` + le + `"}`
		}
		return strings.TrimSuffix(labels, "}") + `,le="` + le + `"}`
	}
	for i, bound := range bucketBounds {
		added := data.counts[i].Load()
		count += added
		if added > 0 {
			le := formatNumber(time.Duration(bound).Seconds())
			fmt.Fprintf(b, "%s_bucket%s %d\n", name, bucket(le), count)
		}
	}
	count += data.counts[len(bucketBounds)].Load()
	fmt.Fprintf(b, "%s_bucket%s %d\n", name, bucket("+Inf"), count)
	fmt.Fprintf(b, "%s_sum%s %s\n", name, labels, formatNumber(time.Duration(data.Sum()).Seconds()))
	fmt.Fprintf(b, "%s_count%s %d\n", name, labels, count)
}

func exportFamily[M any](b *bytes.Buffer, f *family[M], kind string, value func(M) string) {
	for _, name := range sortedKeys(f.byName) {
		exported := metricName(name)
		fmt.Fprintf(b, "# TYPE %s %s\n", exported, kind)
		for _, id := range sortedKeys(f.byName[name]) {
			fmt.Fprintf(b, "%s%s %s\n", exported, id, value(f.byName[name][id]))
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

// metricName replaces characters that are not allowed in a metric name.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r == ':' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

func (l Labels) list() []Label {
	return []Label{{"service", l.Service}, {"team", l.Team}, {"class", l.Class}, {"outcome", l.Outcome}}
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns {a="b",c="d"}, or "" without labels.
func formatLabels(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	parts := lo.Map(labels, func(l Label, _ int) string {
		value := labelEscaper.Replace(strings.ToValidUTF8(l.Value, "\uFFFD"))
		return metricName(l.Name) + `="` + value + `"`
	})
	return "{" + strings.Join(parts, ",") + "}"
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
