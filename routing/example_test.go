package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateturn/agateturn/routing"
)

// The router prefers the less loaded host, and ejects a host on which every job fails.
func Example() {
	router := routing.New(routing.Options{DataCentre: "east"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_800_000_000, 0)
	candidates := []routing.Candidate{
		{Host: "w1", DataCentre: "east", Slots: 8, Free: 8},
		{Host: "w2", DataCentre: "east", Slots: 8, Free: 4},
	}
	request := routing.Request{Service: "labels", ExpectedRun: time.Second}
	host, _ := router.Pick(now, request, candidates)
	fmt.Println(host)
	for job := range uint64(4) {
		router.Observe(now, routing.Observation{Host: "w1", Service: "labels", JobDigest: job, Result: routing.Failed})
	}
	host, _ = router.Pick(now, request, candidates)
	fmt.Println(host)
	// Output:
	// w1
	// w2
}
