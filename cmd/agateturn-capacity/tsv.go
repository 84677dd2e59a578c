package main

import (
	"bufio"
	"fmt"
	"io"
	"sort"

	"github.com/agateturn/agateturn/capacity"
)

// writeSamples writes one line per sample: series, state, run, hosts, entry hosts, pools, teams, measure, value.
func writeSamples(w io.Writer, samples []capacity.Sample) error {
	sort.Slice(samples, func(i, j int) bool { return samples[i].Measure < samples[j].Measure })
	for _, s := range samples {
		_, err := fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%.5g\n",
			s.Series, s.State, s.Run, s.Size.Hosts, s.Size.EntryHosts, s.Size.Pools, s.Size.Teams, s.Measure, s.Value)
		if err != nil {
			return err
		}
	}
	return nil
}

// readSamples is the inverse of writeSamples.
func readSamples(r io.Reader) ([]capacity.Sample, error) {
	var samples []capacity.Sample
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var s capacity.Sample
		_, err := fmt.Sscan(scanner.Text(), &s.Series, &s.State, &s.Run,
			&s.Size.Hosts, &s.Size.EntryHosts, &s.Size.Pools, &s.Size.Teams, &s.Measure, &s.Value)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", len(samples)+1, err)
		}
		samples = append(samples, s)
	}
	return samples, scanner.Err()
}
