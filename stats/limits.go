package stats

import (
	"cmp"
	"slices"
	"strings"
)

// labelValues holds a bounded number of distinct values of one label.
type labelValues struct {
	limits Limits
	known  map[string]bool
}

// admit returns the name if it is known or can be added within the limits, and Other otherwise.
func (n *labelValues) admit(name string) string {
	if n.known[name] {
		return name
	}
	if len(name) > n.limits.NameBytes || len(n.known) >= n.limits.Names {
		return Other
	}
	if n.known == nil {
		n.known = map[string]bool{}
	}
	name = strings.Clone(name) // a substring would keep the larger string in memory
	n.known[name] = true
	return name
}

// family holds all metrics of one kind, such as counters or gauges.
type family[M any] struct {
	limits Limits
	create func() M
	byName map[string]map[string]M // by metric, then by formatted labels
}

func newFamily[M any](limits Limits, create func() M) *family[M] {
	return &family[M]{limits: limits, create: create, byName: map[string]map[string]M{}}
}

func (f *family[M]) get(name string, labels []Label) M {
	members := f.membersOf(name)
	labels = sortedLabels(labels)
	id := formatLabels(labels)
	if metric, known := members[id]; known {
		return metric
	}
	if len(members) >= f.limits.Series || f.tooLong(labels) {
		id = formatLabels(otherLabels(labels))
	}
	metric, known := members[id]
	if !known {
		metric = f.create()
		members[id] = metric
	}
	return metric
}

func (f *family[M]) membersOf(name string) map[string]M {
	members, known := f.byName[name]
	if !known && len(f.byName) >= f.limits.Metrics {
		name = Other
		members, known = f.byName[name]
	}
	if !known {
		members = map[string]M{}
		f.byName[name] = members
	}
	return members
}

func (f *family[M]) tooLong(labels []Label) bool {
	return slices.ContainsFunc(labels, func(l Label) bool { return len(l.Value) > f.limits.NameBytes })
}

func sortedLabels(labels []Label) []Label {
	sorted := slices.Clone(labels)
	slices.SortFunc(sorted, func(a, b Label) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

func otherLabels(labels []Label) []Label {
	others := make([]Label, len(labels))
	for i, l := range labels {
		others[i] = Label{Name: l.Name, Value: Other}
	}
	return others
}
