package queue

import (
	"cmp"
	"slices"
)

// Index finds queues in a large Table fast. It is immutable and may be read concurrently.
type Index struct {
	hosts map[string]hostIndex
}

// hostIndex holds the queues of one host.
type hostIndex struct {
	byPrefix map[string]*Queue
	// lengths are those of the prefixes, each once, the longest first.
	lengths []int
}

// NewIndex returns an index of the table's queues. Of queues with the same host and prefix it finds the first, as
// Table.Lookup does.
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

// Lookup returns the queue whose host equals host and whose prefix is the longest that path begins with.
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
