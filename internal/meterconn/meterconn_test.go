package meterconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/meterconn"
)

func newMeter() meterconn.Meter {
	return meterconn.Meter{Sent: metrics.NewCounter(), Received: metrics.NewCounter()}
}

// Checks that both ends count the same bytes, and more than those of the bodies.
func TestBothEndsCountTheSame(t *testing.T) {
	serverSide, clientSide := newMeter(), newMeter()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.Listener = serverSide.Listener(server.Listener)
	server.Start()
	transport := &http.Transport{DialContext: clientSide.Dialer((&net.Dialer{}).DialContext)}
	body := make([]byte, 10_000)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, &io.LimitedReader{R: zeros{}, N: int64(len(body))})
	assert.NilError(t, err)
	response, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	transport.CloseIdleConnections()
	server.Close()
	assert.Equal(t, clientSide.Sent.Count(), serverSide.Received.Count())
	assert.Equal(t, clientSide.Received.Count(), serverSide.Sent.Count())
	assert.Assert(t, clientSide.Sent.Count() > int64(len(body)))
	assert.Assert(t, clientSide.Received.Count() > int64(len(body)))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func ExampleMeter_Dialer() {
	near, far := net.Pipe()
	meter := newMeter()
	dial := meter.Dialer(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, _ := dial(context.Background(), "", "")
	go func() { _, _ = io.ReadFull(far, make([]byte, 5)) }()
	_, _ = conn.Write([]byte("hello"))
	fmt.Println(meter.Sent.Count())
	// Output: 5
}
