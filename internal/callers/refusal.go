package callers

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/stats"
)

const (
	// keyRetryDelay is the retry delay when a key's owner cannot be reached or cannot accept the key, when a request with the
	// key is still running, and when the request waited too long to claim its key safely.
	keyRetryDelay = time.Second
	// statusClientClosed is the non-standard status of a refusal whose caller has disconnected. Nobody receives it.
	statusClientClosed = 499
	// unreadyRetryDelay is the retry delay when this entry host is not ready or its body budget is used up.
	unreadyRetryDelay = time.Second
)

// outcome is the outcome of a request as reported to its caller.
type outcome int

const (
	outcomeNotRun outcome = iota + 1
	outcomeUnknown
	outcomeDone
)

// String returns the value of the Agateturn-Outcome header.
func (o outcome) String() string {
	switch o {
	case outcomeDone:
		return "done"
	case outcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

func (o outcome) kind() pb.OutcomeKind {
	switch o {
	case outcomeDone:
		return pb.OutcomeKind_OUTCOME_KIND_DONE
	case outcomeNotRun:
		return pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	default:
		return pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
}

// refusal is a final answer that the entry host generates itself.
type refusal struct {
	status  int
	outcome outcome
	reason  string
	// retryAfter is the retry delay; 0 omits the Retry-After header.
	retryAfter time.Duration
	// code is the metric label; if empty, it is derived from the status.
	code refusalcode.Code
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func notRun(status int, reason string, retryAfter time.Duration) refusal {
	return refusal{status: status, outcome: outcomeNotRun, reason: reason, retryAfter: retryAfter}
}

// permanentRefusal returns a not-run refusal of a request for which a retry would not help.
func permanentRefusal(status int, reason string) *refusal {
	r := notRun(status, reason, 0)
	return &r
}

func unknownOutcome(status int, reason string) refusal {
	return refusal{status: status, outcome: outcomeUnknown, reason: reason}
}

// refusalOf converts a claim that was not granted into the caller's answer.
func refusalOf(answer *pb.ClaimResponse) refusal {
	switch answer.GetVerdict() {
	case pb.ClaimVerdict_CLAIM_VERDICT_RUNNING:
		return refusal{
			status:     http.StatusConflict,
			outcome:    outcomeUnknown,
			reason:     "a request with this Idempotency-Key is running; ask again later",
			retryAfter: keyRetryDelay,
		}
	case pb.ClaimVerdict_CLAIM_VERDICT_DONE:
		return refusal{
			status:  http.StatusConflict,
			outcome: outcomeDone,
			reason:  "the request with this Idempotency-Key ran already and ended with status " + strconv.Itoa(int(answer.GetOutcome().GetStatus())),
		}
	case pb.ClaimVerdict_CLAIM_VERDICT_MISMATCH:
		return permanentRefusal(http.StatusUnprocessableEntity, "this Idempotency-Key was used for a different request; take a new one").withCode(refusalcode.KeyMismatch)
	case pb.ClaimVerdict_CLAIM_VERDICT_FULL:
		return notRun(http.StatusServiceUnavailable, "the key's owner can remember no more keys now", keyRetryDelay).withCode(refusalcode.KeysFull)
	case pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER:
		return notRun(http.StatusServiceUnavailable, "the key is changing its owner", keyRetryDelay).withCode(refusalcode.KeyOwner)
	default:
		return unknownOutcome(http.StatusConflict, "an earlier request with this Idempotency-Key may have run; it will not be run again")
	}
}

// refuseUnread refuses a request whose body may not have been read completely. It bounds the time for the rest of the body,
// because the server reads the rest before it sends the answer: a slow caller would delay the answer and occupy a connection.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request, why refusal) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodies.UnreadGrace))
	}
	s.refuse(r.Context(), w, why)
}

func writeRefusal(w http.ResponseWriter, r refusal) {
	header := w.Header()
	header.Set(HeaderOutcome, r.outcome.String())
	header.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(refusalBody{
		Outcome:      r.outcome.String(),
		Reason:       r.reason,
		RetryAfterMS: r.retryAfter.Milliseconds(),
	})
}

// withCode returns the refusal with the given code.
func (r refusal) withCode(code refusalcode.Code) refusal {
	r.code = code
	return r
}

// refuse counts the refusal and sends it.
func (s *Server) refuse(ctx context.Context, w http.ResponseWriter, r refusal) {
	code := r.code
	if code == "" {
		code = refusalcode.OfStatus(r.status)
	}
	s.stats.Counter(metricRefusals, stats.Label{Name: "code", Value: string(code)}).Inc(1)
	s.logRefusal(ctx, r)
	writeRefusal(w, r)
}

// countClaim counts a claim by its verdict, or as unreachable after an error.
func (s *Server) countClaim(answer *pb.ClaimResponse, err error) {
	verdict := "unreachable"
	if err == nil {
		verdict = strings.ToLower(strings.TrimPrefix(answer.GetVerdict().String(), "CLAIM_VERDICT_"))
	}
	s.stats.Counter(metricClaims, stats.Label{Name: "verdict", Value: verdict}).Inc(1)
}

// countUpstreamError counts an exchange without a complete answer. It ignores a cancelled one, which the host did not cause.
func (s *Server) countUpstreamError(host string, outcome outcome, result routing.Result) {
	if result == routing.Cancelled {
		return
	}
	s.stats.Counter(metricUpstreamErrors,
		stats.Label{Name: "host", Value: host}, stats.Label{Name: "outcome", Value: outcome.String()}).Inc(1)
}

// Names of the counters; docs/OPERATIONS.md says which of them to alert on.
const (
	metricRefusals       = "agateturn_refusals_total"
	metricClaims         = "agateturn_claims_total"
	metricUpstreamErrors = "agateturn_upstream_errors_total"
)
