// Package jobfront serves the callers of job queues: hand-in, state, cancellation and the count of pending jobs.
//
// A caller's answer to a hand-in is sent when the job is stored. Owners of pools are asked for states first, since they
// know them best; the store decides whether there is such a job.
package jobfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/wait"
)

// Codec is the form of callers' messages.
type Codec interface {
	// DecodeJob returns an error that says what is wrong with the body.
	DecodeJob(body []byte) (*pb.JobSpec, error)
	EncodeState(state pb.JobState) []byte
	EncodePending(n int64) []byte
	// ValidJobID reports whether a caller may choose that id.
	ValidJobID(id string) bool
}

// Store holds the accepted jobs. Each method has a deadline of its own besides ctx.
type Store interface {
	// Accept returns nil once the job is stored, now or earlier under the same id. Options sort its errors.
	Accept(ctx context.Context, job *pb.JobRecord) error
	// Cancel returns nil once the cancellation is stored. known is false if there is no such job.
	Cancel(ctx context.Context, pool, id string) (known bool, err error)
	// Lookup is linearizable.
	Lookup(ctx context.Context, pool, id string) (state pb.JobState, known bool, err error)
}

// Owners answer for the pools that they own. An error means that the owner cannot be asked.
type Owners interface {
	// States returns one state for each id; UNSPECIFIED for a job that the owner does not know.
	States(ctx context.Context, pool string, ids []string) ([]pb.JobState, error)
	// Offer tells how long a new job would wait for the owner itself, 0 if that does not bind. ok is false without an answer.
	Offer(ctx context.Context, pool string, jobs []*pb.JobRecord, cancelled []string) (wait time.Duration, ok bool)
	Pending(ctx context.Context, pool, queue string) (int64, error)
}

// Tables holds the table of queues.
type Tables interface {
	// Table returns nil while there is none yet.
	Table() *queue.Table
	// Current reports whether the table was confirmed lately.
	Current() bool
	// StoreAge is the time since the store last answered.
	StoreAge() time.Duration
}

// Options are what a Front needs.
type Options struct {
	Codec  Codec
	Store  Store
	Owners Owners
	Tables Tables
	// IsNotAccepted tells the errors after which a job or cancellation is not stored and never will be. After any other
	// error it may be.
	IsNotAccepted func(error) bool
	// Relays may be nil.
	Relays Relays
	// Log may be nil.
	Log *slog.Logger
	// ContentType is that of the answers with a body.
	ContentType string
	// Metrics may be nil.
	Metrics *Metrics
	// StopNotice is how long new connections are still taken after BeginStop: the time in which readiness checks are noticed.
	StopNotice time.Duration
	// MaxConnections bounds the callers' connections held at once.
	MaxConnections int
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	options Options
	server  *http.Server
	offers  *offers
	relay   *relay
	breaker breaker
	pending *pendingCounts
	busy    *busyPools
	ended   *endedStates
	conns   *connections
	indexed atomic.Pointer[indexedTable]
	ready   atomic.Bool
	// told is the reason that the last readiness check was given; nil before the first.
	told atomic.Pointer[string]
	// stopBegan is nil until BeginStop.
	stopBegan atomic.Pointer[time.Time]
}

// New returns a front that is ready once it has a table.
func New(options Options) *Front {
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{
		options: options,
		relay:   newRelay(options.Relays, options.Metrics, options.Log),
		pending: newPendingCounts(options.Owners),
		busy:    newBusyPools(),
		ended:   newEndedStates(),
	}
	f.offers = newOffers(options.Owners, options.Metrics, f.busy)
	f.conns = newConnections(f.limits)
	f.server = newServer(f.Handler(), f.conns, options.Log)
	f.ready.Store(true)
	return f
}

// Run passes accepted jobs on to owners until ctx ends.
func (f *Front) Run(ctx context.Context) { f.offers.run(ctx) }

// Serve serves callers' connections until Shutdown; it returns nil then.
func (f *Front) Serve(listener *net.TCPListener) error {
	err := f.server.Serve(f.conns.listen(listener, f.options.MaxConnections))
	if f.conns.isDraining() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SetReady lets the readiness check pass or fail.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// BeginStop fails the readiness check and closes each connection with its next answer. Requests are served on.
func (f *Front) BeginStop() {
	now := time.Now()
	f.stopBegan.CompareAndSwap(nil, &now)
}

func (f *Front) stopping() bool { return f.stopBegan.Load() != nil }

// Shutdown waits for the rest of StopNotice, closes the listener, lets every request in progress finish and closes the
// connections. It returns ctx's error if that ends first; at least half of the time that ctx leaves is for the requests.
func (f *Front) Shutdown(ctx context.Context) error {
	f.BeginStop()
	f.awaitNotice(ctx)
	f.conns.drain(ctx)
	return f.server.Shutdown(ctx)
}

func (f *Front) awaitNotice(ctx context.Context) {
	left := f.options.StopNotice - time.Since(*f.stopBegan.Load())
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline)/2)
	}
	_ = wait.For(ctx, left)
}

// ReadyHandler answers the platform's readiness checks.
func (f *Front) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reason := f.notReady()
		f.tellReady(r.Context(), reason)
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// tellReady logs when the answer to readiness checks changes.
func (f *Front) tellReady(ctx context.Context, reason string) {
	before := f.told.Swap(&reason)
	switch {
	case before != nil && *before == reason:
	case reason == "":
		events.Emit(ctx, f.options.Log, events.Ready)
	default:
		events.Emit(ctx, f.options.Log, events.Unready, "reason", reason)
	}
}

// storeSilence is how long the store may be silent before new connections should go elsewhere. Connections that are open
// are served on.
const storeSilence = 10 * time.Second

func (f *Front) notReady() string {
	switch {
	case f.stopping():
		return "stopping"
	case !f.ready.Load():
		return "starting"
	case f.options.Tables.Table() == nil:
		return "no configuration yet"
	case f.options.Tables.StoreAge() > storeSilence:
		return "store silent"
	default:
		return ""
	}
}

// indexedTable is a table with its index.
type indexedTable struct {
	table *queue.Table
	index *queue.Index
}

// index is that of the table in force; nil if there is none yet.
func (f *Front) index() *queue.Index {
	table := f.options.Tables.Table()
	if table == nil {
		return nil
	}
	if known := f.indexed.Load(); known != nil && known.table == table {
		return known.index
	}
	made := &indexedTable{table: table, index: queue.NewIndex(table)}
	f.indexed.Store(made)
	return made.index
}

// limits are those in force; zero values are unset.
func (f *Front) limits() queue.Limits {
	if table := f.options.Tables.Table(); table != nil {
		return table.Limits
	}
	return queue.Limits{}
}
