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

// Header fields of the contract between callers and agateturn.
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

// answerGrace is how long after its timeout a request is given up by the caller.
const answerGrace = 2 * time.Second

// Result is how one request ended.
type Result int

// The results of requests.
const (
	// ResultWhole is the whole answer to the own request.
	ResultWhole Result = iota
	// ResultWrong is an answer that is another's, or cut although it looked whole.
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
	// ResultSkipped was not sent because too many were in flight.
	ResultSkipped
)

// resultNames are by Result.
var resultNames = []string{"whole", "wrong", "failed run", "not run", "unknown", "cut", "no answer", "unexpected", "skipped"}

// String is the result for people.
func (r Result) String() string { return resultNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Result) UnmarshalText(text []byte) error {
	i := slices.Index(resultNames, string(text))
	if i < 0 {
		return InvalidConfig.New("no result %q", text)
	}
	*r = Result(i)
	return nil
}

// newClient returns a client that uses each connection once and refuses any address but loopback when it connects.
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

// identity is what a request and its repeat share.
type identity struct {
	id, key string
}

func newIdentity(planned Request) identity {
	own := identity{id: uuid.Must(uuid.NewV7()).String()}
	if planned.Keyed {
		own.key = uuid.Must(uuid.NewV7()).String()
	}
	return own
}

// send sends one request and judges its answer; status is 0 without one, reason is the text of an unexpected one.
func send(ctx context.Context, client *http.Client, config Config, planned Request, own identity) (result Result, status int, reason string) {
	ctx, cancel := context.WithTimeout(ctx, config.patience(planned))
	defer cancel()
	request, err := newRequest(ctx, config, planned, own)
	if err != nil {
		return ResultNoAnswer, 0, ""
	}
	response, err := client.Do(request)
	if err != nil {
		return ResultNoAnswer, 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	check := newChecker(own.id, config.answerLength(planned))
	if result = judge(response, own.id, check); result == ResultUnexpected {
		reason = string(check.first)
	}
	return result, response.StatusCode, reason
}

// patience is how long a caller waits for the end of its answer.
func (c Config) patience(planned Request) time.Duration {
	if planned.Class == ClassSession {
		return c.Timeout + c.SessionLength + answerGrace
	}
	return c.Timeout + answerGrace
}

// sessionSeconds is the length of a session; it streams one line a second.
func (c Config) sessionSeconds() int { return int(c.SessionLength / time.Second) }

func (c Config) answerLength(planned Request) int {
	if planned.Class == ClassSession {
		return c.sessionSeconds() * AnswerLineBytes
	}
	return c.AnswerBytes
}

// query asks the workers' stand-in for a run time and an answer.
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

func newRequest(ctx context.Context, config Config, planned Request, own identity) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if planned.Keyed {
		method, body = http.MethodPost, strings.NewReader(own.id)
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
	request.Header.Set(headerRequestID, own.id)
	if own.key != "" {
		request.Header.Set(headerKey, own.key)
	}
	return request, nil
}

// judge reads the answer to its end and says what it is.
func judge(response *http.Response, id string, check *checker) Result {
	if _, err := io.Copy(check, response.Body); err != nil {
		return ResultCut
	}
	if echoed := response.Header.Get(headerRequestID); echoed != "" && echoed != id {
		return ResultWrong
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeDone:
		return judgeDone(response, id, check)
	case outcomeNotRun:
		return judgeNotRun(response)
	case outcomeUnknown:
		return ResultUnknown
	default:
		return ResultUnexpected
	}
}

func judgeDone(response *http.Response, id string, check *checker) Result {
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return ResultFailedRun
	case response.Header.Get(headerRequestID) != id || !check.whole():
		return ResultWrong
	default:
		return ResultWhole
	}
}

// judgeNotRun checks that a caller that is sent away is told when to come back.
func judgeNotRun(response *http.Response) Result {
	code := response.StatusCode
	if code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
		return ResultNotRun
	}
	if _, err := strconv.ParseUint(response.Header.Get(headerRetryAfter), 10, 32); err != nil {
		return ResultUnexpected
	}
	return ResultNotRun
}
