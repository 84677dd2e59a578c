package jobfront

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/queue"
)

const (
	// operatorTimeout bounds the calls of one operator request.
	operatorTimeout = 2 * time.Second
	// maxOwnerCalls bounds the owners queried concurrently.
	maxOwnerCalls = 8
)

// Describer queries the owner of a pool about jobs. An error means that the owner cannot be reached.
type Describer interface {
	DescribeJobs(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error)
}

// Operations are the operators' requests about jobs. It implements operatorapi.JobsBackend.
type Operations struct {
	front     *Front
	describer Describer
}

// NewOperations returns the operations of a front.
func NewOperations(front *Front, describer Describer) *Operations {
	return &Operations{front: front, describer: describer}
}

// Ready implements operatorapi.JobsBackend.
func (o *Operations) Ready() error {
	if reason := o.front.notReady(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// Jobs implements operatorapi.JobsBackend. The filter by state is applied to the owners' answers, so owners limit their
// answers only without one.
func (o *Operations) Jobs(ctx context.Context, filter operatorapi.JobFilter) (operatorapi.JobList, error) {
	pools, err := o.pools(filter.Pool)
	if err != nil {
		return operatorapi.JobList{}, err
	}
	req := &pb.DescribeJobsRequest{Queue: filter.Queue}
	if filter.State == "" {
		req.Limit = int64(filter.Limit)
	}
	found, missing := o.describe(ctx, pools, req)
	jobs := lo.FilterMap(found, func(d *pb.JobDescription, _ int) (operatorapi.JobStatus, bool) {
		status := jobStatus(d)
		return status, filter.State == "" || status.State == filter.State
	})
	perPool := map[string]int{}
	jobs = lo.Filter(jobs, func(j operatorapi.JobStatus, _ int) bool {
		perPool[j.Pool]++
		return perPool[j.Pool] <= filter.Limit
	})
	return operatorapi.JobList{Jobs: jobs, Missing: missing}, nil
}

// Job implements operatorapi.JobsBackend.
func (o *Operations) Job(ctx context.Context, id string) (operatorapi.JobStatus, error) {
	if !o.front.options.Codec.ValidJobID(id) {
		return operatorapi.JobStatus{}, operatorapi.NotFound.New("%q is not a valid job id", id)
	}
	pools, err := o.pools("")
	if err != nil {
		return operatorapi.JobStatus{}, err
	}
	found, _ := o.describe(ctx, pools, &pb.DescribeJobsRequest{Ids: []string{id}})
	if len(found) > 0 {
		return jobStatus(found[0]), nil
	}
	return o.lookupStored(ctx, pools, id)
}

// lookupStored looks a job up in the store, which returns only its state.
func (o *Operations) lookupStored(ctx context.Context, pools []string, id string) (operatorapi.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	for _, pool := range pools {
		state, known, err := o.front.options.Store.Lookup(ctx, pool, id, jobstate.Requester{Operator: true})
		if err != nil {
			return operatorapi.JobStatus{}, operatorapi.Unavailable.New("pool %s: %v", pool, err)
		}
		if known {
			return operatorapi.JobStatus{ID: id, Pool: pool, State: jobstate.Name(state), StateOnly: true}, nil
		}
	}
	return operatorapi.JobStatus{}, operatorapi.NotFound.New("no job %s; ended jobs are kept for a limited time", id)
}

// CancelJob implements operatorapi.JobsBackend.
func (o *Operations) CancelJob(ctx context.Context, id string) (operatorapi.JobCancelled, error) {
	job, err := o.Job(ctx, id)
	if err != nil {
		return operatorapi.JobCancelled{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	switch o.front.storeCancel(ctx, jobstate.Ref{Pool: job.Pool, ID: id}, jobstate.Requester{Operator: true}) {
	case pb.StoreResult_STORE_RESULT_STORED:
		return operatorapi.JobCancelled{ID: id, Pool: job.Pool}, nil
	case pb.StoreResult_STORE_RESULT_UNKNOWN_JOB:
		return operatorapi.JobCancelled{}, operatorapi.NotFound.New("job %s no longer exists", id)
	case pb.StoreResult_STORE_RESULT_NOT_STORED:
		return operatorapi.JobCancelled{}, operatorapi.Unavailable.New("cancellation not stored: store unavailable")
	default:
		return operatorapi.JobCancelled{}, operatorapi.Unknown.New("job %s may or may not be cancelled; retry the cancellation", id)
	}
}

// pools returns the named pool, or all pools that can have jobs if name is empty.
func (o *Operations) pools(name string) ([]string, error) {
	table := o.front.options.Tables.Table()
	if table == nil {
		return nil, operatorapi.Unavailable.New("no configuration yet")
	}
	jobPools := lo.Filter(table.Pools, func(p queue.Pool, _ int) bool { return !p.Spare })
	names := lo.Map(jobPools, func(p queue.Pool, _ int) string { return p.Name })
	slices.Sort(names)
	if name == "" {
		return names, nil
	}
	if !slices.Contains(names, name) {
		return nil, operatorapi.NotFound.New("no pool %s that can have jobs; known pools: %s", name, strings.Join(names, ", "))
	}
	return []string{name}, nil
}

// describe queries the owners of the pools. missing are the pools whose owners did not answer.
func (o *Operations) describe(
	ctx context.Context, pools []string, req *pb.DescribeJobsRequest,
) (found []*pb.JobDescription, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	answers := make([][]*pb.JobDescription, len(pools))
	failed := make([]bool, len(pools))
	var group errgroup.Group
	group.SetLimit(maxOwnerCalls)
	for i, pool := range pools {
		group.Go(func() error {
			jobs, err := o.describer.DescribeJobs(ctx, &pb.DescribeJobsRequest{
				Pool: pool, Ids: req.GetIds(), Queue: req.GetQueue(), Limit: req.GetLimit(),
			})
			answers[i], failed[i] = jobs, err != nil
			return nil
		})
	}
	_ = group.Wait()
	missing = lo.Filter(pools, func(_ string, i int) bool { return failed[i] })
	return lo.Flatten(answers), missing
}

func jobStatus(d *pb.JobDescription) operatorapi.JobStatus {
	return operatorapi.JobStatus{
		ID: d.GetId(), Queue: d.GetQueue(), Pool: d.GetPool(), Workspace: d.GetWorkspace(), State: jobstate.Name(d.GetState()),
		AcceptedMS: d.GetAcceptedMs(), Tasks: d.GetTasks(), Running: d.GetRunning(), Succeeded: d.GetSucceeded(),
		Failures: d.GetFailures(), Reason: d.GetReason(), Explanation: d.GetExplanation(),
		Placements: placements(d.GetPlacements()),
	}
}

func placements(all []*pb.JobPlacement) []operatorapi.JobPlacement {
	out := lo.Map(all, func(p *pb.JobPlacement, _ int) operatorapi.JobPlacement {
		return operatorapi.JobPlacement{Task: p.GetTask(), Run: p.GetRun(), Worker: p.GetWorker(), Percent: p.GetPercent()}
	})
	slices.SortFunc(out, func(a, b operatorapi.JobPlacement) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return out
}
