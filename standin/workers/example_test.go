package workers_test

import (
	"context"
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/standin/workers"
)

// A worker that answers every request with 500 at once.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := workers.New(ctx, workers.Options{
		Hosts:        []*pb.Host{{Name: "w1", Address: "127.0.0.1:0"}},
		AdminAddress: "127.0.0.1:0",
	})
	if err != nil {
		fmt.Println(err)
	}
	done := make(chan error)
	go func() { done <- fleet.Serve(ctx) }()
	fmt.Println(fleet.SetFaults("w1", workers.Faults{FailFast: true}))
	cancel()
	fmt.Println(<-done)
	// Output:
	// true
	// <nil>
}
