package stats

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Quantiles holds the 50th, 90th and 99th percentile and the maximum of a latency.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P90 time.Duration `json:"p90"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// OutcomeCount is the number of requests with one outcome.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Count   int64  `json:"count"`
}

// Row holds the statistics of one service, team and class. Durations are nanoseconds in JSON.
type Row struct {
	Service  string         `json:"service"`
	Team     string         `json:"team"`
	Class    string         `json:"class"`
	Count    int64          `json:"count"`
	Outcomes []OutcomeCount `json:"outcomes"` // sorted by outcome
	Queue    Quantiles      `json:"queue"`
	Total    Quantiles      `json:"total"`
}

// rowData accumulates the series of one row.
type rowData struct {
	queue, total *histogram
	outcomes     []OutcomeCount
}

// Snapshot returns the statistics of all requests observed so far, sorted by service, team and class.
func (s *Stats) Snapshot() []Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	rows := map[Labels]*rowData{}
	for _, labels := range s.sortedRequests() {
		series := s.requests[labels]
		id := Labels{Service: labels.Service, Team: labels.Team, Class: labels.Class}
		data, known := rows[id]
		if !known {
			data = &rowData{queue: newHistogram(), total: newHistogram()}
			rows[id] = data
		}
		data.queue.add(series.queue)
		data.total.add(series.total)
		data.outcomes = append(data.outcomes, OutcomeCount{Outcome: labels.Outcome, Count: series.total.Count()})
	}
	ids := lo.Keys(rows)
	slices.SortFunc(ids, compareLabels)
	return lo.Map(ids, func(id Labels, _ int) Row { return rows[id].row(id) })
}

func (d *rowData) row(id Labels) Row {
	return Row{
		Service: id.Service, Team: id.Team, Class: id.Class,
		Count: d.total.Count(), Outcomes: d.outcomes,
		Queue: quantilesOf(d.queue), Total: quantilesOf(d.total),
	}
}

func quantilesOf(h *histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.Percentile(0.5)),
		P90: time.Duration(h.Percentile(0.9)),
		P99: time.Duration(h.Percentile(0.99)),
		Max: time.Duration(h.Max()),
	}
}

func (s *Stats) sortedRequests() []Labels {
	all := lo.Keys(s.requests)
	slices.SortFunc(all, compareLabels)
	return all
}

func compareLabels(a, b Labels) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome))
}
