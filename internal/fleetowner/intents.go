package fleetowner

import (
	"context"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"google.golang.org/protobuf/proto"
)

// OrderedHosts returns the hosts that an owner of the fleet may have ordered away from a pool. It reads them from the
// records below recordPrefix and at movesKey (see Names). Errors: the store's, or that a record cannot be decoded.
func OrderedHosts(ctx context.Context, kv store.Transactor, pool, recordPrefix, movesKey string) ([]string, error) {
	records, _, err := kv.Range(ctx, recordPrefix, false)
	if err != nil {
		return nil, err
	}
	var hosts []string
	for _, item := range records {
		r := &pb.WaveRecord{}
		if err := proto.Unmarshal(item.Data, r); err != nil {
			return nil, err
		}
		for _, m := range r.GetHosts() {
			if m.GetPhase() == pb.UpkeepPhase_UPKEEP_PHASE_INTENDED {
				hosts = append(hosts, m.GetHost())
			}
		}
	}
	item, err := kv.Get(ctx, movesKey)
	if err != nil {
		return nil, err
	}
	r := &pb.MoveRecord{}
	if err := proto.Unmarshal(item.Data, r); err != nil {
		return nil, err
	}
	for _, m := range r.GetMoves() {
		if m.GetPool() == pool {
			continue
		}
		hosts = append(hosts, m.GetHost())
	}
	return hosts, nil
}
