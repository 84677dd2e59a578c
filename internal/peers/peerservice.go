package peers

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/view"
)

// claimLimit is the maximum size of a claim in bytes. It covers a key, a service and names of at most 128 bytes each,
// identities and a digest.
const claimLimit = 1024

// peerLimits limits the size of requests and sets the minimum size of compressed answers.
func peerLimits() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithReadMaxBytes(peerMessageLimit), connect.WithCompressMinBytes(compressFrom))
}

// claimOwner decides the claims on the keys that this entry host owns.
type claimOwner interface {
	ClaimHere(req *pb.ClaimRequest) *pb.ClaimResponse
	FinishHere(req *pb.FinishRequest)
}

// peerService implements the service that the other entry hosts call.
type peerService struct {
	peers    *Peers
	claims   claimOwner
	detector *pause.Detector
	view     *view.View
}

// Exchange processes a peer's heartbeat and answers with our own.
func (s *peerService) Exchange(ctx context.Context, req *connect.Request[pb.Heartbeat]) (*connect.Response[pb.Heartbeat], error) {
	// The sender cancels an exchange after a heartbeat period, so its report is no older than that.
	s.peers.reportToStager(req.Msg, time.Now().Add(-s.peers.heartbeat))
	s.peers.receive(ctx, req.Msg)
	own, err := s.peers.compose(ctx, req.Msg.GetName())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(own), nil
}

// Fetch returns the configuration and the fleet if they are newer than those of the caller. It vouches for a joining entry
// host only while this one is a member itself.
func (s *peerService) Fetch(_ context.Context, req *connect.Request[pb.FetchRequest]) (*connect.Response[pb.FetchResponse], error) {
	if err := s.detector.Check(); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err) // the configuration and fleet from before the pause may be outdated
	}
	if join := req.Msg.GetJoin(); join != nil {
		if err := s.peers.vouch(join); err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
	}
	answer := &pb.FetchResponse{}
	if cfg := s.view.Config(); cfg.GetGeneration() > req.Msg.GetConfigGeneration() {
		answer.Config = cfg
	}
	if f := s.view.Fleet(); f.GetRevision() > req.Msg.GetFleetRevision() {
		answer.Fleet = f
	}
	return connect.NewResponse(answer), nil
}

// Stage stages a configuration that its proposer is about to write, or drops it if the proposer abandons it.
func (s *peerService) Stage(ctx context.Context, req *connect.Request[pb.StageRequest]) (*connect.Response[pb.StageResponse], error) {
	answer := &pb.StageResponse{}
	event := events.ConfigStaged
	s.view.WithStager(func(st *config.Stager) {
		if req.Msg.GetAbandon() {
			st.Abandon(time.Now(), req.Msg.GetConfig().GetChangeId(), req.Msg.GetProposer())
			event = events.ConfigAbandoned
		} else {
			answer.Staged, answer.Reason = st.Stage(time.Now(), req.Msg.GetConfig(), req.Msg.GetProposer())
		}
		answer.ConfigGeneration = st.Generation()
	})
	if answer.GetStaged() || req.Msg.GetAbandon() {
		events.Emit(ctx, s.peers.logger, event, "change", req.Msg.GetConfig().GetChangeId(), "proposer", req.Msg.GetProposer())
	}
	return connect.NewResponse(answer), nil
}

// Claim decides whether an attempt may run. Claims are kept in memory, so their size is limited.
func (s *peerService) Claim(_ context.Context, req *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	if size := proto.Size(req.Msg); size > claimLimit {
		return nil, connect.NewError(connect.CodeInvalidArgument, errLargeClaim.New("a claim of %d bytes; at most %d", size, claimLimit))
	}
	return connect.NewResponse(s.claims.ClaimHere(req.Msg)), nil
}

// Finish records how a claimed attempt ended.
func (s *peerService) Finish(_ context.Context, req *connect.Request[pb.FinishRequest]) (*connect.Response[pb.FinishResponse], error) {
	s.claims.FinishHere(req.Msg)
	return connect.NewResponse(&pb.FinishResponse{}), nil
}

// NewHandler returns the handler of the peers' calls, with the limits on their size and memory.
func NewHandler(p *Peers, claims claimOwner, detector *pause.Detector) http.Handler {
	mux := http.NewServeMux()
	service := &peerService{peers: p, claims: claims, detector: detector, view: p.view}
	mux.Handle(agateturnv1connect.NewPeerServiceHandler(service, peerLimits()))
	return bodies.LimitMessages(mux, messageLimits)
}
