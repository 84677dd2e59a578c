package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// String is the verdict of a run for people.
func (o Outcome) String() string {
	var b strings.Builder
	verdict := "held"
	if len(o.Broken) > 0 {
		verdict = fmt.Sprintf("BROKEN %d", len(o.Broken))
	}
	if o.Unplayed != "" {
		verdict = "NOT PLAYED: " + o.Unplayed
	}
	fmt.Fprintf(&b, "seed %d, %s: %s; %d lives of entry hosts in %v; checked: %s", o.Plan.Seed, o.Plan.Mode, verdict,
		o.Processes, o.Took.Round(time.Second), counts(o.Checked))
	for _, broken := range o.Broken {
		b.WriteString("\n  broken: " + broken)
	}
	for _, line := range o.Evidence {
		b.WriteString("\n  history: " + line)
	}
	return b.String()
}

// Summary adds runs up; its zero value has none.
type Summary struct {
	runs, lives      int
	took             time.Duration
	faults, checked  map[string]int
	broken, unplayed []string
}

// Add adds a run.
func (s *Summary) Add(o Outcome) {
	if s.faults == nil {
		s.faults, s.checked = make(map[string]int), make(map[string]int)
	}
	s.runs++
	s.lives += o.Processes
	s.took += o.Took
	for name, n := range o.Faults {
		s.faults[name] += n
	}
	for name, n := range o.Checked {
		s.checked[name] += n
	}
	if o.Unplayed != "" {
		s.unplayed = append(s.unplayed, fmt.Sprintf("%s %d", o.Plan.Mode, o.Plan.Seed))
	}
	if len(o.Broken) > 0 {
		s.broken = append(s.broken, fmt.Sprintf("%s %d", o.Plan.Mode, o.Plan.Seed))
	}
}

// Failed is how many runs broke a promise or were not played.
func (s *Summary) Failed() int { return len(s.broken) + len(s.unplayed) }

// String is the table of all runs.
func (s *Summary) String() string {
	return fmt.Sprintf("runs %d in %.1f minutes, lives of entry hosts %d\nfaults: %s\nchecked: %s\nseeds that broke a promise: %v, not played: %v\n",
		s.runs, s.took.Minutes(), s.lives, counts(s.faults), counts(s.checked), s.broken, s.unplayed)
}

func counts(by map[string]int) string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		all = append(all, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(all, ", ")
}
