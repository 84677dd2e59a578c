package peers

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/meterconn"
)

func (p *Peers) fetchFrom(ctx context.Context, name string) {
	member, ok := lo.Find(p.members(), func(m *pb.Member) bool { return m.GetName() == name })
	if !ok {
		return
	}
	if values, err := p.fetch(ctx, member.GetPeerAddress(), nil); err == nil {
		p.applyValues(ctx, values)
	}
}

// FetchAsGuest asks a peer to vouch for this entry host and, once it does, applies the peer's configuration and fleet.
func (p *Peers) FetchAsGuest(ctx context.Context, address string) error {
	values, err := p.fetch(ctx, address, p.self)
	if err != nil {
		return err
	}
	p.view.AddGuests(p.self)
	p.applyValues(ctx, values)
	return nil
}

// fetch returns the configuration and the fleet of the peer if they are newer than ours. With join set, it also asks the
// peer to vouch for this entry host.
func (p *Peers) fetch(ctx context.Context, address string, join *pb.Member) (*pb.FetchResponse, error) {
	answer, err := p.At(address).Fetch(ctx, connect.NewRequest(&pb.FetchRequest{
		ConfigGeneration: p.view.Config().GetGeneration(),
		FleetRevision:    p.view.Fleet().GetRevision(),
		Join:             join,
	}))
	if err != nil {
		return nil, errUnreachable.New("%s: %v", address, err)
	}
	return answer.Msg, nil
}

// FleetOfMember returns the fleet of the first other member that answers with one.
func (p *Peers) FleetOfMember(ctx context.Context) (*pb.Fleet, error) {
	for _, m := range p.view.Fleet().GetMembers() {
		if m.GetName() == p.self.GetName() {
			continue
		}
		answer, err := p.At(m.GetPeerAddress()).Fetch(ctx, connect.NewRequest(&pb.FetchRequest{}))
		if err == nil && answer.Msg.GetFleet() != nil {
			return answer.Msg.GetFleet(), nil
		}
	}
	return nil, errUnreachable.New("no other member answered with a fleet")
}

// applyValues applies a peer's newer configuration and fleet. The configuration comes first, since the fleet refers to its
// hosts.
func (p *Peers) applyValues(ctx context.Context, values *pb.FetchResponse) {
	if cfg := values.GetConfig(); cfg != nil {
		if p.view.ApplyConfig(time.Now(), cfg) {
			events.Emit(ctx, p.logger, events.ConfigInForce, "generation", cfg.GetGeneration(), "source", "peer")
		}
	}
	if f := values.GetFleet(); f != nil {
		p.view.ApplyFleet(f)
	}
}

func peerClient(traffic meterconn.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         traffic.Dialer(dialer.DialContext),
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}
}

// peerDialTimeout limits the wait for a connection to a peer.
const peerDialTimeout = 2 * time.Second
