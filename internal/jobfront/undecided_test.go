package jobfront

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers who use up their attempts within milliseconds, while the store resets connections and every write ends
// without an answer: the entry host repeats the write within the caller's time.
func TestSubmissionsOutlastAStoreThatResets(t *testing.T) {
	cases := []struct {
		name, deadline string
		outage         time.Duration
		status         int
		within         time.Duration
	}{
		{name: "ends within the caller's time", deadline: "3000", outage: 1500 * time.Millisecond, status: http.StatusOK, within: 1700 * time.Millisecond},
		{name: "lasts longer", deadline: "1000", outage: 2 * time.Second, status: http.StatusGatewayTimeout, within: time.Second},
		{name: "lasts longer than the longest wait", outage: time.Minute, status: http.StatusGatewayTimeout, within: maxStoreWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFakeBackend()
				b.setStoreErr(errUndecided)
				f := b.front()
				time.AfterFunc(c.outage, func() { b.setStoreErr(nil) })
				began := time.Now()
				got := doWithin(f, c.deadline, http.MethodPost, "/a/0001", "{}")
				assert.Equal(t, got.Code, c.status)
				assert.Assert(t, time.Since(began) <= c.within, "%s", time.Since(began))
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
