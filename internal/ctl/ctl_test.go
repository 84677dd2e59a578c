package ctl

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/settings"
)

const (
	agency  = "../../examples/agency/deployment.ini"
	answers = "../../examples/agency/answers.ini"
)

// TestCommands runs every command with both output formats: the table contains the given substrings, and the JSON output
// is one valid document.
func TestCommands(t *testing.T) {
	tests := []struct {
		command    string
		substrings []string
	}{
		{"status", []string{"controller entry-2", "7 (2 behind)", "never", "entry-1 (2 requests, oldest 1m1s), entry-2 (has not applied the drain)"}},
		{"pools", []string{"POOL", "exports  2"}},
		{"services", []string{"labels", "urgent", "12.5ms"}},
		{"hosts", []string{"w1", "draining", "move to registry"}},
		{"hosts list --pool exports", []string{"w2"}},
		{"hosts move w2 registry", []string{"accepted at fleet revision 10 (id "}},
		{"hosts down w2 --id operation-7", []string{"(id operation-7)"}},
		{"hosts up w2 --wait 1s", []string{"accepted", "w2 is active"}},
		{"waves", []string{"night", "stopped", "1 of 2 hosts failed"}},
		{"waves create dawn --pool exports", []string{"accepted at fleet revision 10"}},
		{"waves stop night --reason fair", []string{"accepted at fleet revision 10\n"}},
		{"waves resume night", []string{"accepted"}},
		{"waves cancel night", []string{"accepted"}},
		{"config show", []string{"; generation 3, change change-3", "[deployment]"}},
		{"config diff " + agency, []string{"no changes"}},
		{"config apply " + agency, []string{"accepted as generation 4", "in force on 2 of 2 entry hosts", "in force everywhere after"}},
		{"measures", []string{"2.000", "0.250 over 2", "moves"}},
	}
	for _, test := range tests {
		t.Run(test.command, func(t *testing.T) {
			args := strings.Fields(test.command)
			table := serve(t).run(t, args...)
			assert.Equal(t, table.code, ExitOK, table.errOut)
			for _, substring := range test.substrings {
				assert.Assert(t, strings.Contains(table.out, substring), "%q is not in:\n%s", substring, table.out)
			}
			document := serve(t).run(t, append(args, "--output", "json")...)
			assert.Equal(t, document.code, ExitOK, document.errOut)
			assert.Assert(t, json.Valid([]byte(document.out)), document.out)
		})
	}
}

// TestErrorsAreReportedOnce checks the exit code and the complete text of each error class.
func TestErrorsAreReportedOnce(t *testing.T) {
	tests := []struct {
		err  error
		code int
		text string
	}{
		{operatorapi.Refused.New("w2 is in pool b; name another pool"), ExitRefused, "refused: w2 is in pool b; name another pool"},
		{operatorapi.NotFound.New("w2; list the hosts"), ExitRefused, "refused: w2; list the hosts"},
		{operatorapi.Conflict.New("w2 is draining; wait for it"), ExitConflict, "conflict: w2 is draining; wait for it"},
		{operatorapi.Unavailable.New("store down"), ExitUnavailable, "unavailable, nothing was changed; try again or another --address: store down"},
		{operatorapi.Unknown.New("store answer lost"), ExitUnknown, "outcome unknown; repeat the command with the same --id, which is not a second change: store answer lost (id operation-1)"},
	}
	for _, test := range tests {
		f := serve(t)
		f.backend.err = test.err
		got := f.run(t, "hosts", "move", "w2", "b", "--id", "operation-1")
		lines := strings.Split(strings.TrimSpace(got.errOut), "\n")
		assert.Equal(t, lines[len(lines)-1], "agateturnctl: "+test.text)
		assert.Equal(t, got.code, test.code)
		assert.Equal(t, got.out, "")
	}
}

func TestExitCodes(t *testing.T) {
	f := serve(t)
	unused := unusedAddress(t)
	file, err := filepath.Abs(answers)
	assert.NilError(t, err)
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no command", []string{"--address", f.address}, ExitUsage, "expected one of"},
		{"unknown command", []string{"bogus"}, ExitUsage, "unexpected argument bogus"},
		{"unknown output format", []string{"status", "--output", "xml"}, ExitUsage, "--output must be one of"},
		{"no token file", []string{"status", "--token-file", "absent"}, ExitUsage, "no such file"},
		{"wrong token", []string{"status", "--address", f.address, "--token", "wrong"}, ExitRefused, "present the operator token"},
		{"wrong token while waiting", []string{"status", "--wait", "1h", "--address", f.address, "--token", "wrong"}, ExitRefused, "present the operator token"},
		{"nothing listens", []string{"pools", "--address", unused}, ExitUnavailable, "another --address"},
		{"short id", []string{"hosts", "down", "w1", "--id", "x", "--address", f.address, "--token", testToken}, ExitRefused, "operation_id expected length >= 8"},
		{"wait times out", []string{"status", "--members", "2", "--wait", "1ms", "-o", "json", "--address", f.address, "--token", testToken}, ExitTimeout, "1 of 2 entry hosts ready"},
		{"not a configuration", []string{"config", "check", answers}, ExitRefused, "refused: " + file + ": [workers] unknown section"},
		{"wave stopped after failures", []string{"waves", "watch", "night", "--address", f.address, "--token", testToken}, ExitRefused, "1 of 2 hosts failed; look into it, then agateturnctl waves resume night"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := runTool(t, test.args...)
			assert.Equal(t, got.code, test.code, got.errOut)
			assert.Assert(t, strings.Contains(got.errOut, test.text), got.errOut)
		})
	}
	next := runTool(t, "pools", "--address", unused, "--address", f.address, "--token", testToken)
	assert.Equal(t, next.code, ExitOK, next.errOut)
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// TestRetryAfterLostAnswerIsIdempotent drops the answer to orders that took effect. The retry has the same id, so that the
// order is not applied twice.
func TestRetryAfterLostAnswerIsIdempotent(t *testing.T) {
	f := serve(t)
	f.answersToLose.Store(1)
	got := f.run(t, "config", "apply", agency, "--output", "json", "--wait", "0s")
	assert.Equal(t, got.code, ExitOK, got.errOut)
	assert.Assert(t, strings.Contains(got.errOut, "answer lost; retrying"), got.errOut)
	var printed struct {
		ID         string `json:"id"`
		Generation uint64 `json:"generation"`
		Repeated   bool   `json:"repeated"`
	}
	assert.NilError(t, json.Unmarshal([]byte(got.out), &printed), got.out)
	assert.Assert(t, printed.Repeated && printed.Generation == 4 && f.backend.accepted[printed.ID] == 4, got.out)

	f.answersToLose.Store(1)
	assert.Equal(t, f.run(t, "hosts", "move", "w2", "registry").code, ExitOK)
	orders := f.orders()
	assert.Equal(t, len(orders), 2)
	assert.DeepEqual(t, orders[0], orders[1]) // the same operation id

	f.answersToLose.Store(2)
	got = f.run(t, "hosts", "down", "w2")
	assert.Equal(t, got.code, ExitUnknown)
	assert.Assert(t, strings.Contains(got.errOut, "(id "+f.orders()[2].(operatorapi.DownOrder).OperationID+")"), got.errOut)
}

func TestConflictSuggestsDiff(t *testing.T) {
	got := serve(t).run(t, "config", "apply", agency, "--base", "2")
	assert.Equal(t, got.code, ExitConflict)
	assert.Equal(t, got.errOut, "agateturnctl: conflict: at generation 3; look at agateturnctl config diff\n")
}

func TestInitWritesTheExamples(t *testing.T) {
	for _, name := range []string{"agency", "brenaz"} {
		dir := filepath.Join("..", "..", "examples", name)
		written := filepath.Join(t.TempDir(), "deployment.ini")
		got := runTool(t, "init", "--answers", filepath.Join(dir, "answers.ini"), "--out", written)
		assert.Equal(t, got.code, ExitOK, got.errOut)
		data, err := os.ReadFile(written)
		assert.NilError(t, err)
		want, err := os.ReadFile(filepath.Join(dir, "deployment.ini"))
		assert.NilError(t, err)
		assert.Equal(t, string(data), string(want))
		check := runTool(t, "config", "check", written)
		assert.Equal(t, check.code, ExitOK, check.errOut)
	}
	ended := runTool(t, "init")
	assert.Equal(t, ended.code, ExitFailed)
	assert.Assert(t, strings.Contains(ended.errOut, "answer every question"), ended.errOut)
}

// TestInitWritesJobs checks that the written settings are valid and that the queue table can be parsed.
func TestInitWritesJobs(t *testing.T) {
	const file = "../../examples/jobs/answers.ini"
	out := filepath.Join(t.TempDir(), "jobs")
	got := runTool(t, "init", "--jobs", "--answers", file, "--out", out)
	assert.Equal(t, got.code, ExitOK, got.errOut)
	files, err := filepath.Glob(filepath.Join(out, "*.ini"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
	for _, path := range files {
		s := &pb.JobSettings{}
		assert.NilError(t, settings.Load(path, s))
		assert.NilError(t, config.CheckJobSettings(s))
	}
	data, err := os.ReadFile(filepath.Join(out, tableFile))
	assert.NilError(t, err)
	table, err := platform.ParseTable(data)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Queues), 3)
	assert.Equal(t, runTool(t, "init", "--jobs", "--answers", file).code, ExitUsage)
}

// TestHelpDoesNotRunTheCommand requests the help of a command with an address on which nothing listens. The command would
// fail if it ran.
func TestHelpDoesNotRunTheCommand(t *testing.T) {
	got := runTool(t, "status", "--help", "--address", unusedAddress(t))
	assert.Equal(t, got.code, ExitOK, got.errOut)
	assert.Assert(t, strings.Contains(got.out, "--members"), got.out)
}

func TestCompletionListsEveryCommand(t *testing.T) {
	got := runTool(t, "completion")
	assert.Equal(t, got.code, ExitOK)
	for _, line := range []string{`"config apply"*) choices="--wait --id --base --help --address --token --token-file --output"`, `"waves"*) choices="list create stop resume cancel watch --help`} {
		assert.Assert(t, strings.Contains(got.out, line), got.out)
	}
}
