package jobfront

import (
	"context"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
)

const (
	// offerRing bounds the news that wait for their owners. What does not fit is dropped: owners also watch the store.
	offerRing = 4096
	// offerWait is how long news wait for others to the same owner.
	offerWait = 3 * time.Millisecond
	// offerBatch bounds the news of one call.
	offerBatch = 128
	// offerCalls bounds the calls under way.
	offerCalls = 16
	// offerTimeout bounds one call.
	offerTimeout = 500 * time.Millisecond
)

// offer is a stored job or cancellation that its owner is told of.
type offer struct {
	pool string
	// job is nil for a cancellation.
	job       *pb.JobRecord
	cancelled string
}

// offers tells owners of what was stored.
type offers struct {
	owners  Owners
	metrics *Metrics
	busy    *busyPools
	news    *ring.Ring[offer]
	calls   chan struct{}
}

func newOffers(owners Owners, metrics *Metrics, busy *busyPools) *offers {
	return &offers{
		owners:  owners,
		metrics: metrics,
		busy:    busy,
		news:    ring.New[offer]("job offers", offerRing),
		calls:   make(chan struct{}, offerCalls),
	}
}

func (o *offers) job(job *pb.JobRecord) { o.news.Offer(offer{pool: job.GetPool(), job: job}) }

func (o *offers) cancelled(pool, id string) { o.news.Offer(offer{pool: pool, cancelled: id}) }

func (o *offers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-o.news.Items():
			time.Sleep(offerWait)
			o.sendAll(ctx, o.gather(first))
		}
	}
}

// gather takes what waits, by pool.
func (o *offers) gather(first offer) map[string][]offer {
	byPool := map[string][]offer{first.pool: {first}}
	for range offerBatch - 1 {
		select {
		case next := <-o.news.Items():
			byPool[next.pool] = append(byPool[next.pool], next)
		default:
			return byPool
		}
	}
	return byPool
}

// sendAll tells each owner in its own goroutine, so that a slow one does not hold up the others.
func (o *offers) sendAll(ctx context.Context, byPool map[string][]offer) {
	for pool, news := range byPool {
		select {
		case o.calls <- struct{}{}:
			go func() {
				defer func() { <-o.calls }()
				o.send(ctx, pool, news)
			}()
		default:
			o.metrics.offersDropped(len(news))
		}
	}
}

func (o *offers) send(ctx context.Context, pool string, news []offer) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var jobs []*pb.JobRecord
	var cancelled []string
	for _, n := range news {
		if n.job != nil {
			jobs = append(jobs, n.job)
		} else {
			cancelled = append(cancelled, n.cancelled)
		}
	}
	if wait, ok := o.owners.Offer(ctx, pool, jobs, cancelled); ok {
		o.busy.note(pool, wait, time.Now())
	}
}
