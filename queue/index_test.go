package queue

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestIndexMatchesTable compares Index.Lookup with Table.Lookup on hosts and paths that often collide.
func TestIndexMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom([]string{"a.example", "b.example"})
		path := rapid.StringMatching(`/[ab/]{0,4}`)
		table := &Table{Queues: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Queue {
			return Queue{Host: host.Draw(t, "host"), Prefix: path.Draw(t, "prefix")}
		}), 0, 8).Draw(t, "queues")}
		index := NewIndex(table)
		for range 8 {
			h, p := host.Draw(t, "asked host"), path.Draw(t, "asked path")
			want, wantOK := table.Lookup(h, p)
			got, ok := index.Lookup(h, p)
			assert.Equal(t, ok, wantOK)
			assert.Assert(t, got == want, "%s%s: got %v, want %v", h, p, got, want)
		}
	})
}
