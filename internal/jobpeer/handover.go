package jobpeer

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
)

// PoolAcquirer is implemented by Pools that can acquire a pool from an owner that consents.
type PoolAcquirer interface {
	// TakeFrom acquires the pool from the owner with the fencing token fence. It returns nil once that token is no longer
	// current: this host or another one owns the pool then.
	TakeFrom(ctx context.Context, pool string, fence uint64) error
}

// HandOver implements the service.
func (s *server) HandOver(ctx context.Context, req *connect.Request[pb.HandOverRequest]) (*connect.Response[pb.HandOverResponse], error) {
	acquirer, ok := s.pools.(PoolAcquirer)
	taken := ok && acquirer.TakeFrom(ctx, req.Msg.GetPool(), req.Msg.GetFence()) == nil
	return connect.NewResponse(&pb.HandOverResponse{Taken: taken}), nil
}

// HandOver asks the peer to acquire a pool from this entry host. Errors: NoOwner if the peer did not, or the call's.
func (c *Client) HandOver(ctx context.Context, address, pool string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &pb.HandOverRequest{Pool: pool, Fence: fence}
	answer, err := call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.HandOver, req)
	if err != nil {
		return err
	}
	if !answer.GetTaken() {
		return NoOwner.New("peer did not acquire pool %s", pool)
	}
	return nil
}
