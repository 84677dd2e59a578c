package ctl

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

// fakeJobs is an entry host that serves one job.
type fakeJobs struct {
	err    error
	filter operatorapi.JobFilter
}

var testJob = operatorapi.JobStatus{
	ID: "00000000000000a1", Queue: "checks", Pool: "exports", State: "running", AcceptedMS: 1_700_000_000_000,
	Tasks: 4, Running: 1, Succeeded: 3, Failures: 2,
	Placements:  []operatorapi.JobPlacement{{Task: "00000000000000a1.0.0.3", Run: 8, Worker: "w7", Percent: 100}},
	Explanation: []string{"occurrence 0 step 0: 3 of 4 done"},
}

func (f *fakeJobs) Ready() error { return nil }

func (f *fakeJobs) Jobs(_ context.Context, filter operatorapi.JobFilter) (operatorapi.JobList, error) {
	f.filter = filter
	return operatorapi.JobList{Jobs: []operatorapi.JobStatus{testJob}, Missing: []string{"registry"}}, f.err
}

func (f *fakeJobs) Job(_ context.Context, id string) (operatorapi.JobStatus, error) {
	if id != testJob.ID {
		return operatorapi.JobStatus{ID: id, Pool: "exports", State: "completed", StateOnly: true}, f.err
	}
	return testJob, f.err
}

func (f *fakeJobs) CancelJob(_ context.Context, id string) (operatorapi.JobCancelled, error) {
	return operatorapi.JobCancelled{ID: id, Pool: "exports"}, f.err
}

func serveJobs(t *testing.T) (*fakeJobs, string) {
	t.Helper()
	f := &fakeJobs{}
	server := httptest.NewServer(operatorapi.NewJobs(f, operatorapi.Options{
		Token: testToken, Logger: slog.New(slog.DiscardHandler), Metrics: http.NotFoundHandler(),
	}))
	t.Cleanup(server.Close)
	return f, strings.TrimPrefix(server.URL, "http://")
}

func TestJobs(t *testing.T) {
	tests := []struct {
		command    string
		substrings []string
	}{
		{"jobs", []string{"JOB", "00000000000000a1", "3/4", "2023-11-14T22:13:20.000Z"}},
		{"jobs list --pool exports --queue checks --state running --limit 7", []string{"exports", "checks", "running"}},
		{"jobs show 00000000000000a1", []string{"3/4 tasks done, 1 placed, 2 failed runs", "w7"}},
		{"jobs show 00000000000000a2", []string{"is completed; its owner gives no details"}},
		{"jobs explain 00000000000000a1", []string{"3 of 4 done"}},
		{"jobs cancel 00000000000000a1", []string{"job 00000000000000a1 of pool exports is cancelled"}},
	}
	for _, test := range tests {
		t.Run(test.command, func(t *testing.T) {
			f, address := serveJobs(t)
			args := append(strings.Fields(test.command), "--address", address, "--token", testToken)
			table := runTool(t, args...)
			assert.Equal(t, table.code, ExitOK, table.errOut)
			for _, substring := range test.substrings {
				assert.Assert(t, strings.Contains(table.out, substring), "%q is not in:\n%s", substring, table.out)
			}
			if strings.Contains(test.command, "--limit") {
				want := operatorapi.JobFilter{Pool: "exports", Queue: "checks", State: "running", Limit: 7}
				assert.Equal(t, f.filter, want)
				assert.Assert(t, strings.Contains(table.errOut, "no answer from the owners of registry"), table.errOut)
			}
			document := runTool(t, append(args, "--output", "json")...)
			assert.Equal(t, document.code, ExitOK, document.errOut)
			assert.Assert(t, json.Valid([]byte(document.out)), document.out)
		})
	}
}

func TestJobErrors(t *testing.T) {
	tests := []struct {
		err  error
		code int
		text string
	}{
		{operatorapi.NotFound.New("no job"), ExitRefused, "refused: no job"},
		{operatorapi.Unavailable.New("store down"), ExitUnavailable, "nothing was changed"},
		{operatorapi.Unknown.New("answer lost"), ExitUnknown, "outcome unknown; repeat the command, which is not a second change: answer lost"},
	}
	for _, test := range tests {
		f, address := serveJobs(t)
		f.err = test.err
		got := runTool(t, "jobs", "cancel", testJob.ID, "--address", address, "--token", testToken)
		assert.Equal(t, got.code, test.code)
		assert.Assert(t, strings.Contains(got.errOut, test.text), got.errOut)
	}
	_, address := serveJobs(t)
	assert.Equal(t, runTool(t, "jobs", "list", "--state", "lost", "--address", address).code, ExitUsage)
}
