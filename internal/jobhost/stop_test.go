package jobhost

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request in progress at a planned stop has the whole grace period minus a margin, even if the pools are handed over
// immediately.
func TestPlannedStopWaitsForRequestsInProgress(t *testing.T) {
	tc := startCluster(t)
	body := `{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":400}]}`
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", tc.callers["entry-1"])
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /tiles/00000000000000a1 HTTP/1.1\r\nHost: maps.example\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(body), body[:10])
	assert.NilError(t, err)
	stopAt := time.Now()
	go tc.stop["entry-1"]()
	time.Sleep(time.Until(stopAt.Add(grace - 2*stopMargin)))
	_, err = fmt.Fprint(conn, body[10:])
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	tc.waitForLog(t, "name=stopped", nil) // instead of stop_limit_reached, at which the process ends
}
