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
	attempts      = 8
	attemptLimit  = 3 * time.Second
	retryWait     = 250 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	maxAnswer     = 64 << 10
	noAnswer      = 0
	idleConns     = 16
	jitterPercent = 50
)

// caller speaks to entry hosts at random.
type caller struct {
	entries []string
	client  *http.Client
}

func newCaller(entries []string) *caller {
	return &caller{entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}}
}

// call makes one attempt and returns its status, noAnswer for none.
func (c *caller) call(ctx context.Context, method string, p *planned, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	entry := c.entries[rand.IntN(len(c.entries))] //nolint:gosec // any entry host will do
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+p.queue.Prefix+p.job.ID, bytes.NewReader(body))
	if err != nil {
		return noAnswer, nil
	}
	r.Host = p.queue.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(attemptLimit.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return noAnswer, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return noAnswer, nil
	}
	return resp.StatusCode, answer
}

// outcome is what a caller knows of a job that it handed in.
type outcome int

const (
	accepted outcome = iota
	refused
	undecided
)

// handIn repeats until the job is accepted, at most attempts times.
func (c *caller) handIn(ctx context.Context, p *planned, h *jobplatform.History) outcome {
	body, err := json.Marshal(p.job.Body())
	if err != nil {
		return refused
	}
	result := refused
	for range attempts {
		sent := time.Now()
		status, _ := c.call(ctx, http.MethodPost, p, body)
		if ctx.Err() == nil {
			h.Attempt(p.job.ID, sent, status, status == http.StatusOK)
		}
		switch {
		case status == http.StatusOK:
			return accepted
		case !surelyRefused(status):
			result = undecided
		}
		if !pause(ctx, retryWait) {
			return undecided
		}
	}
	return result
}

// surelyRefused tells whether an attempt was not stored and never will be.
func surelyRefused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound
}

// cancel repeats until the cancellation is acknowledged or ctx ends.
func (c *caller) cancel(ctx context.Context, p *planned) bool {
	for {
		if status, _ := c.call(ctx, http.MethodDelete, p, nil); status == http.StatusOK || status == http.StatusGone {
			return true
		}
		if !pause(ctx, retryWait) {
			return false
		}
	}
}

// state is empty if no entry host told it.
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

// nonePending asks each entry host until it tells that no job of a queue waits. It returns how long that took, and false
// if ctx ended first.
func (c *caller) nonePending(ctx context.Context, q jobplatform.Queue) (took time.Duration, ok bool) {
	begin := time.Now()
	for _, entry := range c.entries {
		one := &caller{entries: []string{entry}, client: c.client}
		for !one.tellsNone(ctx, q) {
			if !pause(ctx, retryWait) {
				return time.Since(begin), false
			}
		}
	}
	return time.Since(begin), true
}

func (c *caller) tellsNone(ctx context.Context, q jobplatform.Queue) bool {
	status, answer := c.call(ctx, http.MethodGet, &planned{queue: q}, nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	return status == http.StatusOK && json.Unmarshal(answer, &body) == nil && body.Pending != nil && *body.Pending == 0
}

// pause returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	d += time.Duration(rand.Int64N(int64(d) * jitterPercent / 100)) //nolint:gosec // spreads calls
	return wait.For(ctx, d) == nil
}
