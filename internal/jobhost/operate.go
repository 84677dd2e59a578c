package jobhost

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobfront"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/stats"
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

// Names of the gauges of owned pools. Hosts that do not own a pool tell 0 for it, so that sums over hosts are right.
const (
	metricPoolOwned = "agateturn_pool_owned"
	metricPending   = "agateturn_job_pending"
)

// metricsHandler serves the metrics of the front, and those of the pools that this host owns.
func (h *Host) metricsHandler() http.Handler {
	front := h.front.MetricsHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.setGauges() //nolint:contextcheck // the pools bound the time of their answers themselves
		front.ServeHTTP(w, r)
	})
}

func (h *Host) setGauges() {
	table := h.tables.Table()
	if table == nil {
		return
	}
	kept := h.front.Stats()
	for _, p := range table.Pools {
		owned := 0.0
		if h.pools.owner(p.Name) != nil {
			owned = 1
		}
		kept.Gauge(metricPoolOwned, stats.Label{Name: "pool", Value: p.Name}).Update(owned)
	}
	for _, q := range table.Queues {
		pending, _ := h.pools.Pending(q.Pool, q.Name)
		kept.Gauge(metricPending, stats.Label{Name: "queue", Value: q.Name}).Update(float64(pending))
	}
}
