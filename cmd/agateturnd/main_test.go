package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const secret = "a-token-that-stays-secret"

const validSettings = `[entry_host]
name = entry-1
data_centre = palermo
caller_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
operator_address = 127.0.0.1:3

[store]
address = http://127.0.0.1:4
token = ` + secret + `

[platform]
address = http://127.0.0.1:4

[operator]
token = ` + secret + `
`

// runWith returns the exit code and everything that was printed.
func runWith(t *testing.T, settings string, checkOnly bool) (int, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.ini")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	var printed bytes.Buffer
	code := run(commandLine{Config: path, CheckConfig: checkOnly}, &printed, &printed)
	assert.Assert(t, !strings.Contains(printed.String(), secret), printed.String())
	return code, printed.String()
}

func TestCheckConfig(t *testing.T) {
	tests := []struct {
		name, old, new string
		code           int
		text           string
	}{
		{"good", "", "", exitOK, "entry.ini: no problems"},
		{"unknown key", "name =", "nam =", exitSettings, "entry.ini: [entry_host] nam: unknown key; did you mean name?"},
		{"wrong unit", "[platform]", "[platform]\npoll = 5", exitSettings, "[platform] poll"},
		{"duplicate address", ":2", ":1", exitSettings, "[entry_host] peer_address"},
		{"wrong store address beside its token", "http://127.0.0.1:4", "ftp:x", exitSettings, "[store] address"},
		{"unreadable token", "token = " + secret, "token = " + secret + "\x01", exitSettings, "token"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, checkOnly := range []bool{true, false} {
				if test.code == exitOK && !checkOnly {
					continue // valid settings would start the daemon
				}
				code, printed := runWith(t, strings.ReplaceAll(validSettings, test.old, test.new), checkOnly)
				assert.Equal(t, code, test.code, printed)
				assert.Assert(t, strings.Contains(printed, test.text), printed)
				assert.Equal(t, strings.Contains(printed, "event=102"), code == exitSettings, printed)
			}
		})
	}
}

func TestAddressInUseFailsTheStart(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	taken := strings.ReplaceAll(validSettings, "127.0.0.1:1\n", listener.Addr().String()+"\n")
	code, printed := runWith(t, taken, false)
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(printed, "free the address or change it in [entry_host]"), printed)
}
