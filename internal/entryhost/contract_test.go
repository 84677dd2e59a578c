package entryhost

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// TestRefusalsFollowContract sends requests that docs/CALLERS.md says are refused to an entry host that is not a member yet.
func TestRefusalsFollowContract(t *testing.T) {
	d := newDaemon(t)
	cfg := &pb.Configuration{}
	assert.NilError(t, settings.Load("../../examples/agency/deployment.ini", cfg))
	cfg.Generation = 1
	assert.Assert(t, d.view.ApplyConfig(time.Now(), cfg))
	d.settings.Limits.MaxBodyBytes = 1024
	tests := []struct {
		name, path, header, value, body string
		status                          int
		retryAfter                      string
	}{
		{"wrong path", "/labels", "", "", "", http.StatusNotFound, ""},
		{"no service", "/v1/services//x", "", "", "", http.StatusNotFound, ""},
		{"unknown service", "/v1/services/nothing/x", "", "", "", http.StatusNotFound, ""},
		{"no team", "/v1/services/tastings/x", "Agateturn-Team", "", "", http.StatusForbidden, ""},
		{"unknown team", "/v1/services/tastings/x", "Agateturn-Team", "nobody", "", http.StatusForbidden, ""},
		{"unknown class", "/v1/services/tastings/x", "Agateturn-Class", "fast", "", http.StatusBadRequest, ""},
		{"timeout without unit", "/v1/services/tastings/x", "Agateturn-Timeout", "10", "", http.StatusBadRequest, ""},
		{"no time", "/v1/services/tastings/x", "Agateturn-Timeout", "0s", "", http.StatusBadRequest, ""},
		{"long key", "/v1/services/tastings/x", "Idempotency-Key", strings.Repeat("k", 129), "", http.StatusBadRequest, ""},
		{"long request id", "/v1/services/tastings/x", "Agateturn-Request-Id", strings.Repeat("k", 129), "", http.StatusBadRequest, ""},
		{"large body", "/v1/services/tastings/x", "", "", strings.Repeat("b", 1025), http.StatusRequestEntityTooLarge, ""},
		{"unready", "/v1/services/tastings/x", "", "", "fee=12", http.StatusServiceUnavailable, "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, strings.NewReader(test.body))
			r.Header.Set("Agateturn-Team", "artisans")
			if test.header != "" {
				r.Header.Set(test.header, test.value)
			}
			w := httptest.NewRecorder()
			d.callers.ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.status, w.Body.String())
			assert.Equal(t, w.Header().Get("Agateturn-Outcome"), "not-run")
			assert.Equal(t, w.Header().Get("Retry-After"), test.retryAfter)
			var body struct{ Outcome, Reason string }
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Assert(t, body.Outcome == "not-run" && body.Reason != "", w.Body.String())
		})
	}
}
