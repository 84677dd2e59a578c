package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// placeholder matches {{a.b}}, {{#a}}, {{^a}} and {{/a}}.
var placeholder = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render expands a template without lists. A section is included if its value is set and not false.
func render(template string, values map[string]string) string {
	var lines []string
	for _, line := range strings.Split(template, "\n") {
		included, out, rest := true, "", line
		for {
			at := placeholder.FindStringSubmatchIndex(rest)
			if at == nil {
				break
			}
			kind, name := rest[at[2]:at[3]], rest[at[4]:at[5]]
			if included {
				out += rest[:at[0]]
			}
			value := values[name]
			switch kind {
			case "#":
				included = value != "" && value != "false"
			case "^":
				included = value == "" || value == "false"
			case "/":
				included = true
			default:
				if included {
					out += value
				}
			}
			rest = rest[at[1]:]
		}
		lines = append(lines, out+rest)
	}
	return strings.Join(lines, "\n")
}

func load(t *testing.T, text string) (*pb.JobSettings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agateturn.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	assert.Assert(t, settings.HasSection(path, "job_host") && !settings.HasSection(path, "entry_host"))
	s := &pb.JobSettings{}
	if err := settings.Load(path, s); err != nil {
		return s, err
	}
	return s, config.CheckJobSettings(s)
}

// TestTemplateRendersSettings expands the deployment's template with few values, and with all values, many of them
// zero.
func TestTemplateRendersSettings(t *testing.T) {
	template, err := os.ReadFile("../deploy/agateturn.ini.template")
	assert.NilError(t, err)
	values := map[string]string{
		"nodeName": "entry-1", "zone": "z", "region": "r", "ip": "10.0.0.9", "listen.front": "10.0.0.9:8624", "portRange.0": "7060", "portRange.1": "7061",
		"listen.ready": "10.0.0.9:8622", "platform.address": "10.9.0.7:8621",
	}
	s, err := load(t, render(string(template), values))
	assert.NilError(t, err)
	assert.Equal(t, s.GetJobHost().GetPeerAddress(), "10.0.0.9:7060")
	assert.Equal(t, s.GetHostApi().GetAddress()+s.GetPolicyService().GetAddress()+s.GetJobHost().GetOperatorAddress(), "")
	assert.Assert(t, !s.GetHostApi().GetFencing() && !s.GetJobHost().GetColdStart())
	assert.Equal(t, s.GetJobBounds().GetStopTime().AsDuration(), 500*time.Millisecond)

	all := map[string]string{"bounds.requireFencing": "true", "bootstrap": "true", "orders": "heartbeat", "cloud.address": "10.9.0.8:1"}
	for _, name := range placeholder.FindAllStringSubmatch(string(template), -1) {
		for _, prefix := range []string{"limits.", "bounds.", "cloud.", "platform.", "heartbeatMs"} {
			if strings.HasPrefix(name[2], prefix) && all[name[2]] == "" {
				all[name[2]] = "0"
			}
		}
	}
	for name, value := range values {
		all[name] = value
	}
	all["bounds.moveS"], all["bounds.holdMaxMs"], all["bounds.leaseMs"], all["platform.ttlMinMs"] = "1.5", "10000", "3000", "1000"
	all["platform.writesPerS"], all["platform.readsPerS"] = "400.0", "2000"
	all["platform.valueBytes"], all["heartbeatMs"] = "1048576", "1500"
	s, err = load(t, render(string(template), all))
	assert.NilError(t, err)
	assert.Assert(t, s.GetHostApi().GetFencing() && s.GetJobHost().GetColdStart())
	assert.Equal(t, s.GetJobBounds().GetMoveTime().AsDuration(), 1500*time.Millisecond)
	assert.Equal(t, s.GetJobBounds().GetOrderDelivery(), "heartbeat")
	assert.Equal(t, s.GetJobStore().GetWritesPerSecond(), 400.0)
}

func TestJobSettingsProblems(t *testing.T) {
	const good = `[job_host]
name = e1
data_centre = z
ip = 127.0.1.1
caller_address = 127.0.1.1:8000
ready_address = 127.0.1.1:8001
peer_address = 127.0.1.1:8002
[job_store]
address = 127.0.1.100:8500
`
	_, err := load(t, good)
	assert.NilError(t, err)
	for _, test := range []struct{ old, new, want string }{
		{"ip = 127.0.1.1\n", "ip = host\n", `[job_host] ip: found "host"; write an IP address`},
		{"8001", "8000", `[job_host] ready_address: address 127.0.1.1:8000 is also that of caller_address`},
		{"peer_address = 127.0.1.1:8002", "", `[job_host] peer_address: missing required key`},
		{"[job_store]", "[job_bounds]\nmax_lease = 0s\n[job_store]", `[job_bounds] max_lease: found "0s"; write a value from 100ms to 1h`},
		{"[job_store]", "[job_bounds]\norder_delivery = post\n[job_store]", `write one of dispatch, heartbeat`},
		{"[job_store]", "[job_upkeep]\nmoves = always\n[job_store]", `write one of foresee, react, never`},
		{"[job_store]", "[job_upkeep]\nuse = 1.2\n[job_store]", `[job_upkeep] use: found "1.2"`},
	} {
		_, err := load(t, strings.Replace(good, test.old, test.new, 1))
		assert.ErrorContains(t, err, test.want)
	}
}
