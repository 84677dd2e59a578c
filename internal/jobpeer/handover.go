package jobpeer

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
)

// Taker is implemented by Pools that take a pool from an owner that consents.
type Taker interface {
	// TakeFrom returns nil if the fence is no longer the pool's.
	TakeFrom(ctx context.Context, pool string, fence uint64) error
}

// HandOver implements the service.
func (s *server) HandOver(ctx context.Context, req *connect.Request[pb.HandOverRequest]) (*connect.Response[pb.HandOverResponse], error) {
	taker, ok := s.pools.(Taker)
	taken := ok && taker.TakeFrom(ctx, req.Msg.GetPool(), req.Msg.GetFence()) == nil
	return connect.NewResponse(&pb.HandOverResponse{Taken: taken}), nil
}

// HandOver asks the peer to take a pool from this entry host. Errors: NoOwner if it did not, or the call's.
func (c *Client) HandOver(ctx context.Context, address, pool string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &pb.HandOverRequest{Pool: pool, Fence: fence}
	answer, err := call(ctx, c, address, agateturnv1connect.JobPeerServiceClient.HandOver, req)
	if err != nil {
		return err
	}
	if !answer.GetTaken() {
		return NoOwner.New("peer did not take pool %s", pool)
	}
	return nil
}
