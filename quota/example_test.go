package quota_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
)

// A cap of 8 cores is spread over two pools before anything waits.
func Example() {
	caps := []queue.Workspace{{Name: "w", Cap: queue.Cap{CPUMilli: 8000}}}
	allocator := quota.NewAllocator()
	allocator.SetPools([]string{"a", "b"})
	allocator.SetWorkspaces(caps)
	now := time.Unix(1, 0)
	allocator.Observe(now, "a", quota.Report{Fence: 1, Sequence: 1, UsageKnown: true})
	allocator.Observe(now, "b", quota.Report{Fence: 2, Sequence: 2, UsageKnown: true})

	limits := quota.NewLimits()
	limits.SetWorkspaces(caps, nil)
	limits.Found(nil)
	limits.Apply(allocator.Grants(now, "a").Grants)
	fmt.Println(limits.InForce()["w"])
	// Output: {4000 -1 -1}
}
