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

// TestRefusalsKeepTheContract sends what docs/CALLERS.md says is refused to an entry host that is no member yet.
func TestRefusalsKeepTheContract(t *testing.T) {
	d := newDaemon(t)
	cfg := &pb.Configuration{}
	assert.NilError(t, settings.Load("../../examples/agency/deployment.ini", cfg))
	cfg.Generation = 1
	assert.Assert(t, d.view.applyConfig(time.Now(), cfg))
	d.settings.Limits.MaxBodyBytes = 1024
	tests := []struct {
		name, path, header, value, body string
		status                          int
		retryAfter                      string
	}{
		{"wrong path", "/labels", "", "", "", http.StatusNotFound, ""},
		{"no service", "/v1/services//x", "", "", "", http.StatusNotFound, ""},
		{"unknown service", "/v1/services/nothing/x", "", "", "", http.StatusNotFound, ""},
		{"no team", "/v1/services/tastings/x", headerTeam, "", "", http.StatusForbidden, ""},
		{"unknown team", "/v1/services/tastings/x", headerTeam, "nobody", "", http.StatusForbidden, ""},
		{"unknown class", "/v1/services/tastings/x", headerClass, "fast", "", http.StatusBadRequest, ""},
		{"timeout without unit", "/v1/services/tastings/x", headerTimeout, "10", "", http.StatusBadRequest, ""},
		{"no time", "/v1/services/tastings/x", headerTimeout, "0s", "", http.StatusBadRequest, ""},
		{"long key", "/v1/services/tastings/x", headerIdempotencyKey, strings.Repeat("k", maxKeyBytes+1), "", http.StatusBadRequest, ""},
		{"long request id", "/v1/services/tastings/x", headerRequestID, strings.Repeat("k", maxKeyBytes+1), "", http.StatusBadRequest, ""},
		{"large body", "/v1/services/tastings/x", "", "", strings.Repeat("b", 1025), http.StatusRequestEntityTooLarge, ""},
		{"unready", "/v1/services/tastings/x", "", "", "fee=12", http.StatusServiceUnavailable, "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, strings.NewReader(test.body))
			r.Header.Set(headerTeam, "artisans")
			if test.header != "" {
				r.Header.Set(test.header, test.value)
			}
			w := httptest.NewRecorder()
			d.callers.ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.status, w.Body.String())
			assert.Equal(t, w.Header().Get(headerOutcome), "not-run")
			assert.Equal(t, w.Header().Get("Retry-After"), test.retryAfter)
			var body refusalBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Assert(t, body.Outcome == "not-run" && body.Reason != "", w.Body.String())
		})
	}
}

// TestOnlySafeRequestsRunTwice tells which requests may be sent again after an unknown outcome.
func TestOnlySafeRequestsRunTwice(t *testing.T) {
	tests := []struct {
		call call
		want bool
	}{
		{call{method: http.MethodGet, class: classNormal}, true},
		{call{method: http.MethodHead, class: classUrgent}, true},
		{call{method: http.MethodGet, class: classSession}, false},
		{call{method: http.MethodGet, class: classNormal, key: "k"}, false},
		{call{method: http.MethodPost, class: classNormal}, false},
		{call{method: http.MethodPut, class: classNormal}, false},
		{call{method: http.MethodDelete, class: classNormal}, false},
	}
	for _, test := range tests {
		assert.Equal(t, test.call.idempotent(), test.want, "%s %s %q", test.call.method, test.call.class, test.call.key)
	}
}

// TestClaimVerdictsKeepTheContract checks what a repeat of a key is answered.
func TestClaimVerdictsKeepTheContract(t *testing.T) {
	tests := []struct {
		verdict pb.ClaimVerdict
		status  int
		outcome outcome
	}{
		{pb.ClaimVerdict_CLAIM_VERDICT_RUNNING, http.StatusConflict, outcomeUnknown},
		{pb.ClaimVerdict_CLAIM_VERDICT_DONE, http.StatusConflict, outcomeDone},
		{pb.ClaimVerdict_CLAIM_VERDICT_MISMATCH, http.StatusUnprocessableEntity, outcomeNotRun},
		{pb.ClaimVerdict_CLAIM_VERDICT_FULL, http.StatusServiceUnavailable, outcomeNotRun},
		{pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER, http.StatusServiceUnavailable, outcomeNotRun},
		{pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN, http.StatusConflict, outcomeUnknown},
		{pb.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED, http.StatusConflict, outcomeUnknown},
	}
	assert.Equal(t, len(tests)+1, len(pb.ClaimVerdict_name)) // all but granted
	for _, test := range tests {
		r := refusalOf(&pb.ClaimResponse{Verdict: test.verdict})
		assert.Equal(t, r.status, test.status, "%v", test.verdict)
		assert.Equal(t, r.outcome, test.outcome, "%v", test.verdict)
	}
}
