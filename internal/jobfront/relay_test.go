package jobfront

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	stored    = pb.StoreResult_STORE_RESULT_STORED
	noSuchJob = pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
	notStored = pb.StoreResult_STORE_RESULT_NOT_STORED
	undecided = pb.StoreResult_STORE_RESULT_UNDECIDED
)

// relays returns a fixed answer for each address and counts the calls.
type relays struct {
	order   []string
	answers map[string]pb.StoreResult
	calls   map[string]int
}

func (r *relays) Addresses() []string { return r.order }

func (r *relays) StoreJob(_ context.Context, address string, _ *pb.StoreJobRequest) pb.StoreResult {
	r.calls[address]++
	return r.answers[address]
}

func TestRelayedSubmit(t *testing.T) {
	cases := []struct {
		name         string
		own          error
		first, other pb.StoreResult
		status       int
		wantCalls    int
	}{
		{name: "own write succeeds", first: stored, status: 200},
		{name: "first peer stores", own: errNotAccepted, first: stored, status: 200, wantCalls: 1},
		{name: "second peer stores", own: errNotAccepted, first: notStored, other: stored, status: 200, wantCalls: 2},
		{name: "no peer stores", own: errNotAccepted, first: notStored, other: notStored, status: 503, wantCalls: 2},
		{name: "own write undecided", own: errUndecided, first: notStored, other: notStored, status: 504, wantCalls: 2},
		{name: "own write undecided, peer stores", own: errUndecided, first: stored, status: 200, wantCalls: 1},
		{name: "peer undecided", own: errNotAccepted, first: undecided, other: notStored, status: 504, wantCalls: 2},
		{name: "one peer undecided, the other stores", own: errNotAccepted, first: undecided, other: stored, status: 200, wantCalls: 2},
		{name: "no such job", own: errNotAccepted, first: noSuchJob, status: 410, wantCalls: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFakeBackend()
			b.storeErr = c.own
			f := b.front()
			r := &relays{
				order:   []string{"1", "2", "3"},
				answers: map[string]pb.StoreResult{"1": c.first, "2": c.other, "3": stored},
				calls:   map[string]int{},
			}
			f.relay = newRelay(r, NewMetrics(nil), slog.New(slog.DiscardHandler))
			// The caller's time is too short for a second write.
			assert.Equal(t, doWithin(f, "150", http.MethodPost, "/a/0001", "{}").Code, c.status)
			assert.Equal(t, r.calls["1"]+r.calls["2"]+r.calls["3"], c.wantCalls)
		})
	}
}

// TestRelayPrefersThePeerThatStores checks that a write goes first to the peer that stored the last one, and that no peer
// is tried during the cooldown after all have failed.
func TestRelayPrefersThePeerThatStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &relays{order: []string{"1", "2"}, answers: map[string]pb.StoreResult{"1": notStored, "2": stored}, calls: map[string]int{}}
		relay := newRelay(r, NewMetrics(nil), slog.New(slog.DiscardHandler))
		for range 10 {
			assert.Equal(t, relay.store(t.Context(), notStored, nil), stored)
		}
		assert.DeepEqual(t, r.calls, map[string]int{"1": 1, "2": 10})
		r.answers["2"] = notStored
		for range 10 {
			assert.Equal(t, relay.store(t.Context(), notStored, nil), notStored)
		}
		assert.DeepEqual(t, r.calls, map[string]int{"1": 2, "2": 11})
		time.Sleep(relayCooldown)
		r.answers["1"] = stored
		assert.Equal(t, relay.store(t.Context(), notStored, nil), stored)
	})
}

// TestRelayUseIsLoggedOnce alternates own and relayed writes: the use of peers is logged once, and so is its end.
func TestRelayUseIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		peers := &relays{order: []string{"1"}, answers: map[string]pb.StoreResult{"1": stored}, calls: map[string]int{}}
		r := newRelay(peers, NewMetrics(nil), slog.New(slog.NewTextHandler(&log, nil)))
		for range 10 {
			r.store(t.Context(), notStored, nil)
			r.store(t.Context(), stored, nil)
		}
		time.Sleep(relayRecoveryTime)
		r.store(t.Context(), stored, nil)
		r.store(t.Context(), stored, nil)
		assert.Equal(t, strings.Count(log.String(), "name=stored_by_peers"), 1)
		assert.Equal(t, strings.Count(log.String(), "name=stored_again"), 1)
	})
}
