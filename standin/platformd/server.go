// Package platformd simulates the platform: its key-value service, its host list and its host actions.
//
// It is used by demos and tests. An admin API under /admin sets faults and returns counters; Server documents the paths.
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
	// DefaultRebootTime is the default duration of a reboot.
	DefaultRebootTime = 3 * time.Second

	maxBodyBytes = 2 << 20
)

// Config configures a Server.
type Config struct {
	// Hosts is the initial host list. An empty BootID is generated.
	Hosts []hostlist.Host
	// ListLag is the age of the published host list.
	ListLag time.Duration
	// RebootTime is the time for which a rebooted host is gone; 0 means DefaultRebootTime.
	RebootTime time.Duration
	// WorkerAdmin is the address (http://ip:port) of the admin API of the stand-in of the workers, which is notified of each
	// reboot; empty means none.
	WorkerAdmin string
}

// Server serves the following paths. It is safe for concurrent use.
//
//	/v1/kv/KEY, /v1/session/...       the key-value service
//	GET  /v1/hosts                    the host list, as old as its lag
//	POST /v1/hosts/NAME/reboot        reboots the host, once per operation id
//	POST /v1/hosts/NAME/checkpoint    checkpoints the host's tasks, once per operation id
//	GET, PUT /admin/store             StoreFaults; a PUT resets the fields that it omits
//	GET, PUT /admin/list              HostFaults; a PUT resets the fields that it omits
//	GET  /admin/hosts                 the host list without lag
//	PUT  /admin/hosts/NAME            changes or adds a host (hostlist.Host)
//	GET  /admin/counters              Counters
//	POST /admin/counters/reset        resets the counters to zero
//	POST /admin/sessions/expire       expires every session
type Server struct {
	store *memstore.Store
	mux   *http.ServeMux
	hosts *hostList
	// background tracks the calls and timers for which Close waits.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a Server. The caller must call Close when done.
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

// Store returns the underlying store, for tests that inspect it or set its faults directly.
func (s *Server) Store() *memstore.Store { return s.store }

// Close cancels reboots in progress, waits for calls to the stand-in of the workers, and expires all sessions.
func (s *Server) Close() {
	s.cancel()
	s.background.Wait()
	s.store.ExpireSessions()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has gone
}

// readJSON decodes the body into value; on failure it answers with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
