package questionnaire

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/settings"
)

// input holds the answers, one a line. An empty line selects the default. 1.2 is rejected as an availability.
var input = strings.Join([]string{
	"demo", "spare", // deployment
	"127.0.9.1:9000", "", "", "", "", // workers
	"north", "", "south", "", "", // data centres
	"main", "4", "", "spare", "2", "0", "", // pools
	"pricing", "main", "1.2", "0.5", "", "", "", "", "", "", // services
	"buyers", "", "16", "", // teams
	"", "", "", "", "", "", "", // maintenance
	"1", "1", "4", // weights
}, "\n") + "\n"

func TestAskedAnswersGenerateValidConfiguration(t *testing.T) {
	var out bytes.Buffer
	answers, err := Ask(strings.NewReader(input), &out)
	assert.NilError(t, err, out.String())
	assert.Assert(t, strings.Contains(out.String(), "not allowed: write a value from 0 to 1 (fraction)"), out.String())
	cfg, err := Generate(answers)
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.GetHosts()), 6)
	assert.Equal(t, cfg.GetWeights().GetBuffer(), 4.0)
}

func TestAskReportsEarlyEndOfInput(t *testing.T) {
	_, err := Ask(strings.NewReader(input[:len(input)-1]), &bytes.Buffer{})
	assert.NilError(t, err)
	_, err = Ask(strings.NewReader("demo\n"), &bytes.Buffer{})
	assert.Assert(t, Interrupted.Has(err))
}

func TestGenerateRejectsNonexistentAddresses(t *testing.T) {
	answers, err := Load("../examples/agency/answers.ini")
	assert.NilError(t, err)
	answers.GetWorkers().FirstAddress = "255.255.255.250:9100"
	_, err = Generate(answers)
	assert.Assert(t, settings.Invalid.Has(err))
	assert.ErrorContains(t, err, "choose a lower first address")
}
