package jobhost

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

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

// listenOperators serves the operator API, if the settings have an address for it.
func (h *Host) listenOperators(ctx context.Context, group *errgroup.Group) error {
	host := h.settings.Load().GetJobHost()
	if host.GetOperatorAddress() == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", host.GetOperatorAddress())
	if err != nil {
		return err
	}
	api := operatorapi.NewJobs(jobfront.NewOperations(h.front, h.peers), operatorapi.Options{ //nolint:contextcheck // each request has its own context
		Token:   host.GetOperatorToken(),
		Logger:  h.log,
		Metrics: h.metricsHandler(),
	})
	h.serve(ctx, group, listener, api)
	return nil
}
