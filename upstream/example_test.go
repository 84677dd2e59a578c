package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/agateturn/agateturn/upstream"
)

// An entry host sends a request to a worker and reports what is known of its outcome.
func Example() {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.RequestIDHeader, r.Header.Get(upstream.RequestIDHeader))
		_, _ = w.Write([]byte("fee charged"))
	}))
	defer worker.Close()

	client := upstream.New(upstream.Options{})
	target := upstream.Target{Host: "worker-1", Address: strings.TrimPrefix(worker.URL, "http://")}
	resp, err := client.Do(context.Background(), target, upstream.Request{
		Method: http.MethodPost, Path: "/fees", RequestID: "r-1", Echo: true,
	})
	switch {
	case upstream.NotRun.Has(err):
		fmt.Println("send it again")
	case err != nil:
		fmt.Println("outcome unknown")
	default:
		caller := httptest.NewRecorder()
		outcome, _ := upstream.Relay(caller, resp)
		fmt.Println(outcome.GetKind(), outcome.GetStatus(), caller.Body)
	}
	// Output: OUTCOME_KIND_DONE 200 fee charged
}
