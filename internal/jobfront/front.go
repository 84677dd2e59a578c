// Package jobfront serves the callers of job queues: submission, state and cancellation of jobs, and the count of pending
// jobs.
//
// A submission is acknowledged once the job is stored. States are read from the pool's owner first, which has the latest
// ones; the store decides whether a job exists.
package jobfront

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/credentials"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/intake"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/wait"
)

// Codec encodes and decodes callers' messages.
type Codec interface {
	// DecodeJob returns an error whose text tells the caller what is wrong with the body.
	DecodeJob(body []byte) (*pb.JobSpec, error)
	EncodeState(state pb.JobState) []byte
	EncodePending(n int64) []byte
	// ValidJobID reports whether a caller may use the id for a job.
	ValidJobID(id string) bool
}

// Store holds the accepted jobs. Each method applies a deadline of its own besides that of ctx.
type Store interface {
	// Accept returns nil once the job is stored, by this call or an earlier one with the same id. Options.IsNotAccepted,
	// Options.IsOtherWorkspace and Options.IsStoredElsewhere classify its errors.
	Accept(ctx context.Context, job *pb.JobRecord) error
	// Cancel returns nil once the cancellation is stored. known is false if there is no such job.
	Cancel(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error)
	// CancelOwn is like Cancel, but known is false and nothing is stored if the job belongs to another workspace.
	CancelOwn(ctx context.Context, ref jobstate.Ref, by jobstate.Requester) (known bool, err error)
	// Locate returns the pool and the id under which the job at an address is stored. found is false if that is not recorded, and
	// the id may be empty.
	Locate(ctx context.Context, address string) (at jobstate.Ref, found bool, err error)
	// Lookup is linearizable. known is false for a job that by may not see.
	Lookup(ctx context.Context, pool, id string, by jobstate.Requester) (state pb.JobState, known bool, err error)
}

// Owners queries the owners of pools. An error means that the owner cannot be reached.
type Owners interface {
	// States returns one state for each id; UNSPECIFIED for a job that the owner does not know, or that does not belong to the
	// workspace.
	States(ctx context.Context, pool, workspace string, ids []string) ([]pb.JobState, error)
	// Offer notifies the owner of stored jobs and cancellations. wait is the delay of a new job that the owner's backlog
	// causes, 0 if there is none. ok is false if the owner did not answer.
	Offer(ctx context.Context, pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) (wait time.Duration, ok bool)
	Pending(ctx context.Context, pool, queue string) (int64, error)
}

// Tables provides the table of queues.
type Tables interface {
	// Table returns the current table; nil while there is none yet.
	Table() *queue.Table
	// Current reports whether the table was confirmed recently.
	Current() bool
	// ConfirmedRecently reports whether the store or a peer confirmed the table recently. ConfirmedAge is the time since then.
	// Both count time in suspension, and an answer that was received late is not recent.
	ConfirmedRecently() bool
	ConfirmedAge() time.Duration
	// StoreAge is the time since the store last answered.
	StoreAge() time.Duration
}

// Options configure a Front.
type Options struct {
	Codec  Codec
	Store  Store
	Owners Owners
	Tables Tables
	// IsNotAccepted reports whether an error means that the job or cancellation is not stored and never will be. After any
	// other error it may be stored.
	IsNotAccepted func(error) bool
	// IsOtherWorkspace reports whether an error means that the id belongs to a job of another workspace; nil means never.
	IsOtherWorkspace func(error) bool
	// IsStoredElsewhere reports whether an error means that the job is stored under another pool; nil means never.
	IsStoredElsewhere func(error) bool
	// KeyHeader is the request header with the caller's API key.
	KeyHeader string
	// MaxTableAge returns how long ago the table must have been confirmed at most for a key in it to be accepted for a
	// submission or a cancellation.
	MaxTableAge func() time.Duration
	// Relays may be nil.
	Relays Relays
	// Log may be nil.
	Log *slog.Logger
	// ContentType is the Content-Type of successful answers that have a body.
	ContentType string
	// Metrics may be nil.
	Metrics *Metrics
	// StopNotice is how long new connections are still accepted after BeginStop, so that load balancers notice the failing
	// readiness check first.
	StopNotice time.Duration
	// MaxConnections bounds the number of open connections of callers.
	MaxConnections int
	// HeaderBytes and BodyBytes bound the memory that the headers and the bodies of all requests use.
	HeaderBytes, BodyBytes int64
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	options     Options
	server      *http.Server
	offers      *offers
	relay       *relay
	breaker     breaker
	outage      outage
	pending     *pendingCounts
	overloaded  *overloadedPools
	finalStates *finalStateCache
	conns       *connections
	bodies      *bodies.Budget
	indexed     atomic.Pointer[indexedTable]
	// indexing is held while a new table is indexed, so that concurrent requests do not all do that.
	indexing sync.Mutex
	ready    atomic.Bool
	// loggedReadiness is the reason of the last answer to a readiness check, empty if ready; nil before the first check.
	loggedReadiness atomic.Pointer[string]
	// keysUnconfirmed means that the age of the table has been logged, and its end has not.
	keysUnconfirmed atomic.Bool
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
		options:     options,
		relay:       newRelay(options.Relays, options.Metrics, options.Log),
		pending:     newPendingCounts(options.Owners),
		overloaded:  newOverloadedPools(),
		finalStates: newFinalStateCache(),
	}
	f.offers = newOffers(options.Owners, options.Metrics, f.overloaded)
	f.conns = newConnections(f.limits)
	f.bodies = bodies.NewBudgetBeyond(cmp.Or(options.BodyBytes, defaultRequestBytes), smallBodyBytes)
	f.server = newServer(f.Handler(), f.conns, options.Log)
	f.ready.Store(true)
	return f
}

// Run notifies owners of stored jobs and cancellations until ctx ends.
func (f *Front) Run(ctx context.Context) { f.offers.run(ctx) }

// Serve serves callers' connections until Shutdown, and then returns nil.
func (f *Front) Serve(listener *net.TCPListener) error {
	err := f.server.Serve(f.conns.listen(listener, f.options.MaxConnections, f.limitHeaders))
	if f.conns.isDraining() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// limitHeaders returns a listener that bounds the memory of headers.
func (f *Front) limitHeaders(inner net.Listener) net.Listener {
	return intake.Listen(inner, f.server, intake.Options{
		Budget:         bodies.NewBudget(cmp.Or(f.options.HeaderBytes, defaultRequestBytes)),
		MaxHeaderBytes: f.maxHeaderBytes,
		Full:           overLimitResponse,
		TooLarge:       headerTooLargeResponse,
		RejectFull: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			f.send(w, reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonFull})
			f.options.Metrics.countAnswer(r.Method, http.StatusServiceUnavailable)
		},
	})
}

// maxHeaderBytes returns the size of the largest header that callers may send.
func (f *Front) maxHeaderBytes() int {
	if limit := f.limits().MaxHeaderBytes; limit > 0 {
		return min(limit, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// SetReady sets whether the readiness check may pass.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// BeginStop makes the readiness check fail and closes each connection after its next answer. Requests are still served.
func (f *Front) BeginStop() {
	now := time.Now()
	f.stopBegan.CompareAndSwap(nil, &now)
}

func (f *Front) stopping() bool { return f.stopBegan.Load() != nil }

// Shutdown waits for the rest of StopNotice, closes the listener, lets the requests in progress finish and closes the
// connections. It returns ctx's error if ctx ends first. The wait takes at most half of the time until ctx's deadline, so
// that the rest is left for the requests.
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
		f.logReadiness(r.Context(), reason)
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// logReadiness logs each change of the answer to readiness checks.
func (f *Front) logReadiness(ctx context.Context, reason string) {
	last := f.loggedReadiness.Swap(&reason)
	switch {
	case last != nil && *last == reason:
	case reason == "":
		events.Emit(ctx, f.options.Log, events.Ready)
	default:
		events.Emit(ctx, f.options.Log, events.Unready, "reason", reason)
	}
}

// maxStoreSilence is how long the store may be unreachable before the readiness check fails, so that new connections go
// to other hosts. Open connections are still served.
const maxStoreSilence = 10 * time.Second

func (f *Front) notReady() string {
	switch {
	case f.stopping():
		return "stopping"
	case !f.ready.Load():
		return "starting"
	case f.options.Tables.Table() == nil:
		return "no configuration yet"
	case f.options.Tables.StoreAge() > maxStoreSilence:
		return "store silent"
	default:
		return ""
	}
}

// indexedTable is a table with what requests look up in it.
type indexedTable struct {
	table *queue.Table
	index *queue.Index
	// keys is nil if the table has no list of workspaces. caps is keyed by workspace.
	keys *credentials.Directory
	caps map[string]queue.Cap
}

func newIndexedTable(t *queue.Table) *indexedTable {
	indexed := &indexedTable{table: t, index: queue.NewIndex(t)}
	if t.Workspaces != nil {
		indexed.keys = credentials.NewDirectory(t.Workspaces)
		indexed.caps = make(map[string]queue.Cap, len(t.Workspaces))
	}
	for i := range t.Workspaces {
		if _, known := indexed.caps[t.Workspaces[i].Name]; !known {
			indexed.caps[t.Workspaces[i].Name] = t.Workspaces[i].Cap
		}
	}
	return indexed
}

// currentTable returns the current table; nil if there is none yet.
func (f *Front) currentTable() *indexedTable {
	table := f.options.Tables.Table()
	if table == nil {
		return nil
	}
	if cached := f.indexed.Load(); cached != nil && cached.table == table {
		return cached
	}
	f.indexing.Lock()
	defer f.indexing.Unlock()
	// The newest table, as a request that waited may have read an older one.
	table = f.options.Tables.Table()
	if cached := f.indexed.Load(); cached != nil && cached.table == table {
		return cached
	}
	indexed := newIndexedTable(table)
	f.indexed.Store(indexed)
	return indexed
}

// limits returns the limits of the current table; zero values are unset.
func (f *Front) limits() queue.Limits {
	if table := f.options.Tables.Table(); table != nil {
		return table.Limits
	}
	return queue.Limits{}
}
