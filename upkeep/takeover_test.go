package upkeep_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

// TestMovesContinueAfterTakeover: moves that an earlier owner recorded and may not have sent are repeated immediately
// for hosts of a spare pool; for a host in use, only after the list has shown it unchanged for Settle. The move of a
// host that is already moving is not repeated.
func TestMovesContinueAfterTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := upkeep.DefaultConfig(time.Second, time.Second)
	p := upkeep.New(cfg, now)
	p.RestoreMoves(now, []upkeep.MoveOrder{{Host: "off", Pool: "a"}, {Host: "gone", Pool: "a"}, {Host: "works", Pool: "a"}})
	in := upkeep.Input{
		Hosts: []upkeep.Host{
			{ID: "gone", Pool: "spare", State: upkeep.Moving, CPUMilli: 1000},
			{ID: "off", Pool: "spare", State: upkeep.Up, CPUMilli: 1000},
			{ID: "works", Pool: "b", State: upkeep.Up, Worker: "w", CPUMilli: 1000},
		},
		Pools: map[string]upkeep.PoolLoad{
			"a": {Status: &pb.PoolStatusResponse{Owner: true}}, "b": {Status: &pb.PoolStatusResponse{Owner: true}}, "spare": {Spare: true},
		},
	}
	ordered := func(after time.Duration) []upkeep.MoveOrder {
		in.HostsAt = now.Add(after)
		return p.Step(now.Add(after+time.Millisecond), in).Moves
	}
	assert.DeepEqual(t, ordered(20*time.Millisecond), []upkeep.MoveOrder{{Host: "off", Pool: "a"}})
	p.MoveResult(now.Add(30*time.Millisecond), upkeep.MoveOrder{Host: "off", Pool: "a"}, upkeep.Done)
	assert.Equal(t, len(ordered(cfg.Settle/2)), 0)
	open := p.OpenMoves()
	assert.DeepEqual(t, open, []upkeep.MoveOrder{{Host: "works", Pool: "a"}})
}
