package main

import (
	"runtime"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

const validJobSettings = `[job_host]
name = entry-1
data_centre = palermo
ip = 127.0.0.1
caller_address = 127.0.0.1:1
ready_address = 127.0.0.1:2
peer_address = 127.0.0.1:3

[job_store]
address = 127.0.0.1:4
`

func TestCheckConfigOfJobs(t *testing.T) {
	code, printed := runWith(t, validJobSettings, true)
	assert.Equal(t, code, exitOK, printed)
	for old, want := range map[string]string{
		"ip = 127.0.0.1\n": "[job_host] ip: missing required key", "[job_store]": "[job_host] address: unknown key",
		":2": "[job_host] ready_address: found \"127.0.0.1\"",
	} {
		for _, checkOnly := range []bool{true, false} {
			code, printed := runWith(t, strings.Replace(validJobSettings, old, "", 1), checkOnly)
			assert.Equal(t, code, exitSettings, printed)
			assert.Assert(t, strings.Contains(printed, want) && strings.Contains(printed, "event=102"), printed)
		}
	}
}

func TestSettingsFileFromTheEnvironment(t *testing.T) {
	var line commandLine
	parser, err := kong.New(&line)
	assert.NilError(t, err)
	_, err = parser.Parse(nil)
	assert.ErrorContains(t, err, "--config")
	t.Setenv("AGATETURN_NODE_FILE", "/run/entry.ini")
	_, err = parser.Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, line.Config, "/run/entry.ini")
	_, err = parser.Parse([]string{"--config", "/run/other.ini"})
	assert.NilError(t, err)
	assert.Equal(t, line.Config, "/run/other.ini")
}

// TestCoresLimitTheThreads checks that a host with a fraction of a processor runs one thread at a time.
func TestCoresLimitTheThreads(t *testing.T) {
	t.Setenv("GOMAXPROCS", "")
	before := runtime.GOMAXPROCS(0)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	limitThreads(0)
	assert.Equal(t, runtime.GOMAXPROCS(0), before)
	limitThreads(float64(2 * before))
	assert.Equal(t, runtime.GOMAXPROCS(0), before)
	limitThreads(0.192)
	assert.Equal(t, runtime.GOMAXPROCS(0), 1)
}
