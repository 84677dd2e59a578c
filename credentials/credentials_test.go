package credentials_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/credentials"
	"github.com/agateturn/agateturn/queue"
)

// TestFindMatchesTheList compares Find with a search of the list, with keys that are prefixes of each other, shared between
// workspaces or empty. A wrong match would serve a caller as another workspace.
func TestFindMatchesTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[aA ]{0,3}`)
		workspaces := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) queue.Workspace {
			return queue.Workspace{
				Name: rapid.SampledFrom([]string{"", "north", "south"}).Draw(t, "name"),
				Keys: rapid.SliceOfN(key, 0, 3).Draw(t, "keys"),
			}
		}), 0, 4).Draw(t, "workspaces")
		d := credentials.NewDirectory(workspaces)
		asked := key.Draw(t, "asked")
		want := ""
		for _, w := range workspaces {
			for _, k := range w.Keys {
				if want == "" && k == asked && k != "" {
					want = w.Name
				}
			}
		}
		got, ok := d.Find(asked)
		assert.Equal(t, got, want)
		assert.Equal(t, ok, want != "")
	})
}

// TestPrintedDirectoryHasNoKeys guards against keys in a log line or a dump that prints the directory.
func TestPrintedDirectoryHasNoKeys(t *testing.T) {
	d := credentials.NewDirectory([]queue.Workspace{{Name: "north", Keys: []string{"k-19fe33"}}})
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		text := fmt.Sprintf(format, d)
		assert.Assert(t, !strings.Contains(text, "k-19fe33"), format)
	}
}
