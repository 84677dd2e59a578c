package carry_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/carriers"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/carry"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeWorkers answer after 20 ms and count the calls that reached them by way.
type fakeWorkers struct {
	mu      sync.Mutex
	direct  int
	carried map[string]int
	// started counts the starts of each run.
	started map[int64]int
	forgot  []string
}

// via are the calls to the workers that a host makes.
type via struct {
	*fakeWorkers
	host string
}

func (v via) reach(ctx context.Context, worker string) error {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		return ctx.Err()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.host == "" {
		v.direct++
	} else {
		v.carried[v.host]++
	}
	if worker == "gone" {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (v via) Start(ctx context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	if v.reach(ctx, o.Worker) != nil {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeNotSent}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.started[o.Run]++
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 7}
}

func (v via) Stop(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return v.Start(ctx, o, fence)
}

func (v via) Pace(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return v.Start(ctx, o, fence)
}

func (v via) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	if err := v.reach(ctx, r.Worker); err != nil {
		return scheduler.Report{}, err
	}
	task := scheduler.TaskID{Job: "a", Occurrence: 1, Step: 2, Index: 3}
	return scheduler.Report{
		Worker: r.Worker, Clock: 9, Born: 5,
		Running: []scheduler.RunningTask{{Task: task, Run: 4, Checkpoint: "c", Percent: 60, Tail: 8}},
		Ended:   []scheduler.EndedRun{{Number: 1, Task: task, Run: 3, End: scheduler.EndFailed, Checkpoint: "d"}},
	}, nil
}

func (v via) Forget(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forgot = append(v.forgot, v.host+"/"+address)
}

// fakePeers call the servers of carriers in memory. Calls to silent carriers wait for their time limit.
type fakePeers struct {
	servers map[string]*carry.Server
	mu      sync.Mutex
	silent  map[string]bool
}

func (f *fakePeers) setSilent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = true
}

func (f *fakePeers) reach(ctx context.Context, address string) error {
	f.mu.Lock()
	silent := f.silent[address]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (f *fakePeers) SubmitCalls(ctx context.Context, address string, r *pb.SubmitCallsRequest) error {
	if err := f.reach(ctx, address); err != nil {
		return err
	}
	_, err := f.servers[address].SubmitCalls(ctx, connect.NewRequest(r))
	return err
}

func (f *fakePeers) CollectCalls(ctx context.Context, address string, r *pb.CollectCallsRequest) ([]*pb.CarriedResult, error) {
	if err := f.reach(ctx, address); err != nil {
		return nil, err
	}
	answer, err := f.servers[address].CollectCalls(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	if err := f.reach(ctx, address); err != nil {
		return nil, err
	}
	return answer.Msg.GetResults(), nil
}

// owner is a client with two carriers.
type owner struct {
	*carry.Client
	workers *fakeWorkers
	peers   *fakePeers
	close   func()
}

func newOwner() *owner {
	o := &owner{workers: &fakeWorkers{carried: map[string]int{}, started: map[int64]int{}}}
	o.peers = &fakePeers{servers: map[string]*carry.Server{}, silent: map[string]bool{}}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var hosts []carriers.Host
	for _, name := range []string{"c1", "c2"} {
		server := carry.NewServer(func() (poolowner.Workers, func()) { return via{o.workers, name}, func() {} }, time.Now)
		o.peers.servers[name] = server
		hosts = append(hosts, carriers.Host{Name: name, Address: name, CPUMilli: 400})
		group.Go(func() { server.Run(ctx) })
	}
	o.Client = carry.NewClient(carry.ClientOptions{
		Pool: "p", Fence: 1, Session: "s", Direct: via{o.workers, ""}, Peers: o.peers, Clock: time.Now,
		Hosts: func() []carriers.Host { return hosts }, Log: slog.New(slog.DiscardHandler),
	})
	o.close = func() {
		o.Close()
		stop()
		group.Wait()
	}
	return o
}

// holdAll holds a number of workers once, so that the pool has that size.
func (o *owner) holdAll(count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { _, _ = o.hold(fmt.Sprintf("w%d", i)) })
	}
	group.Wait()
}

func (o *owner) hold(worker string) (scheduler.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	return o.Hold(ctx, poolowner.HoldRequest{Worker: worker, Address: worker + ":1", Hold: scheduler.Hold{Fence: 1}})
}

func (o *owner) start(worker string, run int64) scheduler.OrderResult {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return o.Start(ctx, scheduler.Order{Kind: scheduler.OrderStart, Worker: worker, Address: worker + ":1", Run: run}, 1)
}

// grow makes the pool so large that its workers have carriers.
func (o *owner) grow(count int) {
	o.holdAll(count)
	time.Sleep(time.Second)
	synctest.Wait()
}

// Pattern: a pool grows past the size that its owner serves alone. The calls go by carriers from then on, and orders and
// reports come back as the worker gave them.
func TestLargePoolIsServedByCarriers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		defer o.close()
		o.holdAll(40)
		assert.Equal(t, o.workers.direct, 40)
		o.grow(130)
		before := o.workers.direct
		o.holdAll(130)
		assert.Equal(t, o.workers.direct, before)
		assert.Assert(t, o.workers.carried["c1"] >= 60 && o.workers.carried["c2"] >= 60, "%v", o.workers.carried)

		assert.DeepEqual(t, o.start("w1", 11), scheduler.OrderResult{
			Order:   scheduler.Order{Kind: scheduler.OrderStart, Worker: "w1", Address: "w1:1", Run: 11},
			Outcome: scheduler.OutcomeDone, Clock: 7,
		})
		direct, err := via{o.workers, ""}.Hold(t.Context(), poolowner.HoldRequest{Worker: "w1"})
		assert.NilError(t, err)
		report, err := o.hold("w1")
		assert.NilError(t, err)
		assert.Assert(t, !report.Sent.IsZero() && report.Received.After(report.Sent))
		report.Sent, report.Received = time.Time{}, time.Time{}
		assert.DeepEqual(t, report, direct)

		_, err = o.hold("gone")
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
		o.Forget("w1:1")
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(o.workers.forgot), 2)
	})
}

// Pattern: a carrier falls silent under load. Its calls end with an unknown outcome in time, its workers are served by others
// within 1.5 s, and no start is made twice.
func TestWorkersOfASilentCarrierAreServedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		defer o.close()
		o.grow(130)
		o.peers.setSilent("c1")
		var group sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[scheduler.Outcome]int{}
		began := time.Now()
		for i := range 130 {
			group.Go(func() {
				got := o.start(fmt.Sprintf("w%d", i), int64(i)).Outcome
				mu.Lock()
				defer mu.Unlock()
				outcomes[got]++
			})
		}
		group.Wait()
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond)
		assert.Assert(t, outcomes[scheduler.OutcomeUnknown] >= 60, "%v", outcomes)
		assert.Equal(t, outcomes[scheduler.OutcomeUnknown]+outcomes[scheduler.OutcomeDone], 130)
		time.Sleep(time.Second)
		for i := range 130 {
			assert.Equal(t, o.start(fmt.Sprintf("w%d", i), int64(1000+i)).Outcome, scheduler.OutcomeDone)
		}
		synctest.Wait()
		for run, n := range o.workers.started {
			assert.Equal(t, n, 1, "run %d", run)
		}
	})
}

// All calls that wait for a carrier end when the term ends.
func TestCallsEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		o.grow(130)
		o.peers.setSilent("c1")
		o.peers.setSilent("c2")
		done := make(chan scheduler.Outcome, 1)
		go func() { done <- o.start("w1", 1).Outcome }()
		time.Sleep(50 * time.Millisecond)
		o.close()
		assert.Equal(t, <-done, scheduler.OutcomeUnknown)
	})
}
