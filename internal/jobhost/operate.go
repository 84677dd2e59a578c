package jobhost

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/operatorapi"
)

// Describe tells operators about the jobs of a pool that this host owns.
func (p *pools) Describe(req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool) {
	owner := p.owner(req.GetPool())
	if owner == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, localTimeout)
	defer cancel()
	return owner.Describe(ctx, req)
}

// listenOperators serves operators, if the settings name an address for them.
func (h *Host) listenOperators(ctx context.Context, group *errgroup.Group) error {
	host := h.settings.Load().GetJobHost()
	if host.GetOperatorAddress() == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", host.GetOperatorAddress())
	if err != nil {
		return err
	}
	api := operatorapi.NewJobs(jobfront.NewOperations(h.front, h.peers), operatorapi.Options{ //nolint:contextcheck // each request brings its own context
		Token:   host.GetOperatorToken(),
		Logger:  h.log,
		Metrics: h.metricsHandler(),
	})
	h.serve(ctx, group, listener, api)
	return nil
}
