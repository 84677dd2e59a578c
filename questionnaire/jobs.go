package questionnaire

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/config"
	answerspb "github.com/agateturn/agateturn/gen/agateturn/answers/v1"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/settings"
)

// JobAnswers holds the answers about a deployment that serves jobs.
type JobAnswers = answerspb.JobAnswers

// Jobs is the result of GenerateJobs.
type Jobs struct {
	// EntryHosts holds the settings of each entry host.
	EntryHosts []*pb.JobSettings
	// Table is the table of queues that the platform's operator applies.
	Table *queue.Table
}

// Offsets of the listener ports from the caller port.
const (
	readyPortOffset = iota + 1
	peerPortOffset
	operatorPortOffset
	metricsPortOffset
)

// LoadJobs reads an answers file. An error is of class settings.Invalid.
func LoadJobs(path string) (*JobAnswers, error) {
	answers := &JobAnswers{}
	return answers, settings.Load(path, answers)
}

// GenerateJobs generates the settings of the entry hosts and the table of queues from the answers. If the answers are
// inconsistent, the error is of class settings.Invalid and lists every problem.
func GenerateJobs(answers *JobAnswers) (*Jobs, error) {
	if err := settings.Validate(answers); err != nil {
		return nil, err
	}
	if problems := checkQueues(answers); len(problems) > 0 {
		return nil, settings.InvalidError(problems...)
	}
	hosts, err := entryHosts(answers)
	if err != nil {
		return nil, err
	}
	return &Jobs{EntryHosts: hosts, Table: queueTable(answers)}, nil
}

// checkQueues checks that referenced pools exist and that no two queues match the same requests.
func checkQueues(answers *JobAnswers) []settings.Problem {
	var problems []settings.Problem
	report := func(section, key, found, remedy string) {
		problems = append(problems, settings.Problem{Section: section, Key: key, Found: found, Remedy: remedy})
	}
	spare := answers.GetDeployment().GetSparePool()
	names := lo.Map(answers.GetPools(), func(p *answerspb.JobPoolAnswer, _ int) string { return p.GetName() })
	jobPools := lo.Without(names, spare)
	if spare != "" && !lo.Contains(names, spare) {
		report("deployment", "spare_pool", fmt.Sprintf("pool %q is not defined", spare), settings.Suggest(spare, names))
	}
	if len(answers.GetDataCentres()) == 0 {
		report("data_centre", "", "no data centre", `add [data_centre "NAME"]`)
	}
	queueByRoute := map[string]string{}
	for _, q := range answers.GetQueues() {
		section := fmt.Sprintf("queue %q", q.GetName())
		if !lo.Contains(jobPools, q.GetPool()) {
			report(section, "pool", fmt.Sprintf("%q is not a pool that runs jobs", q.GetPool()), settings.Suggest(q.GetPool(), jobPools))
		}
		if !strings.HasPrefix(q.GetPrefix(), "/") || !strings.HasSuffix(q.GetPrefix(), "/") {
			report(section, "prefix", fmt.Sprintf("found %q", q.GetPrefix()), "begin and end it with /, such as /checks/")
		}
		if other, ok := queueByRoute[q.GetHost()+q.GetPrefix()]; ok {
			report(section, "prefix", "host and prefix are already used by queue "+other, "give each queue its own")
		}
		queueByRoute[q.GetHost()+q.GetPrefix()] = q.GetName()
	}
	if len(answers.GetQueues()) == 0 {
		report("queue", "", "no queue", `add [queue "NAME"]`)
	}
	return problems
}

func queueTable(answers *JobAnswers) *queue.Table {
	limits := answers.GetCallerLimits()
	return &queue.Table{
		Version: answers.GetDeployment().GetTableVersion(),
		Queues: lo.Map(answers.GetQueues(), func(q *answerspb.QueueAnswer, _ int) queue.Queue {
			return queue.Queue{
				Name: q.GetName(), Host: q.GetHost(), Prefix: q.GetPrefix(), Pool: q.GetPool(),
				Priority: int(q.GetPriority()), MaxAttempts: int(q.GetMaxAttempts()), Stretch: q.GetStretch(),
				TargetDuration: q.GetTargetDuration().AsDuration(), Timeout: q.GetTimeout().AsDuration(),
			}
		}),
		Pools: lo.Map(answers.GetPools(), func(p *answerspb.JobPoolAnswer, _ int) queue.Pool {
			return queue.Pool{
				Name: p.GetName(), Spare: p.GetName() == answers.GetDeployment().GetSparePool(),
				EnforcesCapacity: p.GetEnforcesCapacity(), MaxConnections: int(p.GetMaxConnections()),
			}
		}),
		Limits: queue.Limits{
			MaxHeaderBytes: int(limits.GetMaxHeaderBytes()), MaxBodyBytes: int(limits.GetMaxBodyBytes()),
			HeaderTimeout: limits.GetHeaderTimeout().AsDuration(), IdleTimeout: limits.GetIdleTimeout().AsDuration(),
		},
	}
}

// entryHosts generates the settings of the entry hosts, ordered by data centre.
func entryHosts(answers *JobAnswers) ([]*pb.JobSettings, error) {
	centres := answers.GetDataCentres()
	perDataCentre := int(answers.GetEntryHosts().GetPerDataCentre())
	first := answers.GetEntryHosts().GetFirstAddress()
	addresses, ok := countAddresses(first, "", perDataCentre*len(centres))
	if !ok || addresses[0].Port() > maxPort-metricsPortOffset {
		return nil, addressProblem("entry_hosts", first, perDataCentre*len(centres))
	}
	hosts := make([]*pb.JobSettings, 0, len(addresses))
	for i, address := range addresses {
		host := entryHost(answers, centres[i/perDataCentre], i%perDataCentre+1, address)
		if err := config.CheckJobSettings(host); err != nil {
			return nil, err
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// entryHost generates the settings of one entry host; number counts from 1 within the data centre.
func entryHost(answers *JobAnswers, centre *pb.DataCentre, number int, address netip.AddrPort) *pb.JobSettings {
	common := answers.GetEntryHosts()
	listener := func(offset uint16) string {
		return netip.AddrPortFrom(address.Addr(), address.Port()+offset).String()
	}
	return &pb.JobSettings{
		JobHost: &pb.JobHostSettings{
			Name:            fmt.Sprintf("%s-e%02d", centre.GetName(), number),
			DataCentre:      centre.GetName(),
			Region:          centre.GetRegion(),
			Ip:              address.Addr().String(),
			CallerAddress:   address.String(),
			ReadyAddress:    listener(readyPortOffset),
			PeerAddress:     listener(peerPortOffset),
			OperatorAddress: listener(operatorPortOffset),
			MetricsAddress:  listener(metricsPortOffset),
			OperatorToken:   common.GetOperatorToken(),
			Cores:           common.GetCores(),
			MemoryMb:        common.GetMemoryMb(),
			Zones:           lo.Map(answers.GetDataCentres(), func(d *pb.DataCentre, _ int) string { return d.GetName() }),
		},
		JobStore:      proto.CloneOf(answers.GetJobStore()),
		HostApi:       proto.CloneOf(answers.GetHostApi()),
		PolicyService: proto.CloneOf(answers.GetPolicyService()),
		JobBounds:     proto.CloneOf(answers.GetJobBounds()),
		JobUpkeep:     proto.CloneOf(answers.GetJobUpkeep()),
		Log:           proto.CloneOf(answers.GetLog()),
	}
}
