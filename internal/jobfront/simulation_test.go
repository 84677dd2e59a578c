package jobfront

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	hosts   = 3
	jobIDs  = 60
	callers = 12
	// lateBy is how long after the call some writes take effect.
	lateBy = 6 * time.Second
)

// fleet is a number of entry hosts with one shared store and no reachable owner.
type fleet struct {
	kv     *memtxn.Store
	fronts []*Front
}

// peers are the other entry hosts, seen from the host with index self.
type peers struct {
	fleet *fleet
	self  int
}

func (p peers) Addresses() []string {
	return []string{strconv.Itoa((p.self + 1) % hosts), strconv.Itoa((p.self + 2) % hosts)}
}

func (p peers) StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	at, _ := strconv.Atoi(address)
	return p.fleet.fronts[at].StoreJob(ctx, req)
}

func isNotStored(err error) bool {
	return !jobstore.Undecided.Has(err) && (jobstore.NotAccepted.Has(err) || store.Unavailable.Has(err))
}

func startFleet(ctx context.Context, isNotAccepted func(error) bool) *fleet {
	f := &fleet{kv: memtxn.New()}
	for i := range hosts {
		b := newFakeBackend()
		b.ownerErr = errDown
		jobs := jobstore.New(f.kv.Client(strconv.Itoa(i)), time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		go func() { _ = jobs.Run(ctx) }()
		f.fronts = append(f.fronts, New(Options{
			Codec: codec{}, Store: jobs, Owners: b, Tables: b, Relays: peers{fleet: f, self: i}, IsNotAccepted: isNotAccepted,
		}))
	}
	return f
}

// injectFaults gives each call to the store a random outcome, and may cut one host off from it.
func (f *fleet) injectFaults(random *rand.Rand) {
	outcomes := []memtxn.Outcome{
		memtxn.Serve, memtxn.Serve, memtxn.Refuse, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang,
	}
	f.kv.SetFaults(memtxn.Faults{
		LateBy: lateBy,
		Delay:  time.Duration(random.IntN(20)) * time.Millisecond,
		Cut:    map[string]bool{strconv.Itoa(random.IntN(2 * hosts)): true},
		Plan:   func(string, memtxn.Call) memtxn.Outcome { return outcomes[random.IntN(len(outcomes))] },
	})
}

func (f *fleet) holds(key string) bool { return len(f.kv.Items(key)) > 0 }

// history summarises the answers to callers about one job, and the violations found in them.
type history struct {
	mu              sync.Mutex
	accepted        bool
	attempts        int
	rejected        int
	cancels         int
	cancelsRejected int
	violations      []string
}

// call makes one random request and checks its answer against earlier answers and the store.
func (f *fleet) call(h *history, random *rand.Rand, id string) {
	front := f.fronts[random.IntN(hosts)]
	switch random.IntN(4) {
	case 0, 1:
		status := do(front, http.MethodPost, "/a/"+id, "{}").Code
		h.mu.Lock()
		defer h.mu.Unlock()
		h.attempts++
		h.accepted = h.accepted || status == http.StatusOK
		if status == http.StatusServiceUnavailable {
			h.rejected++
		}
		if status == http.StatusOK && !f.holds(jobkeys.Job("p", id)) {
			h.violations = append(h.violations, "accepted but not stored")
		}
	case 2:
		acceptedBefore := h.isAccepted()
		status := do(front, http.MethodGet, "/a/"+id, "").Code
		if status == http.StatusGone && acceptedBefore {
			h.addViolation("accepted job was reported as gone")
		}
	case 3:
		acceptedBefore := h.isAccepted()
		status := do(front, http.MethodDelete, "/a/"+id, "").Code
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cancels++
		if status == http.StatusServiceUnavailable {
			h.cancelsRejected++
		}
		if status == http.StatusGone && acceptedBefore {
			h.violations = append(h.violations, "accepted job could not be cancelled")
		}
		if status == http.StatusOK && !f.holds(jobkeys.Cancel("p", id)) {
			h.violations = append(h.violations, "cancelled but not stored")
		}
	}
}

func (h *history) isAccepted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted
}

func (h *history) addViolation(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, what)
}

// simulate runs callers against a fleet under faults and returns the violations found in the answers.
func simulate(t *testing.T, seed uint64, isNotAccepted func(error) bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, isNotAccepted)
		histories := make([]history, jobIDs)
		var all sync.WaitGroup
		f.injectFaults(rand.New(rand.NewPCG(seed, callers)))
		for c := range callers {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			all.Go(func() {
				for range 40 {
					i := random.IntN(jobIDs)
					f.call(&histories[i], random, fmt.Sprintf("%04d", i))
					time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
				}
			})
		}
		all.Wait()
		time.Sleep(2 * lateBy)
		for i := range histories {
			h, id := &histories[i], fmt.Sprintf("%04d", i)
			if h.attempts > 0 && h.attempts == h.rejected && f.holds(jobkeys.Job("p", id)) {
				h.violations = append(h.violations, "stored, but all attempts were rejected")
			}
			if h.cancels > 0 && h.cancels == h.cancelsRejected && f.holds(jobkeys.Cancel("p", id)) {
				h.violations = append(h.violations, "cancelled, but all attempts were rejected")
			}
			violations = append(violations, h.violations...)
		}
		cancel()
		synctest.Wait()
	})
	return violations
}

// TestAnswersMatchTheStore runs callers and hosts against a store that rejects calls, hangs, loses answers and applies
// writes late.
func TestAnswersMatchTheStore(t *testing.T) {
	for seed := range uint64(20) {
		assert.DeepEqual(t, simulate(t, seed, isNotStored), []string(nil))
	}
}

// TestFindsRejectionOfUndecidedWrites tests the test: a front that treats every error as a rejection must cause
// violations.
func TestFindsRejectionOfUndecidedWrites(t *testing.T) {
	for seed := range uint64(20) {
		violations := simulate(t, seed, func(error) bool { return true })
		if strings.Contains(strings.Join(violations, "\n"), "all attempts were rejected") {
			return
		}
	}
	t.Fatal("no rejected write found that was stored")
}
