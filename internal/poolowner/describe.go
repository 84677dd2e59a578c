package poolowner

import (
	"context"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Describe returns descriptions of jobs for operators. It reports false if the owner has not loaded its records yet.
func (o *Owner) Describe(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool) {
	jobs, ok := runInLoopIfLoaded(ctx, o, func(p *scheduler.Pool, _ time.Time) []*pb.JobDescription { return p.Describe(req) })
	for _, j := range jobs {
		j.Pool = o.Pool
	}
	return jobs, ok
}
