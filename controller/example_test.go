package controller_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// An operator moves a host: the first decision drains it, a later one completes the move.
func Example() {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{
		Pools: []*pb.Pool{{Name: "tastings"}, {Name: "labelling"}},
		Hosts: []*pb.Host{{Name: "w1", Pool: "tastings"}},
	}
	in := controller.Input{Config: cfg, Self: "e1/i1"}
	in.Fleet, _ = fleet.Register(&pb.Fleet{}, &pb.Member{Name: "e1", Incarnation: "i1"})
	in.Fleet = controller.Step(now, in).Fleet

	in.Orders = []controller.Order{{OperationID: "order-1", Kind: controller.MoveHost, Host: "w1", Pool: "labelling"}}
	d := controller.Step(now, in)
	in.Fleet = d.Fleet
	fmt.Println(d.Results[0].Err, in.Fleet.Hosts[0].Phase)

	in.Orders = nil
	report := &pb.Heartbeat{Name: "e1", Incarnation: "i1", FleetRevision: in.Fleet.Revision}
	in.Heartbeats = map[string]fleet.Received{"i1": {Heartbeat: report, At: now, Since: now}}
	in.Fleet = controller.Step(now, in).Fleet
	fmt.Println(in.Fleet.Hosts[0].Pool, in.Fleet.Hosts[0].Phase)
	// Output:
	// <nil> HOST_PHASE_DRAINING
	// labelling HOST_PHASE_ACTIVE
}
