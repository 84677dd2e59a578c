package jobstore

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// progressHistory holds the newest progress of each job that was reported as durable. Progress is a counter in JobProgress.ended_ms.
type progressHistory struct {
	t       *testing.T
	mu      sync.Mutex
	durable map[string]int64
}

func (h *progressHistory) load(ctx context.Context, s *Store) map[string]int64 {
	counts := make(map[string]int64)
	h.mu.Lock()
	durable := maps.Clone(h.durable)
	h.mu.Unlock()
	snap, _, err := s.Load(ctx, testPool)
	for err != nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		snap, _, err = s.Load(ctx, testPool)
	}
	for _, p := range snap.Progress {
		counts[p.GetId()] = p.GetEndedMs()
	}
	for id, n := range durable {
		assert.Check(h.t, err != nil || counts[id] >= n, "job %s is at %d, and was durable at %d", id, counts[id], n)
	}
	return counts
}

// recordTerm loads the pool and records progress of random jobs until ctx ends or the store rejects the fence.
func (h *progressHistory) recordTerm(ctx context.Context, s *Store, fence uint64, random *rand.Rand) {
	counts := h.load(ctx, s)
	for ctx.Err() == nil {
		var batch []*pb.JobProgress
		for i := range 4 {
			if id := fmt.Sprint(i); random.IntN(2) == 0 {
				counts[id]++
				batch = append(batch, &pb.JobProgress{Id: id, EndedMs: counts[id]})
			}
		}
		err := s.Record(ctx, testPool, fence, batch)
		for err != nil && ctx.Err() == nil && !Fenced.Has(err) && random.IntN(4) > 0 { // else newer progress takes its place
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			err = s.Record(ctx, testPool, fence, batch)
		}
		if Fenced.Has(err) {
			return
		}
		if err == nil {
			h.mu.Lock()
			for _, p := range batch {
				h.durable[p.GetId()] = max(h.durable[p.GetId()], p.GetEndedMs())
			}
			h.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// Guards against an older record of a job's progress that replaces one that was reported as durable: two hosts own the pool several times
// each, in one process, and begin a term before the calls of the last one have ended.
func TestDurableProgressIsNeverReplacedByOlder(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) { simulateTerms(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func simulateTerms(t *testing.T, random *rand.Rand) {
	h := &progressHistory{t: t, durable: make(map[string]int64)}
	kv := memtxn.New()
	var hosts []*Store
	for i := range 2 {
		hosts = append(hosts, New(kv.Client(fmt.Sprint("h", i)), time.Now, slog.New(slog.DiscardHandler), Options{}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var terms sync.WaitGroup
	for range 12 {
		kv.SetFaults(randomCallFaults(random))
		fence, err := kv.Client("elector").Commit(ctx, store.Transaction{Puts: []store.Put{{Key: jobkeys.Owner(testPool)}}})
		assert.NilError(t, err)
		host, turn := hosts[random.IntN(2)], rand.New(rand.NewPCG(random.Uint64(), 2))
		term, end := context.WithCancel(ctx)
		terms.Go(func() { h.recordTerm(term, host, fence, turn) })
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			end() // the other terms go on until the store rejects them
		}
		defer end()
	}
	kv.SetFaults(memtxn.Faults{})
	time.Sleep(10 * time.Second)
	cancel()
	terms.Wait()
	changes, _, err := kv.Client("elector").Watch(t.Context(), jobkeys.ProgressPrefix(testPool), 1, 0)
	assert.NilError(t, err)
	written := make(map[string]int64)
	for _, change := range changes {
		p := &pb.JobProgress{}
		assert.NilError(t, proto.Unmarshal(change.Item.Data, p))
		assert.Assert(t, p.GetEndedMs() >= written[p.GetId()], "%d replaces %d", p.GetEndedMs(), written[p.GetId()])
		written[p.GetId()] = p.GetEndedMs()
	}
	assert.Assert(t, len(written) > 0)
}

// randomCallFaults returns faults of the calls of all clients but the elector.
func randomCallFaults(random *rand.Rand) memtxn.Faults {
	outcomes := []memtxn.Outcome{
		memtxn.Serve, memtxn.Serve, memtxn.Refuse, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang,
	}
	plan, share := rand.New(rand.NewPCG(random.Uint64(), 3)), 1+random.IntN(len(outcomes)) // plan is guarded by the store's lock
	return memtxn.Faults{
		Delay: time.Duration(random.IntN(600)) * time.Millisecond, LateBy: time.Duration(random.IntN(6000)) * time.Millisecond,
		OmitAbsent: random.IntN(2) == 0,
		Plan: func(client string, _ memtxn.Call) memtxn.Outcome {
			if client == "elector" {
				return memtxn.Serve
			}
			return outcomes[plan.IntN(share)]
		},
	}
}
