package events

import (
	"bytes"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestNumbersAreUniqueAndGrow(t *testing.T) {
	last := 0
	names := map[string]bool{}
	for _, e := range All() {
		assert.Assert(t, e.Number > last, "%d %s", e.Number, e.Name)
		assert.Assert(t, !slices.Contains(retired, e.Number), "%d was retired", e.Number)
		assert.Assert(t, !names[e.Name], "name %s is used twice", e.Name)
		assert.Assert(t, regexp.MustCompile(`^[a-z_]+$`).MatchString(e.Name), e.Name)
		assert.Assert(t, e.Message != "")
		assert.Assert(t, e.Level < slog.LevelWarn || e.Remedy != "", "%s needs a remedy", e.Name)
		last = e.Number
		names[e.Name] = true
	}
}

// TestNumbersAreNeverReused compares the catalogue with the append-only list of all published numbers.
func TestNumbersAreNeverReused(t *testing.T) {
	names := map[int]string{}
	for _, e := range All() {
		names[e.Number] = e.Name
	}
	lines := strings.Fields(string(golden.Get(t, "published.txt")))
	for i := 0; i < len(lines); i += 2 {
		number, err := strconv.Atoi(lines[i])
		assert.NilError(t, err)
		name, used := names[number]
		assert.Assert(t, used == !slices.Contains(retired, number), "%d is neither used nor retired", number)
		assert.Assert(t, !used || name == lines[i+1], "%d was %s and is %s", number, lines[i+1], name)
		delete(names, number)
	}
	assert.Equal(t, len(names), 0, "add to testdata/published.txt: %v", names)
}

// TestEveryEventIsEmitted checks that code outside this package uses each event, and that no code uses a reserved one.
func TestEveryEventIsEmitted(t *testing.T) {
	used := map[string]bool{}
	reference := regexp.MustCompile(`\bevents\.([A-Z]\w+)`)
	assert.NilError(t, filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, found := range reference.FindAllSubmatch(code, -1) {
			used[strings.ToLower(string(found[1]))] = true
		}
		return err
	}))
	for _, e := range All() {
		name := strings.ReplaceAll(e.Name, "_", "")
		assert.Equal(t, used[name], !e.Reserved, "%d %s", e.Number, e.Name)
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	golden.Assert(t, string(Reference()), "../../docs/EVENTS.md")
}

func TestEmitCarriesNumberNameAndRemedy(t *testing.T) {
	var b bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&b, nil))
	Emit(t.Context(), logger, HostDrainHangs, slog.String("host", "w1"))
	for _, part := range []string{"level=WARN", "event=507", "name=host_drain_hangs", "remedy=", "host=w1"} {
		assert.Assert(t, bytes.Contains(b.Bytes(), []byte(part)), "%s lacks %s", b.String(), part)
	}
}
