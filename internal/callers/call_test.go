package callers

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/internal/view"
)

// TestOnlyIdempotentRequestsAreRetried checks which requests may be retried after an unknown outcome.
func TestOnlyIdempotentRequestsAreRetried(t *testing.T) {
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

// TestClaimVerdictsMapToContract checks the answer to a repeated idempotency key for each claim verdict.
func TestClaimVerdictsMapToContract(t *testing.T) {
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
	assert.Equal(t, len(tests)+1, len(pb.ClaimVerdict_name)) // every verdict except granted
	for _, test := range tests {
		r := refusalOf(&pb.ClaimResponse{Verdict: test.verdict})
		assert.Equal(t, r.status, test.status, "%v", test.verdict)
		assert.Equal(t, r.outcome, test.outcome, "%v", test.verdict)
	}
}

// TestMissingConfigurationGivesRetryDelay checks that an entry host without a configuration yet gives a retry delay.
func TestMissingConfigurationGivesRetryDelay(t *testing.T) {
	s := &Server{view: view.New(&pb.Member{}, time.Minute, time.Minute)}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/services/s/job", nil)
	_, r := s.parse(request, time.Now())
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.outcome, outcomeNotRun)
	assert.Assert(t, r.retryAfter > 0)
	assert.Equal(t, r.code, refusalcode.Unready)
}

// TestRefusalsHaveCode checks that each status and claim verdict of a refusal maps to a refusal code.
func TestRefusalsHaveCode(t *testing.T) {
	for _, status := range []int{400, 403, 404, 408, 409, 413, 502, 503, 504} {
		assert.Assert(t, refusalcode.OfStatus(status) != refusalcode.Other, "status %d", status)
	}
	for verdict := range pb.ClaimVerdict_name {
		if r := refusalOf(&pb.ClaimResponse{Verdict: pb.ClaimVerdict(verdict)}); r.code == "" {
			assert.Equal(t, refusalcode.OfStatus(r.status), refusalcode.KeyRepeated, "verdict %d", verdict)
		}
	}
}
