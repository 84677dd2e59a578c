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
	isStored  = pb.StoreResult_STORE_RESULT_STORED
	noSuchJob = pb.StoreResult_STORE_RESULT_UNKNOWN_JOB
	notStored = pb.StoreResult_STORE_RESULT_NOT_STORED
	undecided = pb.StoreResult_STORE_RESULT_UNDECIDED
)

// relays answer by address and count the questions.
type relays struct {
	order   []string
	answers map[string]pb.StoreResult
	asked   map[string]int
}

func (r *relays) Addresses() []string { return r.order }

func (r *relays) StoreJob(_ context.Context, address string, _ *pb.StoreJobRequest) pb.StoreResult {
	r.asked[address]++
	return r.answers[address]
}

func TestRelayedHandIn(t *testing.T) {
	cases := []struct {
		name         string
		own          error
		first, other pb.StoreResult
		status       int
		questions    int
	}{
		{name: "own store answers", first: isStored, status: 200},
		{name: "first peer stores", own: errNotAccepted, first: isStored, status: 200, questions: 1},
		{name: "second peer stores", own: errNotAccepted, first: notStored, other: isStored, status: 200, questions: 2},
		{name: "nobody stores", own: errNotAccepted, first: notStored, other: notStored, status: 503, questions: 2},
		{name: "own may have stored", own: errUndecided, first: notStored, other: notStored, status: 504, questions: 2},
		{name: "own may have stored, peer did", own: errUndecided, first: isStored, status: 200, questions: 1},
		{name: "a peer may have stored", own: errNotAccepted, first: undecided, other: notStored, status: 504, questions: 2},
		{name: "a peer is silent, the other stores", own: errNotAccepted, first: undecided, other: isStored, status: 200, questions: 2},
		{name: "no such job", own: errNotAccepted, first: noSuchJob, status: 410, questions: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			w.storeErr = c.own
			f := w.front()
			r := &relays{
				order:   []string{"1", "2", "3"},
				answers: map[string]pb.StoreResult{"1": c.first, "2": c.other, "3": isStored},
				asked:   map[string]int{},
			}
			f.relay = newRelay(r, NewMetrics(nil), slog.New(slog.DiscardHandler))
			assert.Equal(t, do(f, http.MethodPost, "/a/0001", "{}").Code, c.status)
			assert.Equal(t, r.asked["1"]+r.asked["2"]+r.asked["3"], c.questions)
		})
	}
}

// TestRelayStaysWithThePeerThatStores and rests when none does.
func TestRelayStaysWithThePeerThatStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &relays{order: []string{"1", "2"}, answers: map[string]pb.StoreResult{"1": notStored, "2": isStored}, asked: map[string]int{}}
		relay := newRelay(r, NewMetrics(nil), slog.New(slog.DiscardHandler))
		for range 10 {
			assert.Equal(t, relay.store(t.Context(), notStored, nil), isStored)
		}
		assert.DeepEqual(t, r.asked, map[string]int{"1": 1, "2": 10})
		r.answers["2"] = notStored
		for range 10 {
			assert.Equal(t, relay.store(t.Context(), notStored, nil), notStored)
		}
		assert.DeepEqual(t, r.asked, map[string]int{"1": 2, "2": 11})
		time.Sleep(relayRest)
		r.answers["1"] = isStored
		assert.Equal(t, relay.store(t.Context(), notStored, nil), isStored)
	})
}

// TestOperatorsAreToldOnce alternates own and relayed writes: one line for the trouble, one for its end.
func TestOperatorsAreToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		peers := &relays{order: []string{"1"}, answers: map[string]pb.StoreResult{"1": isStored}, asked: map[string]int{}}
		r := newRelay(peers, NewMetrics(nil), slog.New(slog.NewTextHandler(&log, nil)))
		for range 10 {
			r.store(t.Context(), notStored, nil)
			r.store(t.Context(), isStored, nil)
		}
		time.Sleep(relayCalm)
		r.store(t.Context(), isStored, nil)
		r.store(t.Context(), isStored, nil)
		assert.Equal(t, strings.Count(log.String(), "name=stored_by_peers"), 1)
		assert.Equal(t, strings.Count(log.String(), "name=stored_again"), 1)
	})
}
