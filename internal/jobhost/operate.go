package jobhost

import (
	"context"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/operatorapi"
)

// Describe returns descriptions of the jobs of a pool. It reports false if this host does not own the pool
// or the owner does not answer.
func (p *pools) Describe(req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool) {
	owner := p.owner(req.GetPool())
	if owner == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, ownerQueryTimeout)
	defer cancel()
	return owner.Describe(ctx, req)
}

// operatorEndpoint serves the operator API.
func (h *Host) operatorEndpoint() endpoint {
	host := h.settings.Load().GetJobHost()
	api := operatorapi.NewJobs(jobfront.NewOperations(h.front, h.peers), operatorapi.Options{
		Token:   host.GetOperatorToken(),
		Logger:  h.log,
		Metrics: h.metricsHandler(),
	})
	return endpoint{address: host.GetOperatorAddress(), connections: operatorConnections, idleTimeout: idleTimeout, handler: api}
}
