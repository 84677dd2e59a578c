package fleet_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// A host moves to another pool once the only member has applied the drain and has no request in flight on the host.
func Example() {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{Hosts: []*pb.Host{{Name: "w1", Pool: "tastings"}}}
	f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
	f, _ = fleet.Register(f, &pb.Member{Name: "e1", Incarnation: "i1"})
	f, _ = fleet.NextWrite(f, 0, "", "write-1")

	gate := fleet.NewGate()
	gate.Apply(f)
	release, _ := gate.Begin("w1", "tastings", now)

	f, _ = fleet.BeginMove(f, "w1", "labelling", "order-1", now)
	f, _ = fleet.NextWrite(f, 0, "", "write-2")
	gate.Apply(f)
	fmt.Println(gate.Check("w1", "tastings"))

	reports := func() fleet.Reports {
		revision, held := gate.Snapshot(now)
		h := &pb.Heartbeat{Name: "e1", Incarnation: "i1", FleetRevision: revision, HeldHosts: held}
		return fleet.Reports{Now: now, Heartbeats: map[string]fleet.Received{"i1": {Heartbeat: h, At: now, Since: now}}}
	}
	fmt.Println(fleet.Holders(f, "w1", reports()))
	release()
	f, err := fleet.Complete(f, "w1", reports())
	fmt.Println(f.Hosts[0].Pool, err)
	// Output:
	// host takes no work: w1 does not serve pool tastings now; choose another host
	// [e1 (1 requests in flight, the oldest for 0s)]
	// labelling <nil>
}
