package entryhost

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// newDaemon creates a daemon without a configuration and runs only its dispatcher.
func newDaemon(t *testing.T) *Daemon {
	t.Helper()
	s := &pb.Settings{}
	assert.NilError(t, settings.Parse("entry.ini", []byte(`[entry_host]
name = entry-1
data_centre = palermo
caller_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
operator_address = 127.0.0.1:3
[store]
address = http://127.0.0.1:4
[platform]
address = http://127.0.0.1:4
[operator]
token = token
`), s))
	d, err := New(s, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.dispatch.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d
}

func get(t *testing.T, handler http.Handler, path string) string {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody))
	data, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return string(data)
}

func TestMetricsOfNewDaemon(t *testing.T) {
	d := newDaemon(t)
	refused := get(t, d.callers, "/v1/services/labels/x")
	assert.Assert(t, strings.Contains(refused, `"outcome":"not-run"`), refused)
	served := get(t, d.gauges.Handler(), "/metrics")
	for _, line := range []string{
		`agateturn_refusals_total{code="unready"} 1`,
		`agateturn_ready 0`, `agateturn_requests_held 0`, `agateturn_config_generation 0`, `agateturn_fleet_revision 0`,
		`agateturn_slots{state="waiting"} 0`, `agateturn_slots{state="lent"} 0`, `agateturn_ejected_hosts 0`,
		`agateturn_keys_remembered 0`, `agateturn_ring_capacity{ring="dispatch"} 8192`, `agateturn_ring_items{ring="claim ends"} 0`,
	} {
		assert.Assert(t, strings.Contains(served, "\n"+line+"\n"), "%s is not in\n%s", line, served)
	}
}

// TestEveryMetricIsDocumented checks that the operators' page documents every metric and refusal code in the code.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var code []byte
	var files []string
	for _, dir := range []string{".", "../callers", "../measures", "../refusalcode"} {
		found, err := filepath.Glob(filepath.Join(dir, "*.go"))
		assert.NilError(t, err)
		files = append(files, found...)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		code = append(code, text...)
	}
	names := regexp.MustCompile(`"(agateturn_\w+)"`).FindAllSubmatch(code, -1)
	assert.Assert(t, len(names) > 10)
	for _, name := range names {
		assert.Assert(t, strings.Contains(string(page), "`"+string(name[1])), "%s is not explained", name[1])
	}
	codes := regexp.MustCompile(`Code += "(\w+)"`).FindAllSubmatch(code, -1)
	assert.Assert(t, len(codes) > 10)
	for _, c := range codes {
		assert.Assert(t, strings.Contains(string(page), "`"+string(c[1])+"`"), "refusal code %s is not explained", c[1])
	}
}
