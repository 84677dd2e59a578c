// Package questionnaire generates a configuration from a team's answers. For a deployment that serves jobs, it generates
// the settings of the entry hosts and the table of queues.
//
// The questions are the keys of the schema. Answers come from an INI file or a dialogue, with the same checks. The hosts
// are generated: the workers of each pool are spread over the data centres and their racks, and their addresses count up
// from the first one. Generation is deterministic.
// Nothing in this package is safe for concurrent use on the same value.
package questionnaire

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/config"
	answerspb "github.com/agateturn/agateturn/gen/agateturn/answers/v1"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// Answers holds the answers of a team.
type Answers = answerspb.Answers

// Load reads an answers file. An error is of class settings.Invalid.
func Load(path string) (*Answers, error) {
	answers := &Answers{}
	return answers, settings.Load(path, answers)
}

// Generate generates the configuration from the answers and checks it with config.Check. If the answers allow no valid
// configuration, the error is of class settings.Invalid.
func Generate(answers *Answers) (*pb.Configuration, error) {
	if err := settings.Validate(answers); err != nil {
		return nil, err
	}
	hosts, err := placeHosts(answers)
	if err != nil {
		return nil, err
	}
	slots := lo.SumBy(hosts, (*pb.Host).GetSlots)
	cfg := &pb.Configuration{
		Deployment:  &pb.Deployment{Name: answers.GetDeployment().GetName(), SparePool: answers.GetDeployment().GetSparePool()},
		Maintenance: proto.CloneOf(answers.GetMaintenance()),
		Weights:     proto.CloneOf(answers.GetWeights()),
		DataCentres: lo.Map(answers.GetDataCentres(), func(d *pb.DataCentre, _ int) *pb.DataCentre { return proto.CloneOf(d) }),
		Pools:       lo.Map(answers.GetPools(), generatePool),
		Services:    lo.Map(answers.GetServices(), func(s *pb.Service, _ int) *pb.Service { return proto.CloneOf(s) }),
		Teams:       lo.Map(answers.GetTeams(), func(t *pb.Team, _ int) *pb.Team { return generateTeam(t, slots) }),
		Hosts:       hosts,
	}
	if err := config.Check(cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}

func generatePool(pool *answerspb.PoolAnswer, _ int) *pb.Pool {
	return &pb.Pool{Name: pool.GetName(), MinHosts: pool.GetMinWorkers()}
}

// generateTeam lowers a quota that exceeds the total number of slots and would have no effect.
func generateTeam(team *pb.Team, slots int64) *pb.Team {
	generated := proto.CloneOf(team)
	generated.Quota = min(team.GetQuota(), slots)
	return generated
}
