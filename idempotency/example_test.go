package idempotency_test

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
)

// An entry host that owns every key grants the first attempt and rejects the second.
func Example() {
	self := &pb.Owner{Name: "entry-1", Incarnation: "a"}
	onlyOwner := func(_ string, set *pb.OwnerSet) (*pb.Owner, bool) { return self, len(set.GetOwners()) > 0 }
	limits := idempotency.Limits{MaxKeys: 1000, Window: 2 * time.Minute, ClockSkew: time.Second}
	owner := idempotency.NewOwner(self, limits, onlyOwner)
	now := time.Unix(1_800_000_000, 0)
	owner.SetFleet(now, &pb.Fleet{Revision: 1, Owners: &pb.OwnerSet{Owners: []*pb.Owner{self}}})

	claim := func(attempt string) pb.ClaimVerdict {
		return owner.Claim(now, &pb.ClaimRequest{Service: "fees", Key: "k", Attempt: attempt}).GetVerdict()
	}
	fmt.Println(claim("first"))
	fmt.Println(claim("second"))
	// Output:
	// CLAIM_VERDICT_GRANTED
	// CLAIM_VERDICT_RUNNING
}
