package wait_test

import (
	"context"
	"fmt"
	"time"

	"github.com/agateturn/agateturn/wait"
)

func ExampleFor() {
	ctx, cancel := context.WithCancel(context.Background())
	fmt.Println(wait.For(ctx, time.Millisecond))
	cancel()
	fmt.Println(wait.For(ctx, time.Hour))
	// Output:
	// <nil>
	// context canceled
}
