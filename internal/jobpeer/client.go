package jobpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
)

// Error kinds.
var (
	// NoOwner means that nobody known owns the pool, or that the member asked does not own it any more.
	NoOwner = errs.Class("jobpeer: pool has no owner that is known; ask the store, or again later")
	errCall = errs.Class("jobpeer: call failed; ask again later")
)

const (
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds the calls for which the caller sets no earlier deadline.
	callTimeout = time.Second
	// statesTimeout bounds a question for states, whose askers can turn to the store.
	statesTimeout = 300 * time.Millisecond

	maxConnections = 8
	idleTimeout    = time.Minute
	keepAlive      = 5 * time.Second
	// maxAddresses bounds the clients kept.
	maxAddresses = 256
)

// Client asks the owners of pools, wherever they are. All methods may be called concurrently.
type Client struct {
	resolve func(pool string) (address string, local, ok bool)
	local   Pools
	http    *http.Client
	states  *batcher

	mu    sync.Mutex
	peers map[string]agateturnv1connect.JobPeerServiceClient
}

// New returns a client. resolve names the peer address of a pool's owner, or says that it is this entry host; local
// answers then.
func New(resolve func(pool string) (address string, local, ok bool), local Pools) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c := &Client{
		resolve: resolve,
		local:   local,
		peers:   map[string]agateturnv1connect.JobPeerServiceClient{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
	c.states = newBatcher(c.askStates)
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// at is the client for a peer address.
func (c *Client) at(address string) agateturnv1connect.JobPeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[address]; ok {
		return peer
	}
	if len(c.peers) >= maxAddresses {
		clear(c.peers)
	}
	peer := agateturnv1connect.NewJobPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(messageLimit), connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	c.peers[address] = peer
	return peer
}

// owner returns the client for the pool's owner, or nil if that is this entry host.
func (c *Client) owner(pool string) (agateturnv1connect.JobPeerServiceClient, error) {
	address, local, ok := c.resolve(pool)
	switch {
	case local:
		return nil, nil
	case !ok:
		return nil, NoOwner.New("%s", pool)
	default:
		return c.at(address), nil
	}
}

// States returns one state for each id; UNSPECIFIED for a job that the owner does not know.
// Errors: NoOwner, or the call's.
func (c *Client) States(ctx context.Context, pool string, ids []string) ([]pb.JobState, error) {
	if _, local, _ := c.resolve(pool); local {
		if states, owner := c.local.States(pool, ids); owner {
			return states, nil
		}
		return nil, NoOwner.New("%s", pool)
	}
	return c.states.ask(ctx, pool, ids)
}

// askStates is one call for many askers; it has its own deadline.
func (c *Client) askStates(pool string, ids []string) ([]pb.JobState, error) {
	peer, err := c.owner(pool)
	if err != nil || peer == nil {
		return nil, NoOwner.New("%s", pool)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statesTimeout)
	defer cancel()
	answer, err := peer.JobStates(ctx, connect.NewRequest(&pb.JobStatesRequest{Pool: pool, Ids: ids}))
	switch {
	case err != nil:
		return nil, errCall.Wrap(err)
	case !answer.Msg.GetOwner():
		return nil, NoOwner.New("%s", pool)
	case len(answer.Msg.GetStates()) != len(ids):
		return nil, errCall.New("%d states for %d jobs", len(answer.Msg.GetStates()), len(ids))
	default:
		return answer.Msg.GetStates(), nil
	}
}

// Offer brings jobs and cancellations to the owner of the pool. It reports no error: the owner also watches the store.
func (c *Client) Offer(ctx context.Context, pool string, jobs []*pb.JobRecord, cancelled []string) {
	peer, err := c.owner(pool)
	if err != nil {
		return
	}
	if peer == nil {
		c.local.Offer(pool, jobs, cancelled)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = peer.OfferJobs(ctx, connect.NewRequest(&pb.OfferJobsRequest{Pool: pool, Jobs: jobs, Cancelled: cancelled}))
}

// Pending counts the jobs of a queue for which no task has started. Errors: NoOwner, or the call's.
func (c *Client) Pending(ctx context.Context, pool, queue string) (int64, error) {
	peer, err := c.owner(pool)
	if err != nil {
		return 0, err
	}
	if peer == nil {
		if n, owner := c.local.Pending(pool, queue); owner {
			return n, nil
		}
		return 0, NoOwner.New("%s", pool)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.PendingJobs(ctx, connect.NewRequest(&pb.PendingJobsRequest{Pool: pool, Queue: queue}))
	if err != nil {
		return 0, errCall.Wrap(err)
	}
	if !answer.Msg.GetOwner() {
		return 0, NoOwner.New("%s", pool)
	}
	return answer.Msg.GetPending(), nil
}

// PoolStatus tells the load of a pool, and sets which of its hosts are to be emptied. Errors: NoOwner, or the call's.
func (c *Client) PoolStatus(ctx context.Context, req *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	peer, err := c.owner(req.GetPool())
	if err != nil {
		return nil, err
	}
	if peer == nil {
		if status, owner := c.local.Status(req); owner {
			status.Owner = true
			return status, nil
		}
		return nil, NoOwner.New("%s", req.GetPool())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.PoolStatus(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errCall.Wrap(err)
	}
	if !answer.Msg.GetOwner() {
		return nil, NoOwner.New("%s", req.GetPool())
	}
	return answer.Msg, nil
}

// DescribeJobs tells about the jobs of a pool. Errors: NoOwner, or the call's.
func (c *Client) DescribeJobs(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error) {
	peer, err := c.owner(req.GetPool())
	if err != nil {
		return nil, err
	}
	if peer == nil {
		return c.describeHere(req)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.DescribeJobs(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errCall.Wrap(err)
	}
	if !answer.Msg.GetOwner() {
		return nil, NoOwner.New("%s", req.GetPool())
	}
	return answer.Msg.GetJobs(), nil
}

func (c *Client) describeHere(req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error) {
	describer, ok := c.local.(Describer)
	if !ok {
		return nil, errCall.New("this owner does not describe jobs")
	}
	jobs, owner := describer.Describe(req)
	if !owner {
		return nil, NoOwner.New("%s", req.GetPool())
	}
	return jobs, nil
}

// OfferTable tells the peer of a version of the table of queues, and returns the peer's own.
func (c *Client) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.at(address).OfferTable(ctx, connect.NewRequest(&pb.OfferTableRequest{Version: version, Raw: raw}))
	if err != nil {
		return 0, errCall.Wrap(err)
	}
	return answer.Msg.GetVersion(), nil
}
