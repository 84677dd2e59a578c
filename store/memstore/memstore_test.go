package memstore_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call is the input of an operation on the key of the linearizability test.
type call struct {
	swap    bool
	version uint64
	data    string
}

// answer is the output of a call.
type answer struct {
	value   string
	version uint64
	err     error
}

// content is the state of the key in the models.
type content struct {
	data    string
	version uint64
}

// model is the behaviour of a key that store.KV guarantees; lostMayApply allows a lost swap to have taken effect.
func model(lostMayApply bool) porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{content{}} },
		Step: func(state, input, output any) []any {
			return step(state.(content), input.(call), output.(answer), lostMayApply)
		},
	}
	return nondeterministic.ToModel()
}

// step returns the possible states after an operation; there are none if its output contradicts the state.
func step(state content, in call, out answer, lostMayApply bool) []any {
	matches := in.version == state.version
	switch {
	case !in.swap:
		return stateIf(state, out.value == state.data && out.version == state.version)
	case store.Conflict.Has(out.err):
		return stateIf(state, !matches)
	case out.err == nil:
		if !matches || out.version <= state.version {
			return nil
		}
		return []any{content{in.data, out.version}}
	case lostMayApply && matches:
		// Each write gets the next version, since the test writes to one key only.
		return []any{state, content{in.data, state.version + 1}}
	default:
		return []any{state}
	}
}

func stateIf(state content, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// history runs clients that swap and read one key while answers are lost, and returns their operations.
func history(seed uint64) []porcupine.Operation {
	const clients, calls = 4, 12
	s := memstore.New(0)
	s.SetFaults(memstore.Faults{Delay: 4 * time.Millisecond})
	var clock atomic.Int64
	var mu sync.Mutex
	var operations []porcupine.Operation
	var running sync.WaitGroup
	for client := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		running.Go(func() {
			known := store.Value{}
			for i := range calls {
				if random.IntN(4) == 0 {
					s.SetFaults(memstore.Faults{
						Delay: 4 * time.Millisecond, LoseNextAnswers: random.IntN(2), LoseNextRequests: random.IntN(2),
					})
				}
				in := call{swap: random.IntN(2) == 0, version: known.Version, data: fmt.Sprint(client, i)}
				operation := porcupine.Operation{ClientId: client, Input: in, Call: clock.Add(1)}
				out := do(s, in)
				operation.Output, operation.Return = out, clock.Add(1)
				if store.Unknown.Has(out.err) {
					operation.Return = math.MaxInt64 // to the client, it may take effect at any later time
				}
				if out.err == nil {
					known.Version = out.version
				}
				mu.Lock()
				operations = append(operations, operation)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return operations
}

func do(s *memstore.Store, in call) answer {
	if in.swap {
		version, err := s.CompareAndSwap(context.Background(), "key", in.version, []byte(in.data))
		return answer{version: version, err: err}
	}
	value, err := s.Get(context.Background(), "key")
	return answer{value: string(value.Data), version: value.Version, err: err}
}

// Histories must be linearizable if a lost answer may mean either outcome. A baseline model that treats it as "not
// written" must contradict some histories, which shows that the check can fail.
func TestHistoriesAreLinearizable(t *testing.T) {
	baselineFailures := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			operations := history(seed)
			assert.Assert(t, porcupine.CheckOperations(model(true), operations), "seed %d", seed)
			if !porcupine.CheckOperations(model(false), operations) {
				baselineFailures++
			}
		})
	}
	assert.Assert(t, baselineFailures > 0)
}

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		changed := make(chan store.Value, 1)
		go func() {
			value, _ := s.Wait(ctx, "a", 0)
			changed <- value
		}()
		synctest.Wait()
		assert.Equal(t, s.Counters().Waiting, 1)
		_, err := s.CompareAndSwap(ctx, "b", 0, []byte("other key"))
		assert.NilError(t, err)
		version, err := s.CompareAndSwap(ctx, "a", 0, []byte("x"))
		assert.NilError(t, err)
		assert.DeepEqual(t, <-changed, store.Value{Data: []byte("x"), Version: version})

		start := time.Now()
		same, err := s.Wait(ctx, "a", version)
		assert.NilError(t, err)
		assert.Equal(t, same.Version, version)
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Equal(t, s.Counters().Total, memstore.Calls{Writes: 2, Watches: 2})
		_, err = s.CompareAndSwap(t.Context(), "a", version+1, []byte("a version yet to come"))
		assert.Assert(t, store.Conflict.Has(err), "%v", err)
	})
}

func TestOutageFailsWatchesAndCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(0)
		failed := make(chan error, 1)
		go func() {
			_, err := s.Wait(t.Context(), "a", 0)
			failed <- err
		}()
		synctest.Wait()
		s.SetFaults(memstore.Faults{Down: true})
		assert.Assert(t, store.Unavailable.Has(<-failed))
		_, err := s.CompareAndSwap(t.Context(), "a", 0, nil)
		assert.Assert(t, store.Unavailable.Has(err))
		_, err = s.Get(t.Context(), "a")
		assert.Assert(t, store.Unavailable.Has(err))
		_, err = s.Acquire(t.Context(), "a", "entry-1")
		assert.Assert(t, store.Unavailable.Has(err))
	})
}

func TestSlowSwapIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(0)
		s.SetFaults(memstore.Faults{Delay: 4 * time.Second})
		for _, timeout := range []time.Duration{time.Second, 3 * time.Second} {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			_, err := s.CompareAndSwap(ctx, "a", 0, []byte("x"))
			cancel()
			assert.Assert(t, store.Unknown.Has(err), "%v: %v", timeout, err)
		}
		s.SetFaults(memstore.Faults{})
		found, err := s.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(found.Data), "x") // the second swap took effect before its context was done
	})
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(10 * time.Second)
		first, err := s.Acquire(t.Context(), "controller", "entry-1")
		assert.NilError(t, err)
		_, err = s.Acquire(t.Context(), "controller", "entry-2")
		assert.Assert(t, store.Conflict.Has(err))
		assert.ErrorContains(t, err, "entry-1")
		time.Sleep(9 * time.Second)
		assert.NilError(t, first.Renew(t.Context()))
		time.Sleep(9 * time.Second)
		assert.NilError(t, first.Renew(t.Context()))
		time.Sleep(11 * time.Second)
		assert.Assert(t, store.LeaseLost.Has(first.Renew(t.Context())))
		second, err := s.Acquire(t.Context(), "controller", "entry-2")
		assert.NilError(t, err)
		assert.NilError(t, first.Release(t.Context())) // releasing an expired lease does not affect the next holder
		assert.NilError(t, second.Renew(t.Context()))
		assert.NilError(t, second.Release(t.Context()))
	})
}

func Example() {
	ctx := context.Background()
	s := memstore.New(0)
	s.SetFaults(memstore.Faults{LoseNextAnswers: 1})
	_, err := s.CompareAndSwap(ctx, "fleet", 0, []byte("revision 1"))
	found, _ := s.Get(ctx, "fleet")
	fmt.Println(store.Unknown.Has(err), string(found.Data))
	// Output: true revision 1
}
