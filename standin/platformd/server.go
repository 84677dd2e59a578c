// Package platformd is a stand-in for the platform: its key-value service, its host list and its host actions.
//
// Demos and tests use it. An admin API under /admin brings faults and tells counts; see the table in Server's comment.
package platformd

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/store/memstore"
)

const (
	// DefaultRebootTime is how long a reboot takes.
	DefaultRebootTime = 3 * time.Second

	maxBodyBytes = 2 << 20
)

// Config says what the stand-in starts with.
type Config struct {
	// Hosts is the host list at the start. An empty BootID is filled in.
	Hosts []hostlist.Host
	// ListLag is how old the published host list is.
	ListLag time.Duration
	// RebootTime is how long a rebooted host is gone (0: DefaultRebootTime).
	RebootTime time.Duration
	// WorkerAdmin is the address (http://ip:port) of the workers' stand-in, told of each reboot; empty for none.
	WorkerAdmin string
}

// Server serves, and may be called concurrently:
//
//	/v1/kv/KEY, /v1/session/...       the key-value service
//	GET  /v1/hosts                    the host list, as old as its lag
//	POST /v1/hosts/NAME/reboot        reboots the host, once an operation id
//	POST /v1/hosts/NAME/checkpoint    checkpoints the host's tasks, once an operation id
//	GET, PUT /admin/store             StoreFaults; a PUT sets fields that it leaves out to none
//	GET, PUT /admin/list              HostFaults; likewise
//	GET  /admin/hosts                 the host list without lag
//	PUT  /admin/hosts/NAME            sets or adds a host (hostlist.Host)
//	GET  /admin/counters              Counters
//	POST /admin/counters/reset        sets the counters to zero
//	POST /admin/sessions/expire       lets every lease lapse
type Server struct {
	store *memstore.Store
	mux   *http.ServeMux
	hosts *hostList
	// background are the calls and timers that a stop waits for.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a stand-in. Call Close when done.
func New(config Config) *Server {
	if config.RebootTime <= 0 {
		config.RebootTime = DefaultRebootTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		store:  memstore.New(0),
		mux:    http.NewServeMux(),
		hosts:  newHostList(config),
		ctx:    ctx,
		cancel: cancel,
	}
	s.routeStore()
	s.routeHosts()
	s.routeAdmin()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// Store is the store that is served, for tests that look at it or bring faults directly.
func (s *Server) Store() *memstore.Store { return s.store }

// Close ends reboots in progress, waits for calls to the workers' stand-in and lets all leases lapse.
func (s *Server) Close() {
	s.cancel()
	s.background.Wait()
	s.store.ExpireSessions()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a caller that left misses its answer
}

// readJSON reads the body into value; it answers the caller and returns false if that fails.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
