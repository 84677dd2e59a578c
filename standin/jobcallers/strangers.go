package jobcallers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// strangerInterval is the time between two requests with unknown keys.
const strangerInterval = 300 * time.Millisecond

// unknownKeys are keys that no configuration contains. An empty one is not sent.
var unknownKeys = []string{"", "no-such-key", "key-0", "Bearer key-1"}

// sendUnknownKeys sends requests with unknown keys until ctx ends: submissions, and states, cancellations and counts of jobs that
// callers with keys submit. Each one that is served is a violation; a job that is cancelled or started by one is found by the
// other checks too.
func (l *load) sendUnknownKeys(ctx context.Context, jobs []planned) {
	for i := 0; pause(ctx, strangerInterval); i++ {
		p := jobs[rand.IntN(len(jobs))] //nolint:gosec // needs no secure random numbers
		p.key = unknownKeys[i%len(unknownKeys)]
		method := []string{http.MethodPost, http.MethodGet, http.MethodDelete, http.MethodGet}[i/len(unknownKeys)%4]
		var body []byte
		switch {
		case method == http.MethodPost:
			p.job.ID = fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // needs no secure random numbers
			body = []byte(`{"spec":"stranger","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}]}`)
		case i/len(unknownKeys)%4 == 3:
			p.job.ID = "" // the count of the queue
		}
		status, _ := l.c.call(ctx, method, &p, body)
		if status == noAnswer {
			continue
		}
		l.count(func(r *Report) { r.UnknownKeys++ })
		l.history.Note("%s %s%s with an unknown key, answered %d", method, p.queue.Prefix, p.job.ID, status)
		if served(status) {
			l.count(func(r *Report) { r.UnknownKeysServed++ })
			l.history.ReportViolation("%s %s%s was answered %d to an unknown key", method, p.queue.Prefix, p.job.ID, status)
		}
	}
}

// served reports whether a request with this answer got past the check of its key. A body that was cut is rejected before.
func served(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusBadRequest:
		return false
	default:
		return true
	}
}
