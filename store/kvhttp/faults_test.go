package kvhttp_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/platformd"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/kvhttp"
)

// fault is what happens to one write between the client and the service.
type fault int

const (
	faultNone fault = iota
	// faultCutBefore cuts the connection before the service sees the write, faultCutAfter after it took effect.
	faultCutBefore
	faultCutAfter
	// faultStatusAfter answers 500 after the write took effect; faultRefused answers 429 instead of writing.
	faultStatusAfter
	faultRefused
	// faultHalfAnswer cuts the answer in the middle.
	faultHalfAnswer
	// faultRace lets another writer swap the key right after the write.
	faultRace
	faultKinds
)

// faultyPath stands between client and service and counts the writes that arrive. One write at a time.
type faultyPath struct {
	service http.Handler

	mu       sync.Mutex
	next     fault
	arrivals int
}

// set makes the next writes meet the fault and returns how many arrived since the last set.
func (p *faultyPath) set(next fault) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	arrivals := p.arrivals
	p.next, p.arrivals = next, 0
	return arrivals
}

func (p *faultyPath) arrive() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	return p.next
}

func (p *faultyPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		p.service.ServeHTTP(w, r)
		return
	}
	met := p.arrive()
	if met == faultCutBefore {
		panic(http.ErrAbortHandler)
	}
	if met == faultRefused {
		http.Error(w, "", http.StatusTooManyRequests)
		return
	}
	recorded := httptest.NewRecorder()
	p.service.ServeHTTP(recorded, r)
	if met == faultRace && strings.HasPrefix(recorded.Body.String(), "true") {
		p.overwrite(r)
	}
	answer(w, met, recorded)
}

func answer(w http.ResponseWriter, met fault, recorded *httptest.ResponseRecorder) {
	switch met {
	case faultCutAfter:
		panic(http.ErrAbortHandler)
	case faultStatusAfter:
		http.Error(w, "", http.StatusInternalServerError)
	case faultHalfAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(recorded.Body.Len()))
		_, _ = w.Write(recorded.Body.Bytes()[:2])
	default:
		_, _ = w.Write(recorded.Body.Bytes())
	}
}

// overwrite swaps the key once more, as another operator would.
func (p *faultyPath) overwrite(r *http.Request) {
	read := httptest.NewRecorder()
	p.service.ServeHTTP(read, httptest.NewRequestWithContext(r.Context(), http.MethodGet, r.URL.Path, nil))
	query := "?cas=" + read.Header().Get("X-Consul-Index")
	body := strings.NewReader("\x00somebody else's")
	p.service.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(r.Context(), http.MethodPut, r.URL.Path+query, body))
}

// swapper is what the client and the naive client have in common.
type swapper func(ctx context.Context, key string, version uint64, data []byte) (uint64, error)

// naive swaps with net/http's shared client and takes each error for "nothing written".
func naive(address string) swapper {
	return func(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
		target := address + "/v1/kv/agateturn/" + key + "?cas=" + strconv.FormatUint(version, 10)
		body := append([]byte{0}, data...)
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, store.Unavailable.Wrap(err)
		}
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK {
			return 0, store.Unavailable.New("%s %v", response.Status, err)
		}
		if strings.TrimSpace(string(answer)) != "true" {
			return 0, store.Conflict.New("")
		}
		return version + 1, nil // the stand-in's next version
	}
}

// falseClaims swaps under random faults and counts the results that contradict what happened at the service.
func falseClaims(t *testing.T, makeSwapper func(address string, client *kvhttp.Store) swapper) int {
	t.Helper()
	platform := platformd.New(platformd.Config{})
	defer platform.Close()
	path := &faultyPath{service: platform}
	server := httptest.NewServer(path)
	defer server.Close()
	client := kvhttp.New(server.URL, "agateturn/", "", 5*time.Second)
	defer client.Close()
	swap := makeSwapper(server.URL, client)

	random := rand.New(rand.NewPCG(1, 1))
	claims := 0
	for i := range 300 {
		before, err := client.Get(t.Context(), "fleet")
		assert.NilError(t, err)
		known := before.Version
		if random.IntN(4) == 0 {
			known += 1000 // out of date: must conflict
		}
		met := fault(random.IntN(int(faultKinds)))
		path.set(met)
		index := platform.Store().Index()
		version, err := swap(t.Context(), "fleet", known, []byte("write "+strconv.Itoa(i)))
		wrote := platform.Store().Index() > index
		if arrivals := path.set(faultNone); contradicts(err, wrote) || arrivals > 1 {
			claims++
		}
		if err == nil {
			// A version that somebody overwrote must not pass as current; the own one must.
			_, err = client.CompareAndSwap(t.Context(), "fleet", version, []byte("next"))
			assert.Equal(t, store.Conflict.Has(err), met == faultRace, "%v", err)
		}
	}
	return claims
}

func contradicts(err error, wrote bool) bool {
	switch {
	case err == nil:
		return !wrote
	case store.Unknown.Has(err):
		return false
	case store.Unavailable.Has(err), store.Conflict.Has(err):
		return wrote
	default:
		return true
	}
}

// TestOutcomesOfWritesAreTrue holds the client and a naive one against the same faults.
func TestOutcomesOfWritesAreTrue(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	naiveClaims := falseClaims(t, func(address string, _ *kvhttp.Store) swapper { return naive(address) })
	assert.Assert(t, naiveClaims > 0)
	claims := falseClaims(t, func(_ string, client *kvhttp.Store) swapper { return client.CompareAndSwap })
	assert.Equal(t, claims, 0)
}

func TestOverwrittenVersionIsNeverCurrent(t *testing.T) {
	platform := platformd.New(platformd.Config{})
	defer platform.Close()
	server := httptest.NewServer(&faultyPath{service: platform, next: faultRace})
	defer server.Close()
	client := kvhttp.New(server.URL, "agateturn/", "", 5*time.Second)
	defer client.Close()
	version, err := client.CompareAndSwap(t.Context(), "fleet", 0, []byte("mine"))
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "fleet", version, []byte("mine again"))
	assert.Assert(t, store.Conflict.Has(err), "%v", err)
	found, err := client.Wait(t.Context(), "fleet", version)
	assert.NilError(t, err)
	assert.Equal(t, string(found.Data), "somebody else's")
}
