package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/agateturn/agateturn/wait"
)

// Run sends the load and returns its results. When ctx ends, no more requests are started, and Run waits for those in
// progress. It returns an InvalidConfig error if config is invalid.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Check(); err != nil {
		return Report{}, err
	}
	load := &load{
		config: config,
		slots:  make(chan struct{}, config.MaxInFlight),
		tally:  newTally(config.Services),
	}
	load.run(ctx, Plan(config))
	return load.tally.report(), nil
}

type load struct {
	config Config
	// slots bounds the requests in flight.
	slots   chan struct{}
	running sync.WaitGroup
	tally   *tally
	tracing sync.Mutex
	// balancer skips targets that are not ready; if it is nil, each request goes to its planned target.
	balancer *balancer
}

func (l *load) run(ctx context.Context, plan []Request) {
	client := newClient()
	defer client.CloseIdleConnections()
	if l.config.Balanced {
		l.balancer = newBalancer(l.config.Targets)
		checking, stop := context.WithCancel(ctx)
		defer stop()
		go l.balancer.run(checking, client)
	}
	start := time.Now()
	// Requests in progress finish after ctx has ended; each is bounded by its own time limit.
	sending := context.WithoutCancel(ctx)
	for _, planned := range plan {
		if !sleepUntil(ctx, start.Add(planned.At)) {
			break
		}
		ids := newRequestIDs(planned)
		l.start(sending, client, planned, ids)
		if planned.Repeat != "" {
			planned.Target = planned.Repeat
			l.start(sending, client, planned, ids)
		}
	}
	l.running.Wait()
}

// start sends the request in a goroutine, unless too many are in flight.
func (l *load) start(ctx context.Context, client *http.Client, planned Request, ids requestIDs) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.tally.add(planned, ResultSkipped, 0)
		return
	}
	if l.balancer != nil {
		planned.Target = l.balancer.pick(planned.Target)
	}
	l.running.Go(func() {
		defer func() { <-l.slots }()
		sentAt := time.Now()
		result, status, reason := send(ctx, client, l.config, planned, ids)
		l.tally.add(planned, result, time.Since(sentAt))
		l.trace(planned, ids, Exchange{Sent: sentAt, Result: result, Status: status, Reason: reason})
	})
}

// Exchange is one request and its result, as seen by its caller.
type Exchange struct {
	ID      string    `json:"id"`
	Key     string    `json:"key,omitempty"`
	Service string    `json:"service"`
	Target  string    `json:"target"`
	Sent    time.Time `json:"sent"`
	Ended   time.Time `json:"ended"`
	Result  Result    `json:"result"`
	// Status is the HTTP status, or 0 if there was no answer.
	Status int `json:"status"`
	// Reason is the start of the body of an unexpected answer.
	Reason string `json:"reason,omitempty"`
}

func (l *load) trace(planned Request, ids requestIDs, e Exchange) {
	if l.config.Trace == nil {
		return
	}
	l.tracing.Lock()
	defer l.tracing.Unlock()
	e.ID, e.Key, e.Service, e.Target, e.Ended = ids.id, ids.key, planned.Service, planned.Target, time.Now()
	l.config.Trace(e)
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return wait.For(ctx, time.Until(at)) == nil
}
