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

// Error kinds.
var (
	// NoOwner means that nobody known owns the pool, or that the member asked does not own it any more.
	NoOwner = errs.Class("jobpeer: pool has no owner that is known; ask the store, or again later")
	errCall = errs.Class("jobpeer: call failed; ask again later")
	// errSuspect means that nothing was sent.
	errSuspect = errs.Class("jobpeer: peer failed lately and was not called; ask again later")
)

const (
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds the calls for which the caller sets no earlier deadline.
	callTimeout = time.Second
	// statesTimeout bounds a question for states, whose askers can turn to the store.
	statesTimeout = 300 * time.Millisecond
	// tableTimeout bounds the transfer of a table of queues, which may be a megabyte.
	tableTimeout = 3 * time.Second

	maxConnections = 8
	idleTimeout    = time.Minute
	keepAlive      = 5 * time.Second
	// maxAddresses bounds the clients kept.
	maxAddresses = 256
)

// Client asks the owners of pools, wherever they are. All methods may be called concurrently.
type Client struct {
	resolve  func(pool string) (address string, local, ok bool)
	local    Pools
	http     *http.Client
	states   *batcher
	suspects *suspects
	// onRefused may be nil.
	log       *slog.Logger
	onRefused func(address string)

	mu    sync.Mutex
	peers map[string]agateturnv1connect.JobPeerServiceClient
}

// New returns a client. resolve names the peer address of a pool's owner, or says that it is this entry host; local
// answers then.
func New(resolve func(pool string) (address string, local, ok bool), local Pools) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c := &Client{
		resolve:  resolve,
		local:    local,
		suspects: newSuspects(),
		peers:    map[string]agateturnv1connect.JobPeerServiceClient{},
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

// OnRefused sets what is told when a peer refuses a connection: no process listens there any more. It is called before
// the first call.
func (c *Client) OnRefused(f func(address string)) { c.onRefused = f }

// Count sets what counts the bytes of calls. It is called before the first call.
func (c *Client) Count(m meterconn.Meter) {
	transport := c.http.Transport.(*http.Transport)
	transport.DialContext = m.Dialer(transport.DialContext)
}

// LogTo sets where lost and regained peers are logged. It is called before the first call.
func (c *Client) LogTo(log *slog.Logger) { c.log = log }

func (c *Client) tell(ctx context.Context, address string, change suspicion, err error) {
	switch {
	case c.log == nil || change == suspicionStays:
	case change == suspicionBegins:
		events.Log(ctx, c.log, events.PeerUnreachable, slog.String("peer", address), slog.String("err", err.Error()))
	case change == suspicionEnds:
		events.Log(ctx, c.log, events.PeerBack, slog.String("peer", address))
	}
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
		connect.WithReadMaxBytes(messageLimit), clientCompression())
	c.peers[address] = peer
	return peer
}

// method is one call of the service on some peer.
type method[Req, Res any] func(agateturnv1connect.JobPeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call calls a peer. A peer that failed lately is tried only now and then. A call that got no answer in time leaves no
// connection behind that was opened before it: one that has gone silent would cost the next call its time as well.
func call[Req, Res any](ctx context.Context, c *Client, address string, m method[Req, Res], req *Req) (*Res, error) {
	if !c.suspects.admit(address, time.Now()) {
		return nil, errSuspect.New("%s", address)
	}
	answer, err := m(c.at(address), ctx, connect.NewRequest(req))
	c.tell(ctx, address, c.suspects.note(address, time.Now(), failed(err)), err)
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

// failed reports whether the peer gave no answer, for reasons of its own or of the network.
func failed(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded)
}

// ask calls the owner of a pool, or here if that is this entry host. owns tells whether an answer came from an owner.
func ask[Req, Res any](
	ctx context.Context, c *Client, pool string, req *Req, here func() (*Res, bool), m method[Req, Res], owns func(*Res) bool,
) (*Res, error) {
	address, local, ok := c.resolve(pool)
	switch {
	case local:
		if answer, owner := here(); owner {
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
	if !owns(answer) {
		return nil, NoOwner.New("%s", pool)
	}
	return answer, nil
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
	ctx, cancel := context.WithTimeout(context.Background(), statesTimeout)
	defer cancel()
	answer, err := ask(ctx, c, pool, &pb.JobStatesRequest{Pool: pool, Ids: ids},
		func() (*pb.JobStatesResponse, bool) {
			states, owner := c.local.States(pool, ids)
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

// Offer brings jobs and cancellations to the owner of the pool, and tells how long a new job would wait for the owner
// itself. Without an answer ok is false; nothing is amiss then, as the owner also watches the store.
func (c *Client) Offer(ctx context.Context, pool string, jobs []*pb.JobRecord, cancelled []string) (wait time.Duration, ok bool) {
	answer, err := ask(ctx, c, pool, &pb.OfferJobsRequest{Pool: pool, Jobs: jobs, Cancelled: cancelled},
		func() (*pb.OfferJobsResponse, bool) {
			owner := c.local.Offer(pool, jobs, cancelled)
			return &pb.OfferJobsResponse{WaitMs: c.local.Wait(pool).Milliseconds()}, owner
		},
		agateturnv1connect.JobPeerServiceClient.OfferJobs, (*pb.OfferJobsResponse).GetOwner)
	return time.Duration(answer.GetWaitMs()) * time.Millisecond, err == nil
}

// Pending counts the jobs of a queue for which no task has started. Errors: NoOwner, or the call's.
func (c *Client) Pending(ctx context.Context, pool, queue string) (int64, error) {
	answer, err := ask(ctx, c, pool, &pb.PendingJobsRequest{Pool: pool, Queue: queue},
		func() (*pb.PendingJobsResponse, bool) {
			n, owner := c.local.Pending(pool, queue)
			return &pb.PendingJobsResponse{Pending: n}, owner
		},
		agateturnv1connect.JobPeerServiceClient.PendingJobs, (*pb.PendingJobsResponse).GetOwner)
	return answer.GetPending(), err
}

// PoolStatus tells the load of a pool, and sets which of its hosts are to be emptied. Errors: NoOwner, or the call's.
func (c *Client) PoolStatus(ctx context.Context, req *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	return ask(ctx, c, req.GetPool(), req,
		func() (*pb.PoolStatusResponse, bool) { return c.local.Status(req) },
		agateturnv1connect.JobPeerServiceClient.PoolStatus, (*pb.PoolStatusResponse).GetOwner)
}

// DescribeJobs tells about the jobs of a pool. Errors: NoOwner, or the call's.
func (c *Client) DescribeJobs(ctx context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error) {
	answer, err := ask(ctx, c, req.GetPool(), req,
		func() (*pb.DescribeJobsResponse, bool) { return describe(c.local, req) },
		agateturnv1connect.JobPeerServiceClient.DescribeJobs, (*pb.DescribeJobsResponse).GetOwner)
	return answer.GetJobs(), err
}

// OfferTable tells the peer of a version of the table of queues, and returns the peer's own.
func (c *Client) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	answer, err := call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.OfferTable,
		&pb.OfferTableRequest{Version: version, Raw: raw})
	return answer.GetVersion(), err
}

// StoreJob asks the peer to store a job or a cancellation.
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
