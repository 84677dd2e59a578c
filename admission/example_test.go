package admission_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// An urgent request starts before a normal one, and a request that can't meet its deadline is rejected immediately.
func Example() {
	q := admission.New(admission.Limits{MaxRequests: 100})
	q.Configure(&pb.Configuration{
		Services: []*pb.Service{{
			Name:        "labels",
			Pool:        "labelling",
			Deadline:    durationpb.New(10 * time.Second),
			RunTime:     durationpb.New(time.Second),
			MaxQueue:    50,
			UrgentStart: durationpb.New(time.Second),
		}},
		Teams: []*pb.Team{{Name: "market", Weight: 1, Quota: 4}},
	})
	now := time.Unix(0, 0)
	r := admission.Request{ID: 1, Service: "labels", Pool: "labelling", Team: "market"}
	fmt.Println(q.Offer(now, r).Queued)
	r.ID, r.Class = 2, admission.ClassUrgent
	fmt.Println(q.Offer(now, r).Queued)
	r.ID, r.Deadline = 3, now.Add(100*time.Millisecond)
	r.Class = admission.ClassNormal
	starts, _ := q.Next(now, "labelling", 1)
	fmt.Println(starts)
	d := q.Offer(now, r)
	fmt.Println(d.Queued, d.Reason)
	// Output:
	// true
	// true
	// [2]
	// false can't finish before its deadline; retry later or allow more time
}
