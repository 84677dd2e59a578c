package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/routing"
)

const (
	heartbeat     = time.Second
	actualRunTime = 20 * time.Millisecond
	callerTimeout = 5 * time.Second
)

// deployment describes a pool of workers with 8 slots each, and the team that uses it.
type deployment struct {
	entryHosts, workers int
	quota               int64
	urgentStart         time.Duration
}

// start runs one dispatcher per entry host, exchanging heartbeats.
func (s deployment) start(ctx context.Context) []*Dispatcher {
	cfg := &pb.Configuration{
		Generation: 1,
		Pools:      []*pb.Pool{{Name: "p"}},
		Services: []*pb.Service{{
			Name: "s", Pool: "p", MaxQueue: 512, Deadline: durationpb.New(callerTimeout),
			RunTime: durationpb.New(500 * time.Millisecond), UrgentStart: durationpb.New(s.urgentStart),
		}},
		Teams: []*pb.Team{{Name: "t", Weight: 1, Quota: s.quota}},
	}
	f := &pb.Fleet{Revision: 1, Owners: &pb.OwnerSet{}}
	for i := range s.workers {
		name := fmt.Sprintf("w%d", i)
		cfg.Hosts = append(cfg.Hosts, &pb.Host{Name: name, Pool: "p", Slots: 8})
		f.Hosts = append(f.Hosts, &pb.HostState{Host: name, Pool: "p", Phase: pb.HostPhase_HOST_PHASE_ACTIVE})
	}
	for i := range s.entryHosts {
		name := fmt.Sprintf("entry-%d", i)
		f.Members = append(f.Members, &pb.Member{Name: name, Incarnation: "1"})
		f.Owners.Owners = append(f.Owners.Owners, &pb.Owner{Name: name, Incarnation: "1"})
	}
	entryHosts := lo.Map(f.GetMembers(), func(m *pb.Member, i int) *Dispatcher {
		v := view.New(m, time.Minute, time.Minute)
		d := New(v, f.GetOwners().GetOwners()[i], "", 0)
		go d.Run(ctx)
		v.ApplyConfig(time.Now(), cfg)
		v.ApplyFleet(f)
		return d
	})
	byName := lo.KeyBy(entryHosts, func(d *Dispatcher) string { return d.self.GetName() })
	for _, d := range entryHosts {
		go sendHeartbeats(ctx, d, byName)
	}
	time.Sleep(5 * heartbeat)
	return entryHosts
}

// sendHeartbeats sends an entry host's heartbeats: regular ones to all peers, and early ones to the peers that are due one.
func sendHeartbeats(ctx context.Context, from *Dispatcher, peers map[string]*Dispatcher) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	send := func(peer string) {
		hb := &pb.Heartbeat{Name: from.self.GetName(), Incarnation: from.self.GetIncarnation()}
		if peer != from.self.GetName() && from.Compose(ctx, peer, hb) == nil {
			peers[peer].Incoming(ctx, hb)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-from.PeersToTell():
			send(peer)
		case <-ticker.C:
			for peer := range peers {
				send(peer)
			}
		}
	}
}

func newTicket(class admission.Class) *Ticket {
	return &Ticket{
		Request: admission.Request{Service: "s", Pool: "p", Team: "t", Class: class, Deadline: time.Now().Add(callerTimeout)},
		Result:  make(chan Verdict, 1),
	}
}

// sendRequest sends one request and returns its rejection, or nil if it ran.
func sendRequest(ctx context.Context, d *Dispatcher, class admission.Class) *Rejection {
	t := newTicket(class)
	d.Offer(t)
	v := <-t.Result
	if v.Grant != nil {
		time.Sleep(actualRunTime)
		d.Done(ctx, Finished{Ticket: t, Grant: v.Grant, Result: routing.Succeeded})
	}
	return v.Rejection
}

// sendStalledRequest occupies a slot for length, like a caller that does not read its answer.
func sendStalledRequest(ctx context.Context, d *Dispatcher, length time.Duration) {
	t := newTicket(admission.ClassNormal)
	d.Offer(t)
	if v := <-t.Result; v.Grant != nil {
		time.Sleep(length)
		d.Done(ctx, Finished{Ticket: t, Grant: v.Grant, Result: routing.Cancelled, Blocked: length - actualRunTime})
	}
}

// flood sends requests from n callers without pause for length, and returns after the last answer.
func flood(ctx context.Context, d *Dispatcher, n int, length time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for range n {
		callers.Go(func() {
			for time.Now().Before(end) {
				if rejection := sendRequest(ctx, d, admission.ClassNormal); rejection != nil {
					time.Sleep(rejection.RetryAfter)
				}
			}
		})
	}
	callers.Wait()
}

// assertAllRun sends 6 urgent and 12 normal requests at once and checks that each one runs.
func assertAllRun(ctx context.Context, t *testing.T, d *Dispatcher) {
	t.Helper()
	var burst sync.WaitGroup
	for i := range 18 {
		burst.Go(func() {
			class := lo.Ternary(i%3 == 0, admission.ClassUrgent, admission.ClassNormal)
			rejection := sendRequest(ctx, d, class)
			assert.Check(t, rejection == nil, "%s request: %+v", class, rejection)
		})
	}
	burst.Wait()
}

func runSynctest(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, t)
	})
}

// Guards against rejecting requests after a flood at a peer because the slots lent to it were not counted as reachable.
func TestBurstWhileSlotsAreLentAfterFlood(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		entryHosts := deployment{entryHosts: 2, workers: 4, quota: 1000, urgentStart: time.Second}.start(ctx)
		flood(ctx, entryHosts[0], 200, 2*time.Second)
		before := entryHosts[1].SlotStatus(ctx)
		assert.Assert(t, before.Own > 0)
		assert.Equal(t, before.Lent, before.Own)
		assertAllRun(ctx, t, entryHosts[1])
	})
}

// Guards against rejecting requests in the first burst of a pool because its slots had not been counted yet.
func TestFirstBurstOfPoolInOneBatch(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		entryHost := deployment{entryHosts: 1, workers: 4, quota: 1000, urgentStart: time.Second}.start(ctx)[0]
		_ = entryHost.commands.Put(ctx, func(*Dispatcher, time.Time) { time.Sleep(time.Millisecond) }) // the burst queues behind this command
		assertAllRun(ctx, t, entryHost)
	})
}

// Guards against rejecting requests at an entry host that owns no slot of a pool while its peers have idle ones.
func TestBurstAtEntryHostWithoutSlots(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		entryHosts := deployment{entryHosts: 12, workers: 1, quota: 1000, urgentStart: time.Second}.start(ctx)
		entryHost, found := lo.Find(entryHosts, func(d *Dispatcher) bool { return d.SlotStatus(ctx).Own == 0 })
		assert.Assert(t, found)
		assertAllRun(ctx, t, entryHost)
	})
}

// Guards against rejecting requests after a flood at a peer because the team's usage there, although ended, was counted
// until the next regular heartbeat.
func TestBurstOfTeamThatWasAtItsQuotaAtPeer(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		const quota = 8
		entryHosts := deployment{entryHosts: 2, workers: 4, quota: quota, urgentStart: heartbeat / 2}.start(ctx)
		time.Sleep(actualRunTime / 2)
		flood(ctx, entryHosts[0], quota, heartbeat+heartbeat/10) // ends soon after a heartbeat
		assert.Equal(t, entryHosts[0].SlotStatus(ctx).InUse, 0)
		assertAllRun(ctx, t, entryHosts[1])
	})
}

// Guards against rejecting a few requests during a flood at a peer because only the queue lengths decided on recalling
// loans.
func TestFewRequestsAtLenderDuringFlood(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		entryHosts := deployment{entryHosts: 2, workers: 4, quota: 1000, urgentStart: time.Second}.start(ctx)
		var flooding sync.WaitGroup
		flooding.Go(func() { flood(ctx, entryHosts[0], 200, 4*time.Second) })
		time.Sleep(time.Second)
		for i := range 5 {
			time.Sleep(300 * time.Millisecond)
			before := entryHosts[1].SlotStatus(ctx)
			assert.Equal(t, before.Lent, before.Own)
			rejection := sendRequest(ctx, entryHosts[1], admission.ClassUrgent)
			assert.Check(t, rejection == nil, "request %d: %+v", i, rejection)
		}
		flooding.Wait()
	})
}

// Guards against rejecting a service's requests for minutes after a flood of callers that did not read their answers: the
// time for which these callers occupied slots was counted as run time.
func TestBlockedCallersDoNotExtendRunTime(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		entryHost := deployment{entryHosts: 1, workers: 4, quota: 1000, urgentStart: time.Second}.start(ctx)[0]
		assertAllRun(ctx, t, entryHost)
		var stalled sync.WaitGroup
		for range 20 {
			stalled.Go(func() { sendStalledRequest(ctx, entryHost, 2*callerTimeout) })
		}
		stalled.Wait()
		assertAllRun(ctx, t, entryHost)
	})
}
