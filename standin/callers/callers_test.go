package callers

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// entryHost starts a stub entry host and returns its address. If corrupt is not nil, it may change each answer.
func entryHost(t *testing.T, corrupt func(n int64, w http.ResponseWriter, body []byte) []byte) string {
	t.Helper()
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		length, _ := strconv.Atoi(r.URL.Query().Get("size"))
		if stream, err := strconv.Atoi(r.URL.Query().Get("stream")); err == nil {
			length = stream * AnswerLineBytes
		}
		w.Header().Set(headerRequestID, id)
		w.Header().Set(headerOutcome, outcomeDone)
		body := AnswerBytes(id, length)
		if corrupt != nil {
			body = corrupt(count.Add(1), w, body)
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// short returns the Config of a load of a few dozen requests.
func short(target string) Config {
	config := Default()
	config.Targets = []Target{{Address: target, Weight: 1}}
	config.Services = []Service{{Name: "tastings", Rate: 60}, {Name: "exports", Rate: 60}}
	config.Duration, config.BurstLength = 400*time.Millisecond, 200*time.Millisecond
	config.SessionLength = 3 * time.Second
	return config
}

func TestCompleteAnswersAreCountedAsWhole(t *testing.T) {
	report, err := Run(t.Context(), short(entryHost(t, nil)))
	assert.NilError(t, err)
	planned := len(Plan(short("")))
	assert.Equal(t, lo.SumBy(report.Services, func(s ServiceReport) int { return s.Whole }), planned)
	assert.Assert(t, planned > 20)
	var table strings.Builder
	assert.NilError(t, report.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "tastings"))
}

func TestEachCorruptedAnswerIsDetected(t *testing.T) {
	for name, corruption := range map[string]struct {
		corrupt func(w http.ResponseWriter, body []byte) []byte
		counts  func(ServiceReport) int
	}{
		"another's body": {
			func(_ http.ResponseWriter, body []byte) []byte { return AnswerBytes("another", len(body)) },
			func(s ServiceReport) int { return s.Wrong },
		},
		"another's id": {
			func(w http.ResponseWriter, body []byte) []byte {
				w.Header().Set(headerRequestID, "another")
				return body
			},
			func(s ServiceReport) int { return s.Wrong },
		},
		"no id": {
			func(w http.ResponseWriter, body []byte) []byte {
				w.Header().Del(headerRequestID)
				return body
			},
			func(s ServiceReport) int { return s.Wrong },
		},
		"truncated without a transport error": {
			func(_ http.ResponseWriter, body []byte) []byte { return body[:len(body)/2] },
			func(s ServiceReport) int { return s.Wrong },
		},
		"empty": {
			func(http.ResponseWriter, []byte) []byte { return nil },
			func(s ServiceReport) int { return s.Wrong },
		},
		"twice": {
			func(_ http.ResponseWriter, body []byte) []byte { return append(body, body...) },
			func(s ServiceReport) int { return s.Wrong },
		},
		"cut connection": {
			func(w http.ResponseWriter, body []byte) []byte {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = w.Write(body[:1])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			func(s ServiceReport) int { return s.Cut },
		},
		"no answer": {
			func(http.ResponseWriter, []byte) []byte { panic(http.ErrAbortHandler) },
			func(s ServiceReport) int { return s.NoAnswer },
		},
		"not run": {
			func(w http.ResponseWriter, _ []byte) []byte {
				w.Header().Set(headerOutcome, outcomeNotRun)
				w.Header().Set(headerRetryAfter, "2")
				w.WriteHeader(http.StatusServiceUnavailable)
				return nil
			},
			func(s ServiceReport) int { return s.NotRun },
		},
		"not run, no retry delay": {
			func(w http.ResponseWriter, _ []byte) []byte {
				w.Header().Set(headerOutcome, outcomeNotRun)
				w.WriteHeader(http.StatusServiceUnavailable)
				return nil
			},
			func(s ServiceReport) int { return s.Unexpected },
		},
		"unknown": {
			func(w http.ResponseWriter, _ []byte) []byte {
				w.Header().Set(headerOutcome, outcomeUnknown)
				w.WriteHeader(http.StatusBadGateway)
				return nil
			},
			func(s ServiceReport) int { return s.Unknown },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := entryHost(t, func(n int64, w http.ResponseWriter, body []byte) []byte {
				if n%2 == 0 {
					return body
				}
				return corruption.corrupt(w, body)
			})
			report, err := Run(t.Context(), short(target))
			assert.NilError(t, err)
			sent := lo.SumBy(report.Services, func(s ServiceReport) int { return s.Sent })
			assert.Equal(t, lo.SumBy(report.Services, corruption.counts), (sent+1)/2)
			assert.Equal(t, lo.SumBy(report.Services, func(s ServiceReport) int { return s.Whole }), sent/2)
		})
	}
}

func TestCheckerAgreesWithBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expectedLength := rapid.IntRange(1, 500).Draw(t, "wanted")
		answer := AnswerBytes("id", rapid.IntRange(0, 2*expectedLength).Draw(t, "length"))
		if rapid.Bool().Draw(t, "whole") {
			answer = AnswerBytes("id", expectedLength)
		}
		if len(answer) > 0 && rapid.Bool().Draw(t, "flip") {
			answer[rapid.IntRange(0, len(answer)-1).Draw(t, "at")] ^= 1
		}
		baseline := string(answer) == string(AnswerBytes("id", expectedLength))
		check := newChecker("id", expectedLength)
		for unread := answer; len(unread) > 0; {
			n := rapid.IntRange(1, len(unread)).Draw(t, "part")
			_, _ = check.Write(unread[:n])
			unread = unread[n:]
		}
		assert.Equal(t, check.complete(), baseline)
	})
}

// TestRepeatsShareTheirKey also checks that each request without a repeat has a key of its own.
func TestRepeatsShareTheirKey(t *testing.T) {
	var mu sync.Mutex
	sent := make(map[string][]string)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(headerKey)
		sent[key] = append(sent[key], r.Header.Get(headerRequestID))
	}))
	defer server.Close()
	config := short(strings.TrimPrefix(server.URL, "http://"))
	config.KeyedShare, config.RepeatShare, config.SessionShare = 1, 0.5, 0
	_, err := Run(t.Context(), config)
	assert.NilError(t, err)
	plan := Plan(config)
	repeated := lo.CountBy(plan, func(r Request) bool { return r.Repeat != "" })
	assert.Assert(t, repeated > 0 && repeated < len(plan))
	assert.Equal(t, len(sent), len(plan))
	assert.Equal(t, lo.CountBy(lo.Values(sent), func(ids []string) bool { return len(ids) == 2 && ids[0] == ids[1] }), repeated)
}

func TestPlanFollowsDemand(t *testing.T) {
	config := short("")
	config.Services = []Service{{Name: "a", Rate: 100}, {Name: "b", Rate: 100}, {Name: "c", Rate: 100}}
	config.Duration, config.BurstLength = 60*time.Second, 10*time.Second
	plan := Plan(config)
	assert.DeepEqual(t, plan, Plan(config))
	inBursts := lo.CountBy(plan, func(r Request) bool {
		return config.Services[int(r.At/config.BurstLength)%3].Name == r.Service
	})
	// Each second one service gets 500 requests and the other two 5 each; the tolerance is 5 standard deviations.
	assertNear(t, inBursts, 30000)
	assertNear(t, len(plan)-inBursts, 600)
	assertNear(t, lo.CountBy(plan, func(r Request) bool { return r.Class == ClassSession }), 0.02*30600)
	for _, request := range plan {
		assert.Assert(t, !request.Keyed || request.Class != ClassSession)
	}
}

func assertNear(t *testing.T, count int, mean float64) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(count)-mean) <= 5*math.Sqrt(mean), "%d, expected about %.0f", count, mean)
}

func TestOnlyLoopbackIsAddressed(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "localhost:80", "0.0.0.0:80", "127.0.0.1", "[::ffff:192.0.2.1]:80"} {
		_, err := Run(t.Context(), short(address))
		assert.Assert(t, InvalidConfig.Has(err), "%s: %v", address, err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://192.0.2.1/", nil)
	assert.NilError(t, err)
	response, err := newClient().Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.ErrorContains(t, err, "not on loopback")
}

func TestStopEndsTheLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	config := short(entryHost(t, nil))
	config.Duration = MaxDuration
	config.Services = []Service{{Name: "tastings", Rate: 20}}
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := Run(ctx, config)
	assert.NilError(t, err)
}

func ExampleAnswerBytes() {
	answer := AnswerBytes("request-1", 100)
	fmt.Println(len(answer), string(answer[:8]) == string(answer[AnswerLineBytes:][:8]))
	// Output: 100 true
}
