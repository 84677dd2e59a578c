// Package jobpeer implements the calls between entry hosts: queries for the states, counts and descriptions of jobs and
// the status of pools, offers of jobs and of the table of queues, writes for peers, and the hand-over of pools.
package jobpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
)

const (
	// maxMessageBytes bounds a message; the largest ones carry a configuration.
	maxMessageBytes = 4 << 20
	// minCompressBytes is the size from which messages are compressed.
	minCompressBytes = 4 << 10
	// maxIDs bounds the ids of one call.
	maxIDs = 1000
	// maxOffered bounds the jobs and cancellations of one offer.
	maxOffered = 256
)

// Pools are the pools that this entry host may own. A bool result is false for a pool that it does not own.
type Pools interface {
	// States returns one state for each id; UNSPECIFIED for a job that the owner does not know, or that does not belong to the
	// workspace with the same index. workspaces is empty if all are the empty workspace.
	States(pool string, ids, workspaces []string) ([]pb.JobState, bool)
	Offer(pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) bool
	Pending(pool, queue string) (int64, bool)
	Status(req *pb.PoolStatusRequest) (*pb.PoolStatusResponse, bool)
	// Wait returns the delay of a new job that the owner's backlog of tasks to place causes; 0 if there is none.
	Wait(pool string) time.Duration
}

// Describer is implemented by Pools that can describe jobs to operators.
type Describer interface {
	Describe(req *pb.DescribeJobsRequest) ([]*pb.JobDescription, bool)
}

// Tables receives versions of the table of queues.
type Tables interface {
	// Offer returns the version in use afterwards; 0 means none.
	Offer(ctx context.Context, version int64, raw []byte) int64
	// Confirmed returns the version in use, its bytes, and the time since it was last confirmed; ok is false if it never was.
	Confirmed() (version int64, raw []byte, age time.Duration, ok bool)
}

// JobStorer stores jobs and cancellations for peers that cannot reach the store.
type JobStorer interface {
	StoreJob(ctx context.Context, req *pb.StoreJobRequest) pb.StoreResult
}

// NewHandler returns the path prefix and the handler of the service for peers.
func NewHandler(pools Pools, tables Tables, storer JobStorer) (string, http.Handler) {
	return agateturnv1connect.NewJobPeerServiceHandler(&server{pools: pools, tables: tables, storer: storer},
		connect.WithReadMaxBytes(maxMessageBytes), serverCompression())
}

type server struct {
	pools  Pools
	tables Tables
	storer JobStorer
}

// JobStates implements the service.
func (s *server) JobStates(_ context.Context, req *connect.Request[pb.JobStatesRequest]) (*connect.Response[pb.JobStatesResponse], error) {
	if len(req.Msg.GetIds()) > maxIDs {
		return nil, tooMany("ids", len(req.Msg.GetIds()), maxIDs)
	}
	if n := len(req.Msg.GetWorkspaces()); n > 0 && n != len(req.Msg.GetIds()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errCall.New("%d workspaces for %d ids", n, len(req.Msg.GetIds())))
	}
	states, owner := s.pools.States(req.Msg.GetPool(), req.Msg.GetIds(), req.Msg.GetWorkspaces())
	return connect.NewResponse(&pb.JobStatesResponse{Owner: owner, States: states}), nil
}

// OfferJobs implements the service.
func (s *server) OfferJobs(_ context.Context, req *connect.Request[pb.OfferJobsRequest]) (*connect.Response[pb.OfferJobsResponse], error) {
	if n := len(req.Msg.GetJobs()) + len(req.Msg.GetCancelled()) + len(req.Msg.GetCancellations()); n > maxOffered {
		return nil, tooMany("jobs", n, maxOffered)
	}
	pool := req.Msg.GetPool()
	owner := s.pools.Offer(pool, req.Msg.GetJobs(), cancellationsOf(req.Msg))
	return connect.NewResponse(&pb.OfferJobsResponse{Owner: owner, WaitMs: s.pools.Wait(pool).Milliseconds()}), nil
}

// PendingJobs implements the service.
func (s *server) PendingJobs(_ context.Context, req *connect.Request[pb.PendingJobsRequest]) (*connect.Response[pb.PendingJobsResponse], error) {
	pending, owner := s.pools.Pending(req.Msg.GetPool(), req.Msg.GetQueue())
	return connect.NewResponse(&pb.PendingJobsResponse{Owner: owner, Pending: pending}), nil
}

// PoolStatus implements the service.
func (s *server) PoolStatus(_ context.Context, req *connect.Request[pb.PoolStatusRequest]) (*connect.Response[pb.PoolStatusResponse], error) {
	status, owner := s.pools.Status(req.Msg)
	if !owner {
		status = &pb.PoolStatusResponse{}
	}
	status.Owner = owner
	return connect.NewResponse(status), nil
}

// DescribeJobs implements the service.
func (s *server) DescribeJobs(_ context.Context, req *connect.Request[pb.DescribeJobsRequest]) (*connect.Response[pb.DescribeJobsResponse], error) {
	answer, owner := describe(s.pools, req.Msg)
	answer.Owner = owner
	return connect.NewResponse(answer), nil
}

// describe returns the descriptions of Pools that implement Describer; with others, the pool counts as not owned.
func describe(pools Pools, req *pb.DescribeJobsRequest) (*pb.DescribeJobsResponse, bool) {
	describer, ok := pools.(Describer)
	if !ok {
		return &pb.DescribeJobsResponse{}, false
	}
	jobs, owner := describer.Describe(req)
	return &pb.DescribeJobsResponse{Jobs: jobs}, owner
}

// StoreJob implements the service.
func (s *server) StoreJob(ctx context.Context, req *connect.Request[pb.StoreJobRequest]) (*connect.Response[pb.StoreJobResponse], error) {
	return connect.NewResponse(&pb.StoreJobResponse{Result: s.storer.StoreJob(ctx, req.Msg)}), nil
}

// OfferTable implements the service.
func (s *server) OfferTable(ctx context.Context, req *connect.Request[pb.OfferTableRequest]) (*connect.Response[pb.OfferTableResponse], error) {
	if req.Msg.GetAsk() {
		return connect.NewResponse(s.confirmTable(req.Msg)), nil
	}
	version := s.tables.Offer(ctx, req.Msg.GetVersion(), req.Msg.GetRaw())
	return connect.NewResponse(&pb.OfferTableResponse{Version: version}), nil
}

func (s *server) confirmTable(req *pb.OfferTableRequest) *pb.OfferTableResponse {
	version, raw, age, ok := s.tables.Confirmed()
	answer := &pb.OfferTableResponse{Version: version, Confirmed: ok}
	if ok {
		// Rounded up, so that the asking host never counts the confirmation as more recent than it is.
		answer.ConfirmedMs = age.Milliseconds() + 1
	}
	if req.GetSendRaw() && version > req.GetVersion() {
		answer.Raw = raw
	}
	return answer
}

func tooMany(what string, n, limit int) error {
	return connect.NewError(connect.CodeInvalidArgument, errCall.New("%d %s; at most %d", n, what, limit))
}
