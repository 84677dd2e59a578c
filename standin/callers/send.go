package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
)

// Header fields and outcomes of the contract between callers and agateturn.
const (
	headerTeam       = "Agateturn-Team"
	headerClass      = "Agateturn-Class"
	headerTimeout    = "Agateturn-Timeout"
	headerKey        = "Idempotency-Key"
	headerRequestID  = "Agateturn-Request-Id"
	headerOutcome    = "Agateturn-Outcome"
	headerRetryAfter = "Retry-After"

	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// answerGrace is the time after the timeout of a request at which the caller cancels it.
const answerGrace = 2 * time.Second

// Result is the result of one request.
type Result int

// The results of requests.
const (
	// ResultWhole is a complete answer that belongs to the request.
	ResultWhole Result = iota
	// ResultWrong is an answer that belongs to another request, or is truncated without a transport error.
	ResultWrong
	// ResultFailedRun is an answer of a worker with an error status.
	ResultFailedRun
	ResultNotRun
	ResultUnknown
	// ResultCut is an answer whose connection broke before its end.
	ResultCut
	// ResultNoAnswer is a transport error before any answer.
	ResultNoAnswer
	// ResultUnexpected is an answer outside the contract, such as one without an outcome or a not-run without Retry-After.
	ResultUnexpected
	// ResultSkipped is a request that was not sent because too many were in flight.
	ResultSkipped
)

// resultNames holds the names of the results, indexed by Result.
var resultNames = []string{"whole", "wrong", "failed run", "not run", "unknown", "cut", "no answer", "unexpected", "skipped"}

// String returns the name of the result.
func (r Result) String() string { return resultNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Result) UnmarshalText(text []byte) error {
	i := slices.Index(resultNames, string(text))
	if i < 0 {
		return InvalidConfig.New("unknown result %q", text)
	}
	*r = Result(i)
	return nil
}

// newClient returns a client that uses each connection once and refuses to connect to addresses that are not loopback.
func newClient() *http.Client {
	dialer := &net.Dialer{Control: func(_, address string, _ syscall.RawConn) error {
		if !isLoopback(address) {
			return InvalidConfig.New("%s is not on loopback", address)
		}
		return nil
	}}
	return &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// requestIDs holds the request id and the idempotency key that a request and its repeat share.
type requestIDs struct {
	id, key string
}

func newRequestIDs(planned Request) requestIDs {
	ids := requestIDs{id: uuid.Must(uuid.NewV7()).String()}
	if planned.Keyed {
		ids.key = uuid.Must(uuid.NewV7()).String()
	}
	return ids
}

// send sends one request and classifies its answer. The status is 0 if there is no answer; reason is the start of the body
// of an unexpected one.
func send(ctx context.Context, client *http.Client, config Config, planned Request, ids requestIDs) (result Result, status int, reason string) {
	ctx, cancel := context.WithTimeout(ctx, config.answerTimeout(planned))
	defer cancel()
	request, err := newRequest(ctx, config, planned, ids)
	if err != nil {
		return ResultNoAnswer, 0, ""
	}
	response, err := client.Do(request)
	if err != nil {
		return ResultNoAnswer, 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	check := newChecker(ids.id, config.answerLength(planned))
	if result = classify(response, ids.id, check); result == ResultUnexpected {
		reason = string(check.prefix)
	}
	return result, response.StatusCode, reason
}

// answerTimeout returns the time that a caller waits for the end of its answer.
func (c Config) answerTimeout(planned Request) time.Duration {
	if planned.Class == ClassSession {
		return c.Timeout + c.SessionLength + answerGrace
	}
	return c.Timeout + answerGrace
}

// sessionSeconds returns the length of a session, which streams one line per second.
func (c Config) sessionSeconds() int { return int(c.SessionLength / time.Second) }

func (c Config) answerLength(planned Request) int {
	if planned.Class == ClassSession {
		return c.sessionSeconds() * AnswerLineBytes
	}
	return c.AnswerBytes
}

// query returns the query by which the stand-in of the workers selects the run time and the answer.
func (c Config) query(planned Request) url.Values {
	if planned.Class == ClassSession {
		return url.Values{"run": {"0s"}, "stream": {strconv.Itoa(c.sessionSeconds())}}
	}
	query := url.Values{"size": {strconv.Itoa(c.AnswerBytes)}}
	if c.RunTime > 0 {
		query.Set("run", c.RunTime.String())
	}
	return query
}

func newRequest(ctx context.Context, config Config, planned Request, ids requestIDs) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if planned.Keyed {
		method, body = http.MethodPost, strings.NewReader(ids.id)
	}
	target := url.URL{
		Scheme:   "http",
		Host:     planned.Target,
		Path:     "/v1/services/" + planned.Service + "/job",
		RawQuery: config.query(planned).Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerTeam, planned.Team)
	request.Header.Set(headerClass, string(planned.Class))
	request.Header.Set(headerTimeout, config.Timeout.String())
	request.Header.Set(headerRequestID, ids.id)
	if ids.key != "" {
		request.Header.Set(headerKey, ids.key)
	}
	return request, nil
}

// classify reads the answer to its end and returns its result.
func classify(response *http.Response, id string, check *checker) Result {
	if _, err := io.Copy(check, response.Body); err != nil {
		return ResultCut
	}
	if echoed := response.Header.Get(headerRequestID); echoed != "" && echoed != id {
		return ResultWrong
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeDone:
		return classifyDone(response, id, check)
	case outcomeNotRun:
		return classifyNotRun(response)
	case outcomeUnknown:
		return ResultUnknown
	default:
		return ResultUnexpected
	}
}

func classifyDone(response *http.Response, id string, check *checker) Result {
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return ResultFailedRun
	case response.Header.Get(headerRequestID) != id || !check.complete():
		return ResultWrong
	default:
		return ResultWhole
	}
}

// classifyNotRun checks that an answer that rejects a request has a valid Retry-After.
func classifyNotRun(response *http.Response) Result {
	code := response.StatusCode
	if code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
		return ResultNotRun
	}
	if _, err := strconv.ParseUint(response.Header.Get(headerRetryAfter), 10, 32); err != nil {
		return ResultUnexpected
	}
	return ResultNotRun
}
