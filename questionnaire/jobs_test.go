package questionnaire

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/settings"
)

func loadJobs(t *testing.T) *JobAnswers {
	t.Helper()
	answers, err := LoadJobs("../examples/jobs/answers.ini")
	assert.NilError(t, err)
	return answers
}

func TestGenerateJobs(t *testing.T) {
	jobs, err := GenerateJobs(loadJobs(t))
	assert.NilError(t, err)
	names := lo.Map(jobs.EntryHosts, func(s *pb.JobSettings, _ int) string { return s.GetJobHost().GetName() })
	assert.DeepEqual(t, names, []string{"modica-e01", "modica-e02", "palermo-e01", "palermo-e02"})
	third := jobs.EntryHosts[2]
	assert.Equal(t, third.GetJobHost().GetCallerAddress()+" "+third.GetJobHost().GetPeerAddress(), "127.0.4.3:7000 127.0.4.3:7002")
	assert.DeepEqual(t, third.GetJobHost().GetZones(), []string{"modica", "palermo"})
	assert.Equal(t, third.GetJobBounds().GetMoveTime().AsDuration(), time.Second)
	assert.Assert(t, third.GetJobUpkeep() != nil)
	assert.Equal(t, third.GetJobBounds().GetRetention().AsDuration(), 2*time.Minute)
	q, ok := jobs.Table.Lookup("registry.example", "/labels/5c0e7a21d94b36f8")
	assert.Assert(t, ok)
	assert.DeepEqual(t, *q, queue.Queue{
		Name: "labels", Host: "registry.example", Prefix: "/labels/", Pool: "registry", Priority: 1, MaxAttempts: 5, Stretch: 2,
		TargetDuration: 10 * time.Second, Timeout: 3 * time.Second,
	})
	assert.DeepEqual(t, lo.Map(jobs.Table.Pools, func(p queue.Pool, _ int) bool { return p.Spare }), []bool{false, false, true})
}

func TestJobProblemsNameTheRemedy(t *testing.T) {
	tests := []struct {
		change func(a *JobAnswers)
		want   string
	}{
		{func(a *JobAnswers) { a.GetQueues()[0].Pool = "export" }, `[queue "certificates"] pool: "export" is not a pool that runs jobs; did you mean exports?`},
		{func(a *JobAnswers) { a.GetQueues()[0].Pool = "spare" }, `"spare" is not a pool that runs jobs`},
		{func(a *JobAnswers) { a.GetQueues()[0].Prefix = "x" }, `prefix: found "x"; begin and end it with /`},
		{func(a *JobAnswers) { a.GetQueues()[1].Prefix = "/certificates/" }, `already used by queue certificates; give each queue its own`},
		{func(a *JobAnswers) { a.Queues = nil }, `no queue; add [queue "NAME"]`},
		{func(a *JobAnswers) { a.DataCentres = nil }, `no data centre; add [data_centre "NAME"]`},
		{func(a *JobAnswers) { a.GetDeployment().SparePool = "spar" }, `pool "spar" is not defined; did you mean spare?`},
		{func(a *JobAnswers) { a.GetEntryHosts().FirstAddress = "255.255.255.254:1" }, `choose a lower first address`},
		{func(a *JobAnswers) { a.GetEntryHosts().FirstAddress = "127.0.0.1:65533" }, `choose a lower first address`},
		{func(a *JobAnswers) { a.GetQueues()[0].MaxAttempts = 0 }, `max_attempts: found "0"; write a value from 1`},
	}
	for _, test := range tests {
		answers := loadJobs(t)
		test.change(answers)
		_, err := GenerateJobs(answers)
		assert.ErrorContains(t, err, test.want)
		assert.Assert(t, settings.Invalid.Has(err))
	}
}

// TestAskedJobAnswersAreAccepted answers the questions that have no default and selects the default of all others.
func TestAskedJobAnswersAreAccepted(t *testing.T) {
	input := strings.Join([]string{
		"", "", // deployment
		"1", "127.0.9.1:7000", "token", "", "", // entry hosts
		"north", "", "", // data centres
		"main", "", "", "", // pools
		"checks", "checks.example", "/checks/", "main", "", "", "", "", "", "", // queues
		"", "", "", "", // limits of callers
		"127.0.9.100:8500",
	}, "\n") + strings.Repeat("\n", 60)
	var out bytes.Buffer
	answers, err := AskJobs(strings.NewReader(input), &out)
	assert.NilError(t, err, out.String())
	for _, asked := range []string{"A queue that callers submit jobs to", "Time until a host returns from maintenance"} {
		assert.Assert(t, strings.Contains(out.String(), asked), out.String())
	}
	jobs, err := GenerateJobs(answers)
	assert.NilError(t, err)
	assert.Equal(t, len(jobs.EntryHosts), 1)
	assert.Equal(t, len(jobs.Table.Queues), 1)
}
