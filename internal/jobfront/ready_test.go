package jobfront

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReady(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*fakeBackend, *Front)
		status  int
	}{
		{name: "ready", arrange: func(*fakeBackend, *Front) {}, status: 200},
		{name: "no table", arrange: func(b *fakeBackend, _ *Front) { b.table = nil }, status: 503},
		{name: "store silent", arrange: func(b *fakeBackend, _ *Front) { b.stale = true }, status: 503},
		{name: "set not ready", arrange: func(_ *fakeBackend, f *Front) { f.SetReady(false) }, status: 503},
		{name: "stopping", arrange: func(_ *fakeBackend, f *Front) { f.BeginStop() }, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFakeBackend()
			f := b.front()
			c.arrange(b, f)
			got := httptest.NewRecorder()
			f.ReadyHandler().ServeHTTP(got, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/ready", nil))
			assert.Equal(t, got.Code, c.status)
		})
	}
}
