package queue

import (
	"cmp"
	"slices"
)

// Index looks up the queues of a large Table by host and path. It is immutable and safe for concurrent use.
type Index struct {
	hosts map[string]hostIndex
}

// hostIndex holds the queues of one host.
type hostIndex struct {
	byPrefix map[string]*Queue
	// lengths holds the distinct lengths of the prefixes, longest first.
	lengths []int
}

// NewIndex returns an index of the table's queues. If several queues have the same host and prefix, the first one is
// found, as with Table.Lookup.
func NewIndex(t *Table) *Index {
	hosts := map[string]hostIndex{}
	for i := range t.Queues {
		q := &t.Queues[i]
		h, known := hosts[q.Host]
		if !known {
			h.byPrefix = map[string]*Queue{}
		}
		if _, taken := h.byPrefix[q.Prefix]; !taken {
			h.byPrefix[q.Prefix] = q
			h.lengths = append(h.lengths, len(q.Prefix))
		}
		hosts[q.Host] = h
	}
	for name, h := range hosts {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
		h.lengths = slices.Compact(h.lengths)
		hosts[name] = h
	}
	return &Index{hosts: hosts}
}

// Lookup returns the queue of host with the longest prefix of path, and false if there is none.
func (x *Index) Lookup(host, path string) (*Queue, bool) {
	h := x.hosts[host]
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if q, ok := h.byPrefix[path[:length]]; ok {
			return q, true
		}
	}
	return nil, false
}
