package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testToken = "a-token-that-stays-secret"

// fakeBackend returns err from its methods that can fail. The embedded Backend is nil, as no test calls its other methods.
type fakeBackend struct {
	Backend
	err error
}

func (f *fakeBackend) Ready() error { return f.err }

func (f *fakeBackend) Status(context.Context) Status { return Status{EntryHost: "entry-1"} }

func (f *fakeBackend) Configuration(context.Context) (ConfigDocument, error) {
	return ConfigDocument{Generation: 3, INI: "[deployment]\n"}, f.err
}

func (f *fakeBackend) ApplyConfiguration(context.Context, ConfigChange) (ConfigResult, error) {
	return ConfigResult{Generation: 4}, f.err
}

func (f *fakeBackend) MoveHost(_ context.Context, o MoveOrder) (Accepted, error) {
	if o.Host != "w1" {
		return Accepted{}, NotFound.New("host %q", o.Host)
	}
	return Accepted{FleetRevision: 7}, f.err
}

// testAPI is an API under test with its log.
type testAPI struct {
	url     string
	log     *bytes.Buffer
	backend *fakeBackend
}

func serve(t *testing.T) *testAPI {
	t.Helper()
	s := &testAPI{log: &bytes.Buffer{}, backend: &fakeBackend{}}
	server := httptest.NewServer(New(s.backend, Options{
		Token:   testToken,
		Logger:  slog.New(slog.NewTextHandler(s.log, nil)),
		Metrics: http.NotFoundHandler(),
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// response is the status and the header of an answer.
type response struct {
	status int
	header http.Header
}

// send makes a request and returns the answer and its body.
func (s *testAPI) send(t *testing.T, method, path, authorization, body string) (response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, s.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, "request-17")
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{status: resp.StatusCode, header: resp.Header}, string(data)
}

func TestEveryOperationNeedsTheToken(t *testing.T) {
	s := serve(t)
	var document struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	_, text := s.send(t, http.MethodGet, "/openapi.json", "", "")
	assert.NilError(t, json.Unmarshal([]byte(text), &document))
	assert.Assert(t, len(document.Paths) >= 6, "%s", text)
	invalid := []string{"", "Bearer ", "Bearer wrong-credential", "Basic " + testToken, testToken, "Bearer " + testToken + "x"}
	for path, operations := range document.Paths {
		for method := range operations {
			for _, authorization := range invalid {
				resp, body := s.send(t, strings.ToUpper(method), path, authorization, "{}")
				assert.Equal(t, resp.status, http.StatusUnauthorized, "%s %s with %q", method, path, authorization)
				assert.Assert(t, !strings.Contains(body, testToken))
			}
		}
	}
	logged := s.log.String()
	assert.Assert(t, strings.Contains(logged, "event=801") && strings.Contains(logged, "request=request-17"), logged)
	assert.Assert(t, !strings.Contains(logged, testToken) && !strings.Contains(logged, "wrong-credential"), logged)
}

func TestAnswersCarryTheRequestID(t *testing.T) {
	s := serve(t)
	for _, authorization := range []string{"Bearer " + testToken, ""} {
		resp, _ := s.send(t, http.MethodGet, "/v1/status", authorization, "")
		assert.Equal(t, resp.header.Get(headerRequestID), "request-17")
	}
}

func TestBackendErrorsMapToHTTPStatuses(t *testing.T) {
	tests := []struct {
		err    error
		status int
		detail string
	}{
		{nil, http.StatusOK, ""},
		{Refused.New("no room; add hosts"), http.StatusUnprocessableEntity, "no room; add hosts"},
		{Conflict.New("another came first"), http.StatusConflict, "another came first"},
		{Unavailable.New("store down"), http.StatusServiceUnavailable, "store down"},
		{Unknown.New("answer lost"), http.StatusGatewayTimeout, "answer lost"},
	}
	s := serve(t)
	for _, test := range tests {
		s.backend.err = test.err
		resp, body := s.send(t, http.MethodPost, "/v1/hosts/w1/move", "Bearer "+testToken, `{"target_pool":"b","operation_id":"operation-1"}`)
		assert.Equal(t, resp.status, test.status, body)
		assert.Assert(t, !strings.Contains(body, "$schema"), body)
		var problem struct {
			Detail string `json:"detail"`
		}
		assert.NilError(t, json.Unmarshal([]byte(body), &problem))
		assert.Equal(t, problem.Detail, test.detail)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	s := serve(t)
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"malformed", http.MethodPost, "/v1/hosts/w1/move", `{"target_pool":`, http.StatusBadRequest},
		{"no operation id", http.MethodPost, "/v1/hosts/w1/move", `{"target_pool":"b"}`, http.StatusUnprocessableEntity},
		{"unknown field", http.MethodPost, "/v1/hosts/w1/move", `{"target_pool":"b","operation_id":"operation-1","pool":"c"}`, http.StatusUnprocessableEntity},
		{"unknown host", http.MethodPost, "/v1/hosts/w9/move", `{"target_pool":"b","operation_id":"operation-1"}`, http.StatusNotFound},
		{"too large", http.MethodPut, "/v1/config", `{"ini":"` + strings.Repeat("x", maxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown path", http.MethodGet, "/v1/nothing", "", http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp, body := s.send(t, test.method, test.path, "Bearer "+testToken, test.body)
			assert.Equal(t, resp.status, test.status, body)
			assert.Assert(t, !strings.Contains(body, testToken), body)
		})
	}
}

func TestReadinessNeedsNoToken(t *testing.T) {
	s := serve(t)
	resp, _ := s.send(t, http.MethodGet, "/readyz", "", "")
	assert.Equal(t, resp.status, http.StatusOK)
	s.backend.err = Unavailable.New("no configuration")
	resp, body := s.send(t, http.MethodGet, "/readyz", "", "")
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no configuration"))
	resp, _ = s.send(t, http.MethodGet, "/healthz", "", "")
	assert.Equal(t, resp.status, http.StatusOK)
}

// TestSlowBodyTimesOut sends only the start of a body. The API must answer 408 after bodyTimeout instead of holding the
// connection indefinitely.
func TestSlowBodyTimesOut(t *testing.T) {
	s := serve(t)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "PUT /v1/config HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testToken+
		"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(6*bodyTimeout)))
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 408"), "%s", answer)
}
