package mover_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

// A pool that is short of a host gets one from the spare pool once waiting has cost as much as the move.
func Example() {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{
		Deployment: &pb.Deployment{SparePool: "registry"},
		Hosts: []*pb.Host{
			{Name: "spare-1", Pool: "registry", Slots: 8},
			{Name: "w1", Pool: "tastings", Slots: 8},
		},
	}
	in := mover.Input{Fleet: fleet.Reconcile(&pb.Fleet{}, cfg, now), Config: cfg, RollOut: 2 * time.Second}
	sample := mover.Sample{
		Running: 8, Queued: 20, ArrivalsPerSecond: 30, RunTime: 500 * time.Millisecond, Deadline: 10 * time.Second, HostSlots: 8,
	}
	tracker := mover.NewTracker()
	for range 200 {
		in.Demand = tracker.Observe(now, map[string]mover.Sample{"tastings": sample})
		if moves := mover.Step(now, in); len(moves) > 0 {
			fmt.Println(moves[0].Host, moves[0].From, "to", moves[0].To)
			return
		}
		now = now.Add(time.Second)
	}
	// Output: spare-1 registry to tastings
}
