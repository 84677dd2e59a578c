package settings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	answerspb "github.com/agateturn/agateturn/gen/agateturn/answers/v1"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

const validSettings = `[entry_host]
name = e1
data_centre = palermo
caller_address = 127.0.1.1:8000
operator_address = 127.0.1.1:8001
peer_address = 127.0.1.1:8002
peers = 127.0.1.2:8002, 127.0.1.3:8002
[store]
address = http://127.0.1.100:8500
token = a#b;c ; a comment
[platform]
address = http://127.0.1.100:8501
[operator]
token = secret-word
[timing]
heartbeat = 250ms
`

func TestParseReadsValuesAndDefaults(t *testing.T) {
	s := &pb.Settings{}
	assert.NilError(t, settings.Parse("d.ini", []byte(validSettings), s))
	assert.DeepEqual(t, s.GetEntryHost().GetPeers(), []string{"127.0.1.2:8002", "127.0.1.3:8002"})
	assert.Equal(t, s.GetStore().GetToken(), "a#b;c")
	assert.Equal(t, s.GetTiming().GetHeartbeat().AsDuration(), 250*time.Millisecond)
	assert.Equal(t, s.GetTiming().GetStopLimit().AsDuration(), time.Hour)
	assert.Equal(t, s.GetLog().GetFormat(), "text")
	assert.NilError(t, settings.Validate(s))
	reread := &pb.Settings{}
	text, err := settings.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, settings.Parse("again.ini", text, reread))
	assert.DeepEqual(t, reread, s, protocmp.Transform())
	shown := string(settings.MarshalRedacted(s))
	assert.Assert(t, strings.Contains(shown, "token = ***") && !strings.Contains(shown, "secret-word"), shown)
}

// TestProblemsNameTheRemedy breaks one line of a valid file and checks the message and the remedy.
func TestProblemsNameTheRemedy(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"[store]", "[stoer]", `d.ini: [stoer] unknown section; did you mean store?`},
		{"data_centre =", "data_center =", `d.ini: [entry_host] data_center: unknown key; did you mean data_centre?`},
		{"name = e1", "name = e1\nheartbeat = 1s", `d.ini: [entry_host] heartbeat: unknown key; move it to [timing]`},
		{"name = e1", "name = e1\nname = e2", `d.ini: [entry_host] name: duplicate key; keep one line`},
		{"name = e1", "name = e1\nname = e1", `d.ini: [entry_host] name: duplicate key; keep one line`},
		{"[platform]", "[store]\n[platform]", `d.ini: [store] duplicate section; keep one, or give the other another name`},
		{"[platform]", "[platform \"a\"]", `d.ini: [platform "a"] section takes no name; write [platform]`},
		{"name = e1", "", `d.ini: [entry_host] name: missing required key; add name = VALUE`},
		{"name = e1", "name =", `d.ini: [entry_host] name: found ""; write a value such as VALUE`},
		{"[entry_host]", "stray = 1\n[entry_host]", `d.ini: stray: key outside of any section; move it below a [section] line`},
		{"250ms", "250", `d.ini: [timing] heartbeat: found "250"; write a duration with its unit, such as 1s`},
		{"250ms", "2m", `d.ini: [timing] heartbeat: found "2m"; write a value from 50ms to 1m`},
		{"127.0.1.1:8000", "localhost:8000", `d.ini: [entry_host] caller_address: found "localhost:8000"; ` +
			`write an IP address and a port, such as 127.0.1.1:8000; host names are not resolved`},
		{"http://127.0.1.100:8500", "127.0.1.100:8500", `d.ini: [store] address: found "127.0.1.100:8500"; ` +
			`write http://, an IP address and a port, such as http://127.0.1.100:8500; host names are not resolved`},
		{", 127.0.1.3", ",, 127.0.1.3", `found "127.0.1.2:8002,, 127.0.1.3:8002"; write values with single commas between them`},
		{"[timing]", "[log]\nformat = xml\n[timing]", `d.ini: [log] format: found "xml"; write one of text, json`},
		{"[timing]", "[limits]\nmax_keys = 5 keys\n[timing]", `d.ini: [limits] max_keys: found "5 keys"; ` +
			`write a whole number (keys) without its unit, such as 50000`},
		{"[timing]", "[limits]\nmax_keys = 5\n[timing]", `d.ini: [limits] max_keys: found "5"; write a value from 100 to 10000000 (keys)`},
		{"secret-word", "`", `d.ini: file is not INI`},
		{"secret-word", "\xff", `d.ini: file is not UTF-8 text; save it as UTF-8`},
	}
	for _, test := range tests {
		text := strings.Replace(validSettings, test.old, test.new, 1)
		err := settings.Parse("d.ini", []byte(text), &pb.Settings{})
		assert.ErrorContains(t, err, test.want)
		assert.Assert(t, settings.Invalid.Has(err))
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	err := settings.Parse("c.ini", []byte("[host \"a\"]\nslots = 0\n[host \"a\"]\n[host]\n[pool \"a b\"]\n[teams \"x\"]\n"), &pb.Configuration{})
	problems := settings.ProblemsOf(err)
	// Host a lacks 4 keys, violates a bound and is duplicated. One host has no name, the pool has an invalid name, one
	// section is unknown and the deployment is missing.
	assert.Equal(t, len(problems), 10, "%v", err)
	for _, p := range problems {
		assert.Assert(t, p.File == "c.ini" && p.Section != "" && p.Found != "" && p.Remedy != "", "%v", p)
	}
	assert.ErrorContains(t, settings.Load("does-not-exist.ini", &pb.Settings{}), "name a file that exists")
}

// TestLongTextsAreRefused puts a million characters in place of a name, a heading, a key or a secret, and a long list. The
// error must not repeat a long text in full.
func TestLongTextsAreRefused(t *testing.T) {
	long := strings.Repeat("x", 1_000_000)
	const validConfig = "[deployment]\nname = d\nspare_pool = p\n"
	tests := []struct{ old, new, want string }{
		{"name = d", "name = " + long, `[deployment] name: found "` + long[:80] + `..." of 1000000 bytes; shorten it to 255 bytes`},
		{"name = d", "name = " + long[:255], ""},
		{"spare_pool = p", "spare_pool = p\n" + long + " = 1", "unknown key"},
		{"[deployment]", "[" + long + "]\n[deployment]", "unknown section"},
		{"[deployment]", "[pool \"" + long + "\"]\n[deployment]", "section needs a name"},
	}
	for _, test := range tests {
		err := settings.Parse("d.ini", []byte(strings.Replace(validConfig, test.old, test.new, 1)), &pb.Configuration{})
		if test.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, settings.Invalid.Has(err))
		assert.ErrorContains(t, err, test.want)
		assert.Assert(t, len(err.Error()) < 1000, "%d bytes", len(err.Error()))
	}
	cfg := &pb.Configuration{Deployment: &pb.Deployment{Name: long, SparePool: "p"}}
	assert.ErrorContains(t, settings.Validate(cfg), "shorten it to 255 bytes")
	err := settings.Parse("d.ini", []byte(strings.Replace(validSettings, "127.0.1.2:8002, ", strings.Repeat("1:1,", 20_000), 1)), &pb.Settings{})
	assert.ErrorContains(t, err, "list at most 10000 values")
	err = settings.Parse("d.ini", []byte(strings.Replace(validSettings, "secret-word", long, 1)), &pb.Settings{})
	assert.ErrorContains(t, err, "[operator] token: found a secret; shorten it to 4096 bytes")
}

func TestSecretsStayOutOfProblems(t *testing.T) {
	s := &pb.Settings{Operator: &pb.OperatorSettings{Token: "hidden\x01word"}}
	err := settings.Validate(s)
	assert.ErrorContains(t, err, "[operator] token: found a secret; leave out control characters")
	assert.Assert(t, !strings.Contains(err.Error(), "hidden"))
}

const referenceHead = `# Configuration reference

Generated from the schema in ` + "`proto/`" + `; do not edit. ` + "`go test ./settings -run TestReferenceIsCurrent -update`" + ` writes it.

Files are INI: ` + "`[section]` or `[section \"NAME\"]`, then `key = value`" + `. A comment begins with ` + "`;` or `#`" + `, at the start of a
line or after a space. Enclose a value that contains these characters in backquotes. Durations have a unit, such as
500ms, 15s, 2m or 840h; numbers have none. A key that is absent takes its default. An unknown section or key, a
duplicate, a wrong unit or a value out of bounds is rejected with a remedy, and nothing starts.

` + "`Settings`" + ` is the file of one agateturnd, ` + "`Configuration`" + ` is what operators apply to the whole deployment, and
` + "`Answers`" + ` is what agateturnctl init reads instead of asking questions. An entry host that serves jobs uses ` + "`JobSettings`" + `;
` + "`JobAnswers`" + ` is what agateturnctl init --jobs reads.
`

func TestReferenceIsCurrent(t *testing.T) {
	page := referenceHead + string(settings.Reference(&pb.Settings{}, &pb.JobSettings{}, &pb.Configuration{}, &answerspb.Answers{}, &answerspb.JobAnswers{}))
	golden.Assert(t, page, "../../docs/CONFIGURATION.md")
}

// FuzzParse checks that a file that Parse accepts can be marshalled and parsed again unchanged, and that nothing panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[store]\ntoken = `a;b`\n"))
	f.Add([]byte("[pool \"a\"]\n[host \"w\"]\naddress = \"[::1]:1\"\nslots = 8\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, msg := range []proto.Message{&pb.Settings{}, &pb.Configuration{}} {
			if settings.Parse("f.ini", data, msg) != nil {
				continue
			}
			text, err := settings.Marshal(msg)
			assert.NilError(t, err)
			reread := proto.Clone(msg)
			assert.NilError(t, settings.Parse("again.ini", text, reread), "%s", text)
			assert.Assert(t, proto.Equal(msg, reread), "%s", text)
		}
	})
}

func Example() {
	cfg := &pb.Configuration{}
	err := settings.Parse("deployment.ini", []byte("[deployment]\nname = demo\nspare_pol = spare\n"), cfg)
	for _, problem := range settings.ProblemsOf(err) {
		fmt.Println(problem)
	}
	// Output:
	// deployment.ini: [deployment] spare_pol: unknown key; did you mean spare_pool?
	// deployment.ini: [deployment] spare_pool: missing required key; add spare_pool = VALUE
}
