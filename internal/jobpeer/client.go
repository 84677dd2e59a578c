package jobpeer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/meterconn"
)

// Error classes.
var (
	// NoOwner means that the pool has no known owner, or that the member called no longer owns it.
	NoOwner = errs.Class("jobpeer: pool has no known owner; read the store or retry later")
	errCall = errs.Class("jobpeer: call failed; retry later")
	// errSuspect means that the request was not sent.
	errSuspect = errs.Class("jobpeer: peer failed recently and was not called; retry later")
)

const (
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds calls whose caller sets no earlier deadline.
	callTimeout = time.Second
	// statesTimeout bounds a query for states; its callers can read the store instead.
	statesTimeout = 300 * time.Millisecond
	// tableTimeout bounds the transfer of a table of queues, which may be a megabyte long.
	tableTimeout = 3 * time.Second

	maxConnectionsPerPeer = 8
	idleTimeout           = time.Minute
	keepAliveInterval     = 5 * time.Second
	// maxAddresses bounds the peer addresses for which a client or a failure count is kept.
	maxAddresses = 256
)

// Client calls the owners of pools, on peers or on this entry host. Its methods are safe for concurrent use.
type Client struct {
	resolve  func(pool string) (address string, local, ok bool)
	local    Pools
	http     *http.Client
	states   *batcher
	suspects *suspects
	// log and onRefused may be nil.
	log       *slog.Logger
	onRefused func(address string)

	mu    sync.Mutex
	peers map[string]agateturnv1connect.JobPeerServiceClient
}

// New returns a client. resolve returns the peer address of a pool's owner, or reports that this entry host is the owner;
// local answers in that case.
func New(resolve func(pool string) (address string, local, ok bool), local Pools) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	c := &Client{
		resolve:  resolve,
		local:    local,
		suspects: newSuspects(),
		peers:    map[string]agateturnv1connect.JobPeerServiceClient{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnectionsPerPeer,
			MaxIdleConnsPerHost: maxConnectionsPerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
	c.states = newBatcher(c.queryStates)
	return c
}

// OnRefused sets a function that is called when a peer refuses a connection, which means that no process listens there.
// It must be set before the first call.
func (c *Client) OnRefused(f func(address string)) { c.onRefused = f }

// SetMeter sets a meter for the bytes of calls. It must be set before the first call.
func (c *Client) SetMeter(m meterconn.Meter) {
	transport := c.http.Transport.(*http.Transport)
	transport.DialContext = m.Dialer(transport.DialContext)
}

// LogTo sets the logger for peers that become unreachable or reachable. It must be set before the first call.
func (c *Client) LogTo(log *slog.Logger) { c.log = log }

func (c *Client) logChange(ctx context.Context, address string, change suspicion, err error) {
	switch {
	case c.log == nil || change == suspicionUnchanged:
	case change == suspicionBegins:
		events.Log(ctx, c.log, events.PeerUnreachable, slog.String("peer", address), slog.String("err", err.Error()))
	case change == suspicionEnds:
		events.Log(ctx, c.log, events.PeerBack, slog.String("peer", address))
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// clientFor returns the client for a peer address.
func (c *Client) clientFor(address string) agateturnv1connect.JobPeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[address]; ok {
		return peer
	}
	if len(c.peers) >= maxAddresses {
		clear(c.peers)
	}
	peer := agateturnv1connect.NewJobPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), clientCompression())
	c.peers[address] = peer
	return peer
}

// method is a client method of the service, as a method expression.
type method[Req, Res any] func(agateturnv1connect.JobPeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call calls a peer. A suspect peer is called only every probeInterval. After a call that timed out, the idle connections
// are closed: one that was lost without a reset would make the next call time out as well.
func call[Req, Res any](ctx context.Context, c *Client, address string, m method[Req, Res], req *Req) (*Res, error) {
	if !c.suspects.admit(address, time.Now()) {
		return nil, errSuspect.New("%s", address)
	}
	answer, err := m(c.clientFor(address), ctx, connect.NewRequest(req))
	c.logChange(ctx, address, c.suspects.record(address, time.Now(), isUnreachable(err)), err)
	if c.onRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
		c.onRefused(address)
	}
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			c.http.CloseIdleConnections()
		}
		return nil, errCall.Wrap(err)
	}
	return answer.Msg, nil
}

// isUnreachable reports whether err means that the peer did not answer, for reasons of its own or of the network.
func isUnreachable(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded)
}

// callOwner calls the owner of a pool, or answerLocally if that is this entry host. isOwner reports whether an answer came
// from the pool's owner.
func callOwner[Req, Res any](
	ctx context.Context, c *Client, pool string, req *Req, answerLocally func() (*Res, bool), m method[Req, Res], isOwner func(*Res) bool,
) (*Res, error) {
	address, local, ok := c.resolve(pool)
	switch {
	case local:
		if answer, owner := answerLocally(); owner {
			return answer, nil
		}
		return nil, NoOwner.New("%s", pool)
	case !ok:
		return nil, NoOwner.New("%s", pool)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := call(ctx, c, address, m, req)
	if err != nil {
		return nil, err
	}
	if !isOwner(answer) {
		return nil, NoOwner.New("%s", pool)
	}
	return answer, nil
}

// States returns one state for each id; UNSPECIFIED for a job that the owner does not know, or that does not belong to the
// workspace. Errors: NoOwner, or the call's.
func (c *Client) States(ctx context.Context, pool, workspace string, ids []string) ([]pb.JobState, error) {
	if _, local, _ := c.resolve(pool); local {
		if states, owner := c.local.States(pool, ids, repeatUnlessEmpty(workspace, len(ids))); owner {
			return states, nil
		}
		return nil, NoOwner.New("%s", pool)
	}
	return c.states.query(ctx, pool, workspace, ids)
}

// queryStates makes one call for many callers, so it has a deadline of its own.
func (c *Client) queryStates(pool string, ids, workspaces []string) ([]pb.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statesTimeout)
	defer cancel()
	answer, err := callOwner(ctx, c, pool, &pb.JobStatesRequest{Pool: pool, Ids: ids, Workspaces: workspaces},
		func() (*pb.JobStatesResponse, bool) {
			states, owner := c.local.States(pool, ids, workspaces)
			return &pb.JobStatesResponse{States: states}, owner
		},
		agateturnv1connect.JobPeerServiceClient.JobStates, (*pb.JobStatesResponse).GetOwner)
	if err != nil {
		return nil, err
	}
	if len(answer.GetStates()) != len(ids) {
		return nil, errCall.New("%d states for %d jobs", len(answer.GetStates()), len(ids))
	}
	return answer.GetStates(), nil
}

// Offer notifies the owner of the pool of stored jobs and cancellations. wait is the delay of a new job that the owner's
// backlog causes. ok is false if the owner did not answer; nothing is lost then, as the owner also watches the store.
func (c *Client) Offer(ctx context.Context, pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) (wait time.Duration, ok bool) {
	req := &pb.OfferJobsRequest{Pool: pool, Jobs: jobs}
	req.Cancelled, req.Cancellations = splitCancellations(cancelled)
	answer, err := callOwner(ctx, c, pool, req,
		func() (*pb.OfferJobsResponse, bool) {
			owner := c.local.Offer(pool, jobs, cancelled)
			return &pb.OfferJobsResponse{WaitMs: c.local.Wait(pool).Milliseconds()}, owner
		},
		agateturnv1connect.JobPeerServiceClient.OfferJobs, (*pb.OfferJobsResponse).GetOwner)
	return time.Duration(answer.GetWaitMs()) * time.Millisecond, err == nil
}

// Pending returns the number of a queue's jobs of which no task has started. Errors: NoOwner, or the call's.
func (c *Client) Pending(ctx context.Context, pool, queue string) (int64, error) {
	answer, err := callOwner(ctx, c, pool, &pb.PendingJobsRequest{Pool: pool, Queue: queue},
		func() (*pb.PendingJobsResponse, bool) {
			n, owner := c.local.Pending(pool, queue)
			return &pb.PendingJobsResponse{Pending: n}, owner
		},
		agateturnv1connect.JobPeerServiceClient.PendingJobs, (*pb.PendingJobsResponse).GetOwner)
	return answer.GetPending(), err
}

// PoolStatus returns the load of a pool, and sets which of its hosts are to be evacuated. Errors: NoOwner, or the call's.
func (c *Client) PoolStatus(ctx context.Context, req *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	return callOwner(ctx, c, req.GetPool(), req,
		func() (*pb.PoolStatusResponse, bool) { return c.local.Status(req) },
		agateturnv1connect.JobPeerServiceClient.PoolStatus, (*pb.PoolStatusResponse).GetOwner)
}

// DescribeJobs returns descriptions of a pool's jobs. Errors: NoOwner, or the call's.
func (c *Client) DescribeJobs(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error) {
	answer, err := callOwner(ctx, c, req.GetPool(), req,
		func() (*pb.DescribeJobsResponse, bool) { return describe(c.local, req) },
		agateturnv1connect.JobPeerServiceClient.DescribeJobs, (*pb.DescribeJobsResponse).GetOwner)
	return answer.GetJobs(), err
}

// AskTable asks the peer for the version of the table of queues that it uses and how long ago that was confirmed. sendRaw asks
// for the table too if it is newer than version.
func (c *Client) AskTable(ctx context.Context, address string, version int64, sendRaw bool) (*pb.OfferTableResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.OfferTable,
		&pb.OfferTableRequest{Version: version, Ask: true, SendRaw: sendRaw})
}

// OfferTable offers a version of the table of queues to the peer, and returns the version that the peer then uses.
func (c *Client) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	answer, err := call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.OfferTable,
		&pb.OfferTableRequest{Version: version, Raw: raw})
	return answer.GetVersion(), err
}

// StoreJob asks the peer to store a job or a cancellation. If the call fails, the result is NOT_STORED only if the
// request was certainly not sent, and otherwise UNDECIDED.
func (c *Client) StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.StoreJob, req)
	var dial *net.OpError
	switch {
	case err == nil:
		return answer.GetResult()
	case errSuspect.Has(err), errors.As(err, &dial) && dial.Op == "dial":
		return pb.StoreResult_STORE_RESULT_NOT_STORED
	default:
		return pb.StoreResult_STORE_RESULT_UNDECIDED
	}
}
