package poolowner

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/stats"
)

// TestWorkspaceWaitIsBounded guards against a series for each of arbitrarily many workspaces, and against waits that are lost
// beyond the bound or recorded for jobs without a workspace. Load: 300 workspaces with one job each, then the first again.
func TestWorkspaceWaitIsBounded(t *testing.T) {
	s := stats.New(stats.Limits{})
	o := &Owner{Options: Options{Metrics: NewMetrics(s)}}
	begun := func(workspace string) {
		o.updateMetrics(&scheduler.Decision{Kind: scheduler.DecisionBegun, Workspace: workspace, Age: 20 * time.Millisecond})
	}
	for i := range 300 {
		begun(fmt.Sprintf("workspace-%d", i))
	}
	begun("workspace-0")
	begun("")
	out := httptest.NewRecorder()
	s.Handler().ServeHTTP(out, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	text := out.Body.String()
	assert.Equal(t, strings.Count(text, metricWorkspaceWait+"_count{"), maxWorkspaceNames+1)
	assert.Assert(t, strings.Contains(text, metricWorkspaceWait+`_count{workspace="workspace-0"} 2`), "%s", text[:200])
	assert.Assert(t, strings.Contains(text, metricWorkspaceWait+`_count{workspace="other"} 44`))
}
