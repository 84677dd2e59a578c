package jobcallers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/wait"
)

const (
	maxAttempts    = 8
	attemptTimeout = 3 * time.Second
	retryInterval  = 250 * time.Millisecond
	pollInterval   = 500 * time.Millisecond
	maxAnswerBytes = 64 << 10
	noAnswer       = 0
	maxIdleConns   = 16
	jitterPercent  = 50
)

// caller sends each request to a randomly chosen entry host.
type caller struct {
	entries []string
	client  *http.Client
}

func newCaller(entries []string) *caller {
	return &caller{entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// call makes one attempt and returns its status, or noAnswer if there was no answer.
func (c *caller) call(ctx context.Context, method string, p *planned, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry := c.entries[rand.IntN(len(c.entries))] //nolint:gosec // load balancing needs no secure random numbers
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+p.queue.Prefix+p.job.ID, bytes.NewReader(body))
	if err != nil {
		return noAnswer, nil
	}
	r.Host = p.queue.Host
	r.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		r.Header.Set("Api-Key", p.key)
	}
	r.Header.Set("Deadline-Ms", strconv.FormatInt(attemptTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return noAnswer, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswer, nil
	}
	return resp.StatusCode, answer
}

// outcome is the result of the submission of a job, as known to its caller.
type outcome int

const (
	accepted outcome = iota
	refused
	undecided
)

// submit repeats the submission until the job is accepted, at most maxAttempts times.
func (c *caller) submit(ctx context.Context, p *planned, h *jobplatform.History) outcome {
	body, err := json.Marshal(p.job.Body())
	if err != nil {
		return refused
	}
	result := refused
	for range maxAttempts {
		sent := time.Now()
		status, _ := c.call(ctx, http.MethodPost, p, body)
		if ctx.Err() == nil {
			h.Attempt(p.job.ID, sent, status, status == http.StatusOK)
		}
		switch {
		case status == http.StatusOK:
			return accepted
		case status == http.StatusUnauthorized || status == http.StatusConflict:
			h.ReportViolation("job %s: answered %d to the key of its workspace", p.job.ID, status)
		case !isDefinitelyRefused(status):
			result = undecided
		}
		if !pause(ctx, retryInterval) {
			return undecided
		}
	}
	return result
}

// isDefinitelyRefused reports whether a job that got this status is not stored and will not be stored later.
func isDefinitelyRefused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound
}

// cancel repeats the cancellation until it is acknowledged or ctx ends.
func (c *caller) cancel(ctx context.Context, p *planned) bool {
	for {
		if status, _ := c.call(ctx, http.MethodDelete, p, nil); status == http.StatusOK || status == http.StatusGone {
			return true
		}
		if !pause(ctx, retryInterval) {
			return false
		}
	}
}

// state returns the state of a job, or "" if it could not be read.
func (c *caller) state(ctx context.Context, p *planned, h *jobplatform.History) string {
	status, answer := c.call(ctx, http.MethodGet, p, nil)
	if status == http.StatusGone {
		h.ReportViolation("job %s was accepted and is not known", p.job.ID)
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return ""
	}
	return body.State
}

// awaitNonePending polls each entry host until it reports that no job of a queue is pending. It returns the time that
// took, and false if ctx ended first.
func (c *caller) awaitNonePending(ctx context.Context, q jobplatform.Queue, key string) (elapsed time.Duration, ok bool) {
	start := time.Now()
	for _, entry := range c.entries {
		single := &caller{entries: []string{entry}, client: c.client}
		for !single.reportsNonePending(ctx, q, key) {
			if !pause(ctx, retryInterval) {
				return time.Since(start), false
			}
		}
	}
	return time.Since(start), true
}

func (c *caller) reportsNonePending(ctx context.Context, q jobplatform.Queue, key string) bool {
	status, answer := c.call(ctx, http.MethodGet, &planned{queue: q, key: key}, nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	return status == http.StatusOK && json.Unmarshal(answer, &body) == nil && body.Pending != nil && *body.Pending == 0
}

// pause waits for d plus jitter. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	d += time.Duration(rand.Int64N(int64(d) * jitterPercent / 100)) //nolint:gosec // jitter needs no secure random numbers
	return wait.For(ctx, d) == nil
}
