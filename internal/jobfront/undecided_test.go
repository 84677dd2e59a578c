package jobfront

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// submitWithin submits a job as a caller does that has the given time and few attempts. It returns the last status, and the
// longest part of the time left to an attempt that the answer took, in percent.
func submitWithin(f *Front, limit time.Duration) (status int, longest int64) {
	const attempts = 5
	end := time.Now().Add(limit)
	for range attempts {
		began, left := time.Now(), time.Until(end)
		if left <= 0 {
			break
		}
		status = doWithin(f, strconv.FormatInt(left.Milliseconds(), 10), http.MethodPost, "/a/0001", "{}").Code
		longest = max(longest, 100*time.Since(began).Milliseconds()/left.Milliseconds())
		if status == http.StatusOK {
			break
		}
	}
	return status, longest
}

// Guards against callers who use up their attempts within milliseconds, while the store resets connections and every write ends
// without an answer: the entry host repeats the write, but leaves the caller time for another entry host.
func TestSubmissionsOutlastAStoreThatResets(t *testing.T) {
	cases := []struct {
		name   string
		outage time.Duration
		status int
	}{
		{name: "shorter than an attempt", outage: 700 * time.Millisecond, status: http.StatusOK},
		{name: "several attempts long", outage: 1700 * time.Millisecond, status: http.StatusOK},
		{name: "longer than the caller's time", outage: time.Minute, status: http.StatusGatewayTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFakeBackend()
				b.setStoreErr(errUndecided)
				f := b.front()
				time.AfterFunc(c.outage, func() { b.setStoreErr(nil) })
				status, longest := submitWithin(f, 3*time.Second)
				assert.Equal(t, status, c.status)
				assert.Assert(t, longest <= 100/repeatDivisor, "%d%%", longest)
				assert.Equal(t, len(b.records) == 1, c.status == http.StatusOK)
			})
		})
	}
}

// Guards against a 503 for a write whose first attempt may have taken effect: a refusal of a later attempt decides nothing.
func TestRefusalAfterAnUndecidedWriteIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeBackend()
		b.setStoreErr(errUndecided)
		f := b.front()
		time.AfterFunc(100*time.Millisecond, func() { b.setStoreErr(errNotAccepted) })
		assert.Equal(t, doWithin(f, "1000", http.MethodPost, "/a/0001", "{}").Code, http.StatusGatewayTimeout)
	})
}

// Guards against callers whose few attempts are all rejected, as each is asked to return after a second, while the store rejects
// writes for longer than that takes.
func TestRejectedCallersOutlastAnOutage(t *testing.T) {
	const (
		outage   = 6400 * time.Millisecond
		attempts = 5
	)
	synctest.Test(t, func(t *testing.T) {
		b := newFakeBackend()
		b.setStoreErr(errNotAccepted)
		f := b.front()
		time.AfterFunc(outage, func() { b.setStoreErr(nil) })
		began := time.Now()
		var callers sync.WaitGroup
		for i := range 20 {
			id := fmt.Sprintf("%04d", i)
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				status := 0
				for range attempts {
					got := do(f, http.MethodPost, "/a/"+id, "{}")
					if status = got.Code; status == http.StatusOK {
						break
					}
					seconds, err := strconv.Atoi(got.Header().Get("Retry-After"))
					assert.NilError(t, err)
					time.Sleep(time.Duration(seconds) * time.Second)
				}
				assert.Check(t, status == http.StatusOK, "caller %s: %d after %s", id, status, time.Since(began))
				assert.Check(t, time.Since(began) <= outage+maxOutageRetry+retrySpread, "caller %s: %s", id, time.Since(began))
			})
		}
		callers.Wait()
	})
}

// Guards against a retry delay that counts an earlier outage, and one that exceeds its bound.
func TestRetryDelayOfAnOutage(t *testing.T) {
	var o outage
	now := time.Now()
	isShort := func() bool { return o.retryDelay() < retrySpread }
	assert.Assert(t, isShort())
	o.record(now, false)
	assert.Assert(t, isShort())
	o.record(now.Add(3*time.Second), false)
	assert.Assert(t, o.retryDelay() >= 1500*time.Millisecond)
	o.record(now.Add(4*time.Second), true)
	o.record(now.Add(5*time.Second), false)
	assert.Assert(t, isShort())
	o.record(now.Add(5*time.Second+2*maxFailureGap), false)
	assert.Assert(t, isShort())
	for i := range 60 {
		o.record(now.Add(time.Minute+time.Duration(i)*time.Second), false)
	}
	assert.Assert(t, o.retryDelay() <= maxOutageRetry+retrySpread)
}
