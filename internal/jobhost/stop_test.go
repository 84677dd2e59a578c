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

// A request that is under way at a planned stop has the whole grace but a margin, also once pools were handed over at once.
func TestRequestsHaveTheGraceOfAPlannedStop(t *testing.T) {
	r := startRig(t)
	body := `{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":400}]}`
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.callers["entry-1"])
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /tiles/00000000000000a1 HTTP/1.1\r\nHost: maps.example\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(body), body[:10])
	assert.NilError(t, err)
	begun := time.Now()
	go r.stop["entry-1"]()
	time.Sleep(time.Until(begun.Add(grace - 2*stopMargin)))
	_, err = fmt.Fprint(conn, body[10:])
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	r.await(t, "name=stopped", nil) // in place of stop_limit_reached, at which the process ends
}
