package waves_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/waves"
)

// Two of three hosts must stay in service, so the wave drains only one: the idle host.
func Example() {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{
		Maintenance: &pb.Maintenance{MaxParallel: 2, MaxPerRack: 1, MaxPerDataCentre: 2, FailureShare: 0.2},
		Services:    []*pb.Service{{Name: "labels", Pool: "labelling", Availability: 0.6}},
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		cfg.Hosts = append(cfg.Hosts, &pb.Host{Name: name, Pool: "labelling", DataCentre: "modica", Rack: "rack-" + name})
	}
	f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
	f, _ = waves.Create(f, "spring", []string{"w1", "w2", "w3"}, "order-1", now)

	load := map[string]waves.Load{"w1": {Requests: 4}, "w3": {Requests: 1}}
	for _, a := range waves.Step(now, waves.Input{Fleet: f, Config: cfg, Load: load}) {
		fmt.Println(a.Kind == waves.StartMaintenance, a.Host)
	}
	// Output: true w2
}
