package poolowner

import (
	"context"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Describe tells operators about jobs.
func (o *Owner) Describe(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool) {
	var jobs []*pb.JobDescription
	ok := o.askLoaded(ctx, func(p *scheduler.Pool, _ time.Time) { jobs = p.Describe(req) })
	for _, j := range jobs {
		j.Pool = o.Pool
	}
	return jobs, ok
}
