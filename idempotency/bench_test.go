package idempotency_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
)

// BenchmarkClaim claims and finishes one key after the other, and reports the heap memory retained per key.
func BenchmarkClaim(b *testing.B) {
	self := &pb.Owner{Name: "e1", Incarnation: "1"}
	now := time.Unix(1_800_000_000, 0)
	large := limits
	large.MaxKeys = 10_000_000
	owner := idempotency.NewOwner(self, large, ownerOf)
	owner.SetFleet(now, &pb.Fleet{Revision: 1, Owners: &pb.OwnerSet{Owners: []*pb.Owner{self}}})
	digest := make([]byte, 32)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		key := fmt.Sprint("key-", owner.Len())
		attempt := "0198c0a0-0000-7000-8000-" + key
		owner.Claim(now, &pb.ClaimRequest{Service: "s", Key: key, Attempt: attempt, Member: "e2", Digest: digest})
		owner.Finish(now, &pb.FinishRequest{
			Service: "s", Key: key, Attempt: attempt,
			Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_DONE, Status: 200},
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(owner.Len()), "B/key")
	runtime.KeepAlive(owner)
}
