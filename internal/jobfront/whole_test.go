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
	// lateBy is how much later than their caller gave up some writes land.
	lateBy = 6 * time.Second
)

// fleet is some entry hosts with one store and no owner.
type fleet struct {
	kv     *memtxn.Store
	fronts []*Front
}

// peers are the other hosts of one.
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

func surelyNotStored(err error) bool {
	return !jobstore.Undecided.Has(err) && (jobstore.NotAccepted.Has(err) || store.Unavailable.Has(err))
}

func startFleet(ctx context.Context, isNotAccepted func(error) bool) *fleet {
	f := &fleet{kv: memtxn.New()}
	for i := range hosts {
		w := newWorld()
		w.ownerErr = errDown
		jobs := jobstore.New(f.kv.Client(strconv.Itoa(i)), time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		go func() { _ = jobs.Run(ctx) }()
		f.fronts = append(f.fronts, New(Options{
			Codec: codec{}, Store: jobs, Owners: w, Tables: w, Relays: peers{fleet: f, self: i}, IsNotAccepted: isNotAccepted,
		}))
	}
	return f
}

// trouble makes the store misbehave in a random way for each call, and turn away one host.
func (f *fleet) trouble(random *rand.Rand) {
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

// history is what callers were told about one job.
type history struct {
	mu             sync.Mutex
	accepted       bool
	attempts       int
	refused        int
	cancels        int
	cancelsRefused int
	wrong          []string
}

// call makes one request and checks what can be checked at once.
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
			h.refused++
		}
		if status == http.StatusOK && !f.holds(jobkeys.Job("p", id)) {
			h.wrong = append(h.wrong, "accepted and not stored")
		}
	case 2:
		acceptedBefore := h.isAccepted()
		status := do(front, http.MethodGet, "/a/"+id, "").Code
		if status == http.StatusGone && acceptedBefore {
			h.fault("an accepted job is told to be gone")
		}
	case 3:
		acceptedBefore := h.isAccepted()
		status := do(front, http.MethodDelete, "/a/"+id, "").Code
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cancels++
		if status == http.StatusServiceUnavailable {
			h.cancelsRefused++
		}
		if status == http.StatusGone && acceptedBefore {
			h.wrong = append(h.wrong, "an accepted job cannot be cancelled")
		}
		if status == http.StatusOK && !f.holds(jobkeys.Cancel("p", id)) {
			h.wrong = append(h.wrong, "cancelled and not stored")
		}
	}
}

func (h *history) isAccepted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted
}

func (h *history) fault(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong = append(h.wrong, what)
}

// play runs callers against a fleet in trouble and returns what was told wrongly.
func play(t *testing.T, seed uint64, isNotAccepted func(error) bool) (wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, isNotAccepted)
		histories := make([]history, jobIDs)
		var all sync.WaitGroup
		f.trouble(rand.New(rand.NewPCG(seed, callers)))
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
			if h.attempts > 0 && h.attempts == h.refused && f.holds(jobkeys.Job("p", id)) {
				h.wrong = append(h.wrong, "stored, and all attempts were refused")
			}
			if h.cancels > 0 && h.cancels == h.cancelsRefused && f.holds(jobkeys.Cancel("p", id)) {
				h.wrong = append(h.wrong, "cancelled, and all attempts were refused")
			}
			wrong = append(wrong, h.wrong...)
		}
		cancel()
		synctest.Wait()
	})
	return wrong
}

// TestAnswersAreTrue has callers, hosts and a store that refuses, hangs, loses answers and carries writes out late.
func TestAnswersAreTrue(t *testing.T) {
	for seed := range uint64(20) {
		assert.DeepEqual(t, play(t, seed, surelyNotStored), []string(nil))
	}
}

// TestRefusingWhatMayBeStoredIsFound checks the checker: a front that takes every error for a refusal must be found.
func TestRefusingWhatMayBeStoredIsFound(t *testing.T) {
	for seed := range uint64(20) {
		wrong := play(t, seed, func(error) bool { return true })
		if strings.Contains(strings.Join(wrong, "\n"), "all attempts were refused") {
			return
		}
	}
	t.Fatal("not found")
}
