package callers

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// ServiceReport counts the results of the requests to one service.
type ServiceReport struct {
	Service string `json:"service"`
	// Sent counts the requests that were sent: the sum of the results from Whole to Unexpected.
	Sent      int `json:"sent"`
	Whole     int `json:"whole"`
	Wrong     int `json:"wrong"`
	FailedRun int `json:"failed_run"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// Cut and NoAnswer are transport errors after and before the start of an answer.
	Cut        int `json:"cut"`
	NoAnswer   int `json:"no_answer"`
	Unexpected int `json:"unexpected"`
	// Skipped counts the requests that were not sent because too many were in flight.
	Skipped int `json:"skipped"`
	// P50 and P99 are quantiles of the time to a complete answer, sessions excluded.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Report holds the results of a load.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// Wrong returns the number of wrong answers of all services.
func (r Report) Wrong() int {
	return lo.SumBy(r.Services, func(s ServiceReport) int { return s.Wrong })
}

// Lost returns the number of requests of all services that were cut, got no answer or got one outside the contract.
func (r Report) Lost() int {
	return lo.SumBy(r.Services, func(s ServiceReport) int { return s.Cut + s.NoAnswer + s.Unexpected })
}

// WriteTable writes the report as an aligned table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(table, "service\tsent\twhole\twrong\tfailed run\tnot run\tunknown\tcut\tno answer\tunexpected\tskipped\tp50\tp99\t")
	if err != nil {
		return err
	}
	for _, s := range r.Services {
		_, err := fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n",
			s.Service, s.Sent, s.Whole, s.Wrong, s.FailedRun, s.NotRun, s.Unknown, s.Cut, s.NoAnswer, s.Unexpected,
			s.Skipped, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond))
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// tally collects results. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	order    []string
	services map[string]*serviceTally
}

type serviceTally struct {
	results   map[Result]int
	latencies []time.Duration
}

func newTally(services []Service) *tally {
	t := &tally{services: make(map[string]*serviceTally, len(services))}
	for _, service := range services {
		t.order = append(t.order, service.Name)
		t.services[service.Name] = &serviceTally{results: make(map[Result]int)}
	}
	return t
}

func (t *tally) add(request Request, result Result, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.services[request.Service]
	service.results[result]++
	if result == ResultWhole && request.Class != ClassSession {
		service.latencies = append(service.latencies, latency)
	}
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{Services: lo.Map(t.order, func(name string, _ int) ServiceReport {
		return t.services[name].report(name)
	})}
}

func (s *serviceTally) report(name string) ServiceReport {
	slices.Sort(s.latencies)
	r := ServiceReport{
		Service:    name,
		Whole:      s.results[ResultWhole],
		Wrong:      s.results[ResultWrong],
		FailedRun:  s.results[ResultFailedRun],
		NotRun:     s.results[ResultNotRun],
		Unknown:    s.results[ResultUnknown],
		Cut:        s.results[ResultCut],
		NoAnswer:   s.results[ResultNoAnswer],
		Unexpected: s.results[ResultUnexpected],
		Skipped:    s.results[ResultSkipped],
		P50:        quantile(s.latencies, 0.50),
		P99:        quantile(s.latencies, 0.99),
	}
	r.Sent = r.Whole + r.Wrong + r.FailedRun + r.NotRun + r.Unknown + r.Cut + r.NoAnswer + r.Unexpected
	return r
}

// quantile returns the q-quantile of the sorted times, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
