package jobfront

import (
	"context"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
)

const (
	// offerRingSize bounds the queued offers. Offers beyond it are dropped, as owners also watch the store.
	offerRingSize = 4096
	// offerBatchDelay is how long an offer waits for others, which share a call if they have the same pool.
	offerBatchDelay = 3 * time.Millisecond
	// maxOfferBatch bounds the offers taken from the queue at once.
	maxOfferBatch = 128
	// maxOfferCalls bounds the calls in flight.
	maxOfferCalls = 16
	// offerTimeout bounds one call.
	offerTimeout = 500 * time.Millisecond
)

// offer is a stored job or cancellation of which the pool's owner is to be notified.
type offer struct {
	pool string
	// job is nil for a cancellation.
	job       *pb.JobRecord
	cancelled *pb.JobCancel
}

// offers notifies owners of stored jobs and cancellations.
type offers struct {
	owners     Owners
	metrics    *Metrics
	overloaded *overloadedPools
	queue      *ring.Ring[offer]
	sem        chan struct{} // holds one element for each call in flight
}

func newOffers(owners Owners, metrics *Metrics, overloaded *overloadedPools) *offers {
	return &offers{
		owners:     owners,
		metrics:    metrics,
		overloaded: overloaded,
		queue:      ring.New[offer]("job offers", offerRingSize),
		sem:        make(chan struct{}, maxOfferCalls),
	}
}

func (o *offers) addJob(job *pb.JobRecord) { o.queue.Offer(offer{pool: job.GetPool(), job: job}) }

func (o *offers) addCancellation(pool string, c *pb.JobCancel) {
	o.queue.Offer(offer{pool: pool, cancelled: c})
}

func (o *offers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-o.queue.Items():
			time.Sleep(offerBatchDelay)
			o.sendAll(ctx, o.collect(first))
		}
	}
}

// collect takes the queued offers and groups them by pool.
func (o *offers) collect(first offer) map[string][]offer {
	byPool := map[string][]offer{first.pool: {first}}
	for range maxOfferBatch - 1 {
		select {
		case next := <-o.queue.Items():
			byPool[next.pool] = append(byPool[next.pool], next)
		default:
			return byPool
		}
	}
	return byPool
}

// sendAll notifies each owner in its own goroutine, so that a slow owner does not delay the others. Offers that would
// exceed maxOfferCalls are dropped.
func (o *offers) sendAll(ctx context.Context, byPool map[string][]offer) {
	for pool, batch := range byPool {
		select {
		case o.sem <- struct{}{}:
			go func() {
				defer func() { <-o.sem }()
				o.send(ctx, pool, batch)
			}()
		default:
			o.metrics.countDroppedOffers(len(batch))
		}
	}
}

func (o *offers) send(ctx context.Context, pool string, batch []offer) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var jobs []*pb.JobRecord
	var cancelled []*pb.JobCancel
	for _, n := range batch {
		if n.job != nil {
			jobs = append(jobs, n.job)
		} else {
			cancelled = append(cancelled, n.cancelled)
		}
	}
	if wait, ok := o.owners.Offer(ctx, pool, jobs, cancelled); ok {
		o.overloaded.record(pool, wait, time.Now())
	}
}
