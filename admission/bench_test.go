package admission_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const benchTeams = 200

// newBenchQueue returns a queue with the given number of pools, each with one queued request of every team.
func newBenchQueue(pools int) (q *admission.Queue, now time.Time, nextID uint64) {
	c := &pb.Configuration{}
	for p := range pools {
		name := fmt.Sprintf("pool-%02d", p)
		c.Services = append(c.Services, &pb.Service{
			Name: name, Pool: name, Deadline: durationpb.New(time.Hour), RunTime: durationpb.New(time.Second),
			MaxQueue: 1 << 30, UrgentStart: durationpb.New(time.Second),
		})
	}
	for t := range benchTeams {
		c.Teams = append(c.Teams, &pb.Team{Name: fmt.Sprintf("team-%03d", t), Weight: 1, Quota: 1 << 30})
	}
	q = admission.New(admission.Limits{})
	q.Configure(c)
	now = time.Unix(1000, 0)
	for p := range pools {
		for t := range benchTeams {
			nextID++
			q.Offer(now, benchRequest(nextID, p, t))
		}
	}
	return q, now, nextID
}

func benchRequest(id uint64, pool, team int) admission.Request {
	name := fmt.Sprintf("pool-%02d", pool)
	return admission.Request{ID: id, Service: name, Pool: name, Team: fmt.Sprintf("team-%03d", team)}
}

// BenchmarkOfferCancel measures a request that is queued and cancelled.
func BenchmarkOfferCancel(b *testing.B) {
	for _, pools := range []int{7, 28} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			q, now, id := newBenchQueue(pools)
			r := benchRequest(0, 0, 7)
			b.ReportAllocs()
			for b.Loop() {
				id++
				r.ID = id
				q.Offer(now, r)
				q.Cancel(id)
			}
		})
	}
}

// BenchmarkStartDone measures a request from its offer to its end.
func BenchmarkStartDone(b *testing.B) {
	for _, pools := range []int{7, 28} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			q, now, id := newBenchQueue(pools)
			r := benchRequest(0, 0, 7)
			b.ReportAllocs()
			for b.Loop() {
				id++
				r.ID = id
				q.Offer(now, r)
				starts, _ := q.Next(now, "pool-00", 1)
				for _, s := range starts {
					q.Done(now, s, time.Second, true)
				}
			}
		})
	}
}

func BenchmarkDemand(b *testing.B) {
	q, now, _ := newBenchQueue(28)
	b.ReportAllocs()
	for b.Loop() {
		q.Demand(now)
	}
}
