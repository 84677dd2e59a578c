package workers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/wait"
)

const (
	// maxRequestBytes bounds a request's body.
	maxRequestBytes = 64 << 20
	// relistenInterval is the time between two attempts to listen after a reboot.
	relistenInterval = 50 * time.Millisecond
)

// worker is a simulated worker host.
type worker struct {
	name    string
	address string
	runTime RunTime
	records *records

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	thawed   chan struct{} // closed when the worker is not frozen
	listener net.Listener
	conns    map[net.Conn]bool
	lastID   string
	reboot   context.CancelFunc // ends the worker's current incarnation
	down     time.Duration      // of the reboot in progress
	active   sync.WaitGroup
}

func newWorker(ctx context.Context, host *pb.Host, options Options, index uint64, records *records) (*worker, error) {
	listener, err := listen(ctx, host.GetAddress())
	if err != nil {
		return nil, err
	}
	runTime, ok := options.RunTimes[host.GetPool()]
	if !ok {
		runTime = options.DefaultRunTime
	}
	thawed := make(chan struct{})
	close(thawed)
	return &worker{
		name:     host.GetName(),
		address:  listener.Addr().String(),
		runTime:  runTime,
		records:  records,
		random:   rand.New(rand.NewPCG(options.Seed, index)),
		thawed:   thawed,
		listener: listener,
		conns:    map[net.Conn]bool{},
	}, nil
}

// serve runs the worker, across reboots, until the context ends.
func (w *worker) serve(ctx context.Context) error {
	for {
		alive := w.up(ctx)
		w.accept(alive)
		w.active.Wait()
		if err := wait.For(ctx, w.downTime()); err != nil {
			return nil //nolint:nilerr // The end of the context is the regular end of serve.
		}
		if err := w.relisten(ctx); err != nil {
			return nil //nolint:nilerr // As above.
		}
	}
}

// up starts a new incarnation of the worker; the returned context ends with ctx or at the next reboot.
func (w *worker) up(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = 0
	ctx, cancel := context.WithCancel(ctx)
	listener := w.listener
	w.reboot = func() {
		_ = listener.Close() // first, so that a client whose request is cut finds the address closed
		cancel()
	}
	context.AfterFunc(ctx, w.closeAll)
	return ctx
}

// closeAll closes the listener and all connections.
func (w *worker) closeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// startReboot takes the worker down for a time.
func (w *worker) startReboot(down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
	if w.reboot != nil {
		w.reboot()
	}
}

func (w *worker) downTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *worker) relisten(ctx context.Context) error {
	for {
		listener, err := listen(ctx, w.address)
		if err == nil {
			w.mu.Lock()
			w.listener = listener
			w.mu.Unlock()
			return nil
		}
		if err := wait.For(ctx, relistenInterval); err != nil {
			return err
		}
	}
}

// accept accepts connections until the listener is closed.
func (w *worker) accept(alive context.Context) {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		if alive.Err() != nil {
			_ = conn.Close()
		}
		w.active.Go(func() { w.serveConn(alive, conn) })
	}
}

// serveConn answers the requests of one connection.
func (w *worker) serveConn(alive context.Context, conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if err := w.run(alive, conn, reader, request); err != nil {
			return
		}
	}
}

var errClose = errors.New("connection is to be closed")

// run runs one request; an error closes the connection.
func (w *worker) run(alive context.Context, conn net.Conn, reader *bufio.Reader, request *http.Request) error {
	if err := w.waitThawed(alive); err != nil {
		return err
	}
	faults, lastID := w.drawFaults(request)
	record := w.records.begin(Record{
		RequestID: request.Header.Get(requestIDHeader),
		Key:       request.Header.Get("Idempotency-Key"),
		Host:      w.name,
		Pool:      request.Header.Get("Agateturn-Pool"),
		Service:   request.Header.Get("Agateturn-Service"),
		Start:     time.Now(),
	})
	err := w.runRecorded(alive, &exchange{
		conn: conn, reader: reader, request: request, faults: faults, lastID: lastID, worker: w.name,
		free: func(complete bool) { w.records.free(record, complete) },
	}, record)
	w.records.end(record, err == nil, alive.Err() != nil)
	if err == nil && request.Close {
		return errClose
	}
	return err
}

func (w *worker) runRecorded(alive context.Context, ex *exchange, record *Record) error {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, ex.request.Body, maxRequestBytes)); err != nil {
		return err
	}
	w.records.update(record, func(r *Record) { r.Ran = true })
	if ex.faults.CloseAfterRead {
		return errClose
	}
	if !ex.faults.FailFast {
		if err := wait.For(alive, w.drawRunTime(ex.request)); err != nil {
			return err
		}
	}
	return ex.answer(alive)
}

// waitThawed waits until the worker is not frozen.
func (w *worker) waitThawed(alive context.Context) error {
	w.mu.Lock()
	thawed := w.thawed
	w.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-alive.Done():
		return alive.Err()
	}
}

// setFaults replaces the worker's faults.
func (w *worker) setFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Frozen && !faults.Frozen {
		close(w.thawed)
	}
	if !w.faults.Frozen && faults.Frozen {
		w.thawed = make(chan struct{})
	}
	w.faults = faults
}

// drawFaults returns the faults to apply to one request, and the id of the previous request.
func (w *worker) drawFaults(request *http.Request) (Faults, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lastID := w.lastID
	w.lastID = request.Header.Get(requestIDHeader)
	if w.faults.Share > 0 && w.random.Float64() >= w.faults.Share {
		return Faults{}, lastID
	}
	return w.faults, lastID
}

// drawRunTime returns the run time that the request asks for, or one drawn from the worker's distribution.
func (w *worker) drawRunTime(request *http.Request) time.Duration {
	if requested, err := time.ParseDuration(request.URL.Query().Get("run")); err == nil {
		return requested
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := math.Exp(w.runTime.Sigma * w.random.NormFloat64())
	return time.Duration(float64(w.runTime.Median) * factor)
}
