package jobstore

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store/memtxn"
)

type opKind int

const (
	opAccept opKind = iota
	opCancel
	opLookup
)

type input struct {
	kind opKind
	id   string
}

// output is the result of a call. effect is whether the call has had, has not had or may yet have its effect.
type output struct {
	effect           effect
	found, cancelled bool
}

type effect int

const (
	effectYes effect = iota
	effectNo
	effectUnknown
)

// jobState is the model's state of one id.
type jobState struct{ job, cancelled bool }

func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byID := make(map[string][]porcupine.Operation)
			for _, op := range history {
				id := op.Input.(input).id
				byID[id] = append(byID[id], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byID {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{jobState{}} },
		Step: func(state, in, out any) []any {
			return step(state.(jobState), in.(input).kind, out.(output))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// step returns the states that may follow before, none if the output is impossible.
func step(before jobState, kind opKind, out output) []any {
	after := before
	switch kind {
	case opAccept:
		after.job = true
	case opCancel:
		after.cancelled = true
		if out.effect == effectYes && !out.found && before.job { // found may also be true because the store could not be read
			return nil
		}
	case opLookup:
		if out.effect == effectYes && (out.found != before.job || out.cancelled != (before.job && before.cancelled)) {
			return nil
		}
	}
	switch out.effect {
	case effectYes:
		return []any{after}
	case effectNo:
		return []any{before}
	case effectUnknown:
	}
	return []any{before, after}
}

// recorder records the history of calls. An undecided call may take effect at any later time, so it never returns in the
// history.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
}

func (r *recorder) do(client int, in input, call func() output) {
	from := time.Since(r.began).Nanoseconds()
	out := call()
	to := time.Since(r.began).Nanoseconds()
	if out.effect == effectUnknown {
		to = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: from, Output: out, Return: to})
}

func (s *Store) execute(ctx context.Context, in input) output {
	switch in.kind {
	case opAccept:
		err := s.Accept(ctx, job(in.id))
		return output{effect: effectOf(err, NotAccepted.Has(err))}
	case opCancel:
		cancel := s.Cancel
		if in.id == "1" || in.id == "3" { // these are cancelled as in a configuration with workspaces
			cancel = s.CancelOwn
		}
		known, err := cancel(ctx, ref(in.id), jobstate.Requester{})
		return output{effect: effectOf(err, !Undecided.Has(err)), found: known}
	case opLookup:
	}
	state, found, err := s.Lookup(ctx, testPool, in.id, jobstate.Requester{})
	return output{effect: effectOf(err, true), found: found, cancelled: state == pb.JobState_JOB_STATE_CANCELLED}
}

// effectOf returns the effect of a call. certain means that a call with this error has no effect.
func effectOf(err error, certain bool) effect {
	switch {
	case err == nil:
		return effectYes
	case certain:
		return effectNo
	}
	return effectUnknown
}

// TestHistoriesAreLinearizable checks the histories of callers at three hosts whose store loses, delays and rejects
// calls.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := runCallers(t, rand.New(rand.NewPCG(seed, 3)), 1+int(seed%4))
				if porcupine.CheckOperationsTimeout(model(), history, time.Minute) != porcupine.Ok {
					for _, op := range history {
						t.Logf("%d %v %v [%d %d]", op.ClientId, op.Input, op.Output, op.Call/1e6, op.Return/1e6)
					}
					t.Fail()
				}
			})
		})
	}
}

// runCallers returns the history of the callers' calls. The higher servedWeight is, the fewer calls fail.
func runCallers(t *testing.T, random *rand.Rand, servedWeight int) []porcupine.Operation {
	kv := memtxn.New()
	outcomes := append(slices.Repeat([]memtxn.Outcome{memtxn.Serve}, servedWeight),
		memtxn.Serve, memtxn.Refuse, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang)
	plan := rand.New(rand.NewPCG(random.Uint64(), 4)) // guarded by the store's lock
	kv.SetFaults(memtxn.Faults{
		Delay: time.Duration(random.IntN(100)) * time.Millisecond, LateBy: time.Duration(random.IntN(3000)) * time.Millisecond,
		Plan: func(string, memtxn.Call) memtxn.Outcome { return outcomes[plan.IntN(len(outcomes))] },
	})
	r := &recorder{began: time.Now()}
	var callers sync.WaitGroup
	for client := range 3 {
		s, stop := start(t, kv, fmt.Sprint("h", client))
		defer stop()
		own := rand.New(rand.NewPCG(random.Uint64(), 5))
		callers.Go(func() {
			for range 12 {
				in := input{kind: opKind(own.IntN(3)), id: fmt.Sprint(own.IntN(4))}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(500+own.IntN(3000))*time.Millisecond)
				r.do(client, in, func() output { return s.execute(ctx, in) })
				cancel()
				time.Sleep(time.Duration(own.IntN(300)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return r.ops
}

// TestCheckerCatchesRejectionOfUndecidedJobs tests the checker with a write that takes effect late: the history is legal
// with the true result, and illegal if the result is replaced by a rejection.
func TestCheckerCatchesRejectionOfUndecidedJobs(t *testing.T) {
	for reported, want := range map[effect]porcupine.CheckResult{effectUnknown: porcupine.Ok, effectNo: porcupine.Illegal} {
		synctest.Test(t, func(t *testing.T) {
			kv := memtxn.New()
			s, stop := start(t, kv, "h")
			defer stop()
			late := []memtxn.Outcome{memtxn.ApplyLate, memtxn.ApplyLate, memtxn.ApplyLate}
			kv.SetFaults(memtxn.Faults{LateBy: 5 * time.Second, Plan: planOnce(late...)})
			r := &recorder{began: time.Now()}
			r.do(0, input{opAccept, "1"}, func() output {
				out := s.execute(t.Context(), input{opAccept, "1"})
				if out.effect != effectUnknown {
					t.Errorf("write is not undecided: %v", out)
				}
				return output{effect: reported}
			})
			time.Sleep(6 * time.Second)
			r.do(0, input{opLookup, "1"}, func() output { return s.execute(t.Context(), input{opLookup, "1"}) })
			if got := porcupine.CheckOperationsTimeout(model(), r.ops, time.Minute); got != want {
				t.Errorf("reported effect %d: %s, want %s", reported, got, want)
			}
		})
	}
}
