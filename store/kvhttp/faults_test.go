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

// fault is injected into a write between the client and the service.
type fault int

const (
	faultNone fault = iota
	// faultCutBefore closes the connection before the write reaches the service, faultCutAfter after it took effect.
	faultCutBefore
	faultCutAfter
	// faultStatusAfter answers 500 after the write took effect; faultRejected answers 429 and does not write.
	faultStatusAfter
	faultRejected
	// faultTruncated truncates the answer.
	faultTruncated
	// faultRace has another writer swap the key right after the write.
	faultRace
	faultKinds
)

// faultProxy forwards requests to the service, injects faults into writes and counts them. It serves one write at a time.
type faultProxy struct {
	service http.Handler

	mu     sync.Mutex
	next   fault
	writes int
}

// set injects the fault into all writes until the next call of set. It returns and resets the number of writes.
func (p *faultProxy) set(next fault) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	writes := p.writes
	p.next, p.writes = next, 0
	return writes
}

// nextFault counts a write and returns its fault.
func (p *faultProxy) nextFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	return p.next
}

func (p *faultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		p.service.ServeHTTP(w, r)
		return
	}
	injected := p.nextFault()
	if injected == faultCutBefore {
		panic(http.ErrAbortHandler)
	}
	if injected == faultRejected {
		http.Error(w, "", http.StatusTooManyRequests)
		return
	}
	recorded := httptest.NewRecorder()
	p.service.ServeHTTP(recorded, r)
	if injected == faultRace && strings.HasPrefix(recorded.Body.String(), "true") {
		p.overwrite(r)
	}
	answer(w, injected, recorded)
}

func answer(w http.ResponseWriter, injected fault, recorded *httptest.ResponseRecorder) {
	switch injected {
	case faultCutAfter:
		panic(http.ErrAbortHandler)
	case faultStatusAfter:
		http.Error(w, "", http.StatusInternalServerError)
	case faultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(recorded.Body.Len()))
		_, _ = w.Write(recorded.Body.Bytes()[:2])
	default:
		_, _ = w.Write(recorded.Body.Bytes())
	}
}

// overwrite swaps the key once more, as a concurrent operator would.
func (p *faultProxy) overwrite(r *http.Request) {
	read := httptest.NewRecorder()
	p.service.ServeHTTP(read, httptest.NewRequestWithContext(r.Context(), http.MethodGet, r.URL.Path, nil))
	query := "?cas=" + read.Header().Get("X-Consul-Index")
	body := strings.NewReader("\x00somebody else's")
	p.service.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(r.Context(), http.MethodPut, r.URL.Path+query, body))
}

// swapper is the method under test, of the client or of the baseline.
type swapper func(ctx context.Context, key string, version uint64, data []byte) (uint64, error)

// baseline swaps with net/http's default client and treats each error as "nothing written".
func baseline(address string) swapper {
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
		return version + 1, nil // the next version of the stand-in service
	}
}

// falseResults swaps under random faults. It returns the number of swaps whose result contradicts the actual effect at the
// service, or that were sent more than once.
func falseResults(t *testing.T, makeSwapper func(address string, client *kvhttp.Store) swapper) int {
	t.Helper()
	platform := platformd.New(platformd.Config{})
	defer platform.Close()
	proxy := &faultProxy{service: platform}
	server := httptest.NewServer(proxy)
	defer server.Close()
	client := kvhttp.New(server.URL, "agateturn/", "", 5*time.Second)
	defer client.Close()
	swap := makeSwapper(server.URL, client)

	random := rand.New(rand.NewPCG(1, 1))
	count := 0
	for i := range 300 {
		before, err := client.Get(t.Context(), "fleet")
		assert.NilError(t, err)
		expected := before.Version
		if random.IntN(4) == 0 {
			expected += 1000 // not the current version: must conflict
		}
		injected := fault(random.IntN(int(faultKinds)))
		proxy.set(injected)
		index := platform.Store().Index()
		version, err := swap(t.Context(), "fleet", expected, []byte("write "+strconv.Itoa(i)))
		wrote := platform.Store().Index() > index
		if writes := proxy.set(faultNone); contradicts(err, wrote) || writes > 1 {
			count++
		}
		if err == nil {
			// The returned version must be current, unless another writer has overwritten it.
			_, err = client.CompareAndSwap(t.Context(), "fleet", version, []byte("next"))
			assert.Equal(t, store.Conflict.Has(err), injected == faultRace, "%v", err)
		}
	}
	return count
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

// The result of a write must not contradict its effect at the service, whatever fault occurs on the way. The baseline
// fails this under the same faults, which shows that the check can fail.
func TestWriteResultsMatchEffects(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	baselineResults := falseResults(t, func(address string, _ *kvhttp.Store) swapper { return baseline(address) })
	assert.Assert(t, baselineResults > 0)
	results := falseResults(t, func(_ string, client *kvhttp.Store) swapper { return client.CompareAndSwap })
	assert.Equal(t, results, 0)
}

func TestOverwrittenVersionIsNeverCurrent(t *testing.T) {
	platform := platformd.New(platformd.Config{})
	defer platform.Close()
	server := httptest.NewServer(&faultProxy{service: platform, next: faultRace})
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
