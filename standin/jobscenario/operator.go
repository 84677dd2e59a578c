package jobscenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/wait"
)

const (
	probeInterval = 100 * time.Millisecond
	probeJob      = "00000000000000aa"
)

// operator writes versions of the configuration, each with one more queue, and probes which version each entry host
// applies.
type operator struct {
	o       Options
	p       *jobplatform.Platform
	mu      sync.Mutex
	version atomic.Int64
}

func probePrefix(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// configure writes the next version of the configuration.
func (op *operator) configure(ctx context.Context) error {
	op.mu.Lock()
	defer op.mu.Unlock()
	next := op.version.Load() + 1
	queues := slices.Clone(op.o.Queues)
	for v := int64(2); v <= next; v++ {
		queues = append(queues, jobplatform.Queue{
			Name: fmt.Sprintf("version-%d", v), Host: op.o.Queues[0].Host, Prefix: probePrefix(v), Pool: op.o.Queues[0].Pool, Priority: 1,
			Public: true, // probes have no key
		})
	}
	if err := op.p.Configure(ctx, next, queues, op.o.Workspaces); err != nil {
		return err
	}
	op.p.History().Note("operator: version %d of the configuration is accepted", next)
	op.version.Store(next)
	return nil
}

// serve accepts changes at Options.Control and probes the entry hosts until stop is called.
func (op *operator) serve(ctx context.Context) (stop func(), err error) {
	if op.o.Control == "" {
		return func() {}, nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", op.o.Control)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", op.o.Control, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	server := &http.Server{
		Handler:           op.p.ServeControl(func(r *http.Request) error { return op.configure(r.Context()) }),
		ReadHeaderTimeout: readyTimeout,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	for _, entry := range op.o.Entries {
		running.Go(func() { op.probe(ctx, entry) })
	}
	return func() {
		cancel()
		_ = server.Close()
		running.Wait()
	}, nil
}

// probe polls, until ctx ends, which version of the configuration is in force on an entry host.
func (op *operator) probe(ctx context.Context, entry string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for wait.For(ctx, probeInterval) == nil {
		incarnation, newest := op.p.History().EntryIncarnation(entry), op.version.Load()
		if version, ok := op.inForce(ctx, client, entry, newest); ok {
			op.p.History().Configured(entry, incarnation, version)
		}
	}
}

// inForce returns the highest version whose queue an entry host knows; ok is false if the entry host does not answer.
func (op *operator) inForce(ctx context.Context, client *http.Client, entry string, newest int64) (version int64, ok bool) {
	for v := newest; v >= 2; v-- {
		switch op.probeStatus(ctx, client, entry, v) {
		case http.StatusGone, http.StatusOK:
			return v, true
		case http.StatusNotFound:
		default:
			return 0, false
		}
	}
	return 1, newest >= 1
}

func (op *operator) probeStatus(ctx context.Context, client *http.Client, entry string, version int64) int {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+probePrefix(version)+probeJob, nil)
	if err != nil {
		return 0
	}
	r.Host = op.o.Queues[0].Host
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode
}
