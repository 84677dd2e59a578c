package proofs

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
)

// forgeryBound is the memory that an entry host may use under forged messages on the peers' listener: controlBytes and 8 MiB
// of messages, doubled because the garbage collector runs when the heap has doubled.
const forgeryBound = controlBytes + 2*8*mib

// forgers is the number of concurrent senders of forged messages.
const forgers = 8

// forgedHeartbeats returns heartbeats with invalid content that no member sends.
func (c *cluster) forgedHeartbeats(incarnation string) []*pb.Heartbeat {
	slots := &pb.SlotExchange{OwnersRevision: math.MaxUint64, Acknowledged: math.MaxUint64}
	usage := []*pb.TeamUsage{{Team: "orders", Running: math.MaxInt64}, {Team: "orders", Running: math.MinInt64}}
	demand := []*pb.PoolDemand{
		{Pool: "left", Queued: math.MaxInt64, Running: -1, Idle: math.MinInt64, ArrivalsPerSecond: math.Inf(1), OldestQueuedMs: math.MinInt64},
		{Pool: "right", ArrivalsPerSecond: math.NaN()},
		nil,
	}
	for i := range uint32(8) {
		for _, h := range c.config.GetHosts() {
			loan := &pb.Loan{Slot: &pb.SlotID{Host: h.GetName(), Index: i}, Loan: math.MaxUint64}
			slots.Lends = append(slots.Lends, loan, loan)
			slots.Borrowed = append(slots.Borrowed, loan, &pb.Loan{Slot: &pb.SlotID{Host: h.GetName(), Index: math.MaxUint32}})
		}
	}
	var health []*pb.HostHealth
	for _, h := range c.config.GetHosts() {
		health = append(health, &pb.HostHealth{Host: h.GetName(), Failed: math.MaxInt64, Succeeded: -1, Ejected: true})
	}
	forge := func(name, incarnation string) *pb.Heartbeat {
		return &pb.Heartbeat{
			Name: name, Incarnation: incarnation, Sequence: math.MaxUint64, FleetRevision: math.MaxUint64, ConfigGeneration: math.MaxUint64,
			Slots: slots, Demand: demand[:2], TeamUsage: usage, Health: health, Ready: true, StoreAgeMs: math.MinInt64,
			HeldHosts: []*pb.HeldHost{{Host: "w1", Requests: math.MaxInt64, OldestMs: math.MaxInt64}},
			Guests:    []*pb.Member{{Name: uuid.NewString(), Incarnation: uuid.NewString(), PeerAddress: "127.0.0.1:1"}, {}},
		}
	}
	return []*pb.Heartbeat{
		{},
		forge("entry-1", incarnation), // the listener's own name, with its own and another incarnation
		forge("entry-1", uuid.NewString()),
		forge("entry-2", uuid.NewString()), // a member's name
		forge(uuid.NewString(), uuid.NewString()),
		{Name: strings.Repeat("n", 250<<10), Incarnation: uuid.NewString()},
		{Name: strings.Repeat("n", mib), Incarnation: uuid.NewString()},
		{Name: "entry-2", Incarnation: strings.Repeat("i", 250<<10) + uuid.NewString()},
		{Name: "entry-2", Incarnation: strings.Repeat("i", mib) + uuid.NewString()},
	}
}

// Forged heartbeats have no effect: no slot is used twice, callers are served, memory is bounded, the members stay ready and
// a move completes. A sender that knows a member's incarnation cannot be distinguished from that member, because entry hosts
// trust their network.
func TestForgedHeartbeats(t *testing.T) {
	c := newCluster(t, 3)
	peer := agateturnv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+c.entries[1].at(7001))
	incarnation := c.status(1).Incarnation
	load := c.loadConfig(8*time.Second, 1, 2, 3)
	load.KeyedShare = 0
	report := c.startLoad(load)
	var group sync.WaitGroup
	for range forgers {
		group.Go(func() {
			for range 50 {
				for _, heartbeat := range c.forgedHeartbeats(incarnation) {
					_, _ = peer.Exchange(t.Context(), connect.NewRequest(heartbeat))
				}
				key := strings.Repeat("k", mib) + uuid.NewString()
				_, _ = peer.Claim(t.Context(), connect.NewRequest(&pb.ClaimRequest{Service: "left", Key: key, Attempt: key}))
				_, _ = peer.Finish(t.Context(), connect.NewRequest(&pb.FinishRequest{Service: "left", Key: key, Attempt: key}))
			}
		})
	}
	assert.Equal(t, c.move(1, "w1", "right"), http.StatusOK)
	c.await("w1 in its new pool", func() bool { return c.host(1, "w1").Pool == "right" })
	group.Wait()
	result := report()
	c.checkGuarantees(result, 1)
	assert.Equal(t, result.NotRun+result.NoAnswer+result.Unknown, 0)
	c.awaitReady(3)
	c.awaitSettled(3)
	assert.Equal(t, len(c.status(1).Members), 3)
	peak := c.peakBytes(1)
	t.Logf("peak %d MiB of %d", peak/mib, forgeryBound/mib)
	assert.Assert(t, peak <= forgeryBound, "%d MiB, the bound is %d", peak/mib, forgeryBound/mib)
}
