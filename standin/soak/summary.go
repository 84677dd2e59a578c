package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// String returns the readable verdict of a run.
func (o Outcome) String() string {
	var b strings.Builder
	verdict := "held"
	if len(o.Broken) > 0 {
		verdict = fmt.Sprintf("VIOLATIONS %d", len(o.Broken))
	}
	if o.Unplayed != "" {
		verdict = "INCOMPLETE: " + o.Unplayed
	}
	fmt.Fprintf(&b, "seed %d, %s: %s; %d entry host processes in %v; checked: %s", o.Plan.Seed, o.Plan.Mode, verdict,
		o.Processes, o.Took.Round(time.Second), counts(o.Checked))
	for _, violation := range o.Broken {
		b.WriteString("\n  violation: " + violation)
	}
	for _, line := range o.Evidence {
		b.WriteString("\n  history: " + line)
	}
	return b.String()
}

// Summary aggregates runs; the zero value is empty.
type Summary struct {
	runs, incarnations     int
	elapsed                time.Duration
	faults, checked        map[string]int
	violations, incomplete []string
}

// Add adds the outcome of a run.
func (s *Summary) Add(o Outcome) {
	if s.faults == nil {
		s.faults, s.checked = make(map[string]int), make(map[string]int)
	}
	s.runs++
	s.incarnations += o.Processes
	s.elapsed += o.Took
	for name, n := range o.Faults {
		s.faults[name] += n
	}
	for name, n := range o.Checked {
		s.checked[name] += n
	}
	if o.Unplayed != "" {
		s.incomplete = append(s.incomplete, fmt.Sprintf("%s %d", o.Plan.Mode, o.Plan.Seed))
	}
	if len(o.Broken) > 0 {
		s.violations = append(s.violations, fmt.Sprintf("%s %d", o.Plan.Mode, o.Plan.Seed))
	}
}

// Failed returns the number of runs with violations or that were incomplete.
func (s *Summary) Failed() int { return len(s.violations) + len(s.incomplete) }

// String returns the totals of all runs.
func (s *Summary) String() string {
	return fmt.Sprintf("runs %d in %.1f minutes, entry host processes %d\nfaults: %s\nchecked: %s\nseeds with violations: %v, incomplete: %v\n",
		s.runs, s.elapsed.Minutes(), s.incarnations, counts(s.faults), counts(s.checked), s.violations, s.incomplete)
}

func counts(by map[string]int) string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		all = append(all, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(all, ", ")
}
