package scheduler

import (
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// maxDescribed bounds the jobs of one response.
	maxDescribed = 1000
	// maxPlacements bounds the placements listed for one job.
	maxPlacements = 200
)

// Describe returns descriptions of jobs, sorted by id unless the request names ids. Jobs named by id include their
// placements and an explanation.
func (p *Pool) Describe(req *pb.DescribeJobsRequest) []*pb.JobDescription {
	named := len(req.GetIds()) > 0
	ids := req.GetIds()
	if !named {
		ids = sortedKeys(p.jobs)
	}
	limit := maxDescribed
	if n := int(req.GetLimit()); n > 0 {
		limit = min(n, limit)
	}
	var out []*pb.JobDescription
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil || (req.GetQueue() != "" && j.queue != req.GetQueue()) {
			continue
		}
		if len(out) == limit {
			break
		}
		d := p.describeJob(j, named)
		if named {
			d.Explanation = p.Explain(id)
		}
		out = append(out, d)
	}
	return out
}

func (p *Pool) describeJob(j *job, placements bool) *pb.JobDescription {
	d := &pb.JobDescription{
		Id: j.id, Queue: j.queue, Workspace: j.workspace, State: j.visibleState(), AcceptedMs: j.accepted.UnixMilli(), Reason: j.reason,
	}
	counts := j.counts()
	d.Tasks, d.Succeeded, d.Failures = counts.tasks, counts.succeeded, counts.failures
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				describeRuns(d, &s.tasks[i], placements)
			}
		}
	}
	return d
}

func describeRuns(d *pb.JobDescription, t *task, placements bool) {
	for _, r := range t.runs {
		d.Running++
		if placements && r.worker != nil && len(d.Placements) < maxPlacements {
			d.Placements = append(d.Placements, &pb.JobPlacement{
				Task: fmt.Sprintf("%s.%d.%d.%d", r.id.Job, r.id.Occurrence, r.id.Step, r.id.Index),
				Run:  r.number, Worker: r.worker.ID, Percent: int64(r.percent),
			})
		}
	}
}
