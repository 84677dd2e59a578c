package upkeep_test

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
)

// A wave of two hosts, of which one may be down at a time.
func Example() {
	now := time.Unix(1_000_000, 0)
	planner := upkeep.New(upkeep.DefaultConfig(2*time.Second, 1500*time.Millisecond), now)
	in := upkeep.Input{
		Hosts: []upkeep.Host{
			{ID: "a", Pool: "web", State: upkeep.Up, Worker: "a1"},
			{ID: "b", Pool: "web", State: upkeep.Up, Worker: "b1"},
		},
		HostsAt: now,
		Waves:   []upkeep.Wave{{Number: 1, Hosts: []string{"a", "b"}, Within: 20 * time.Second, Cap: 1, Seen: now}},
		Pools:   map[string]upkeep.PoolLoad{"web": {}},
	}
	out := planner.Step(now, in)
	fmt.Println("evacuate:", out.Evacuate["web"])

	now = now.Add(time.Second)
	worker := &pb.WorkerLoad{Id: "a1", Evacuated: true}
	in.Pools["web"] = upkeep.PoolLoad{Status: &pb.PoolStatusResponse{Owner: true, Workers: []*pb.WorkerLoad{worker}}}
	out = planner.Step(now, in)
	fmt.Println("ordered:", out.Upkeeps)
	planner.UpkeepResult(now, out.Upkeeps[0], upkeep.Done)
	fmt.Println("durable:", planner.Progress(1)["a"] == upkeep.Begun)
	// Output:
	// evacuate: [a1]
	// ordered: [{a 1}]
	// durable: true
}
