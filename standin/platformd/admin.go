package platformd

import (
	"net/http"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/store/memstore"
)

// Counters is the answer to GET /admin/counters.
type Counters struct {
	Store memstore.Counters `json:"store"`
	// Reboots and Checkpoints count the executed actions; repeated operation ids are not counted.
	Reboots     int `json:"reboots"`
	Checkpoints int `json:"checkpoints"`
	// FailedWorkerCalls counts the failed calls to the stand-in of the workers.
	FailedWorkerCalls int `json:"failed_worker_calls"`
}

// Counters returns the counters, as GET /admin/counters does.
func (s *Server) Counters() Counters {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	return Counters{
		Store:             s.store.Counters(),
		Reboots:           s.hosts.reboots,
		Checkpoints:       s.hosts.checkpoints,
		FailedWorkerCalls: s.hosts.failedCalls,
	}
}

func (l *hostList) countFailedCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedCalls++
}

func (s *Server) routeAdmin() {
	s.mux.HandleFunc("GET /admin/store", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.StoreFaults())
	})
	s.mux.HandleFunc("PUT /admin/store", func(w http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if readJSON(w, r, &faults) {
			s.SetStoreFaults(faults)
		}
	})
	s.mux.HandleFunc("GET /admin/list", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.HostFaults())
	})
	s.mux.HandleFunc("PUT /admin/list", func(w http.ResponseWriter, r *http.Request) {
		var faults HostFaults
		if readJSON(w, r, &faults) {
			s.SetHostFaults(faults)
		}
	})
	s.mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, hostlist.HostList{Hosts: s.hosts.current()})
	})
	s.mux.HandleFunc("PUT /admin/hosts/{host}", s.putHost)
	s.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counters())
	})
	s.mux.HandleFunc("POST /admin/counters/reset", func(http.ResponseWriter, *http.Request) {
		s.store.ResetCounters()
	})
	s.mux.HandleFunc("POST /admin/sessions/expire", func(http.ResponseWriter, *http.Request) {
		s.store.ExpireSessions()
	})
}

// SetHost replaces or adds a host.
func (s *Server) SetHost(host hostlist.Host) { s.hosts.set(host) }

// putHost sets the fields of the host that the body contains, and keeps the others.
func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	host := s.hosts.find(r.PathValue("host"))
	if !readJSON(w, r, &host) {
		return
	}
	host.Name = r.PathValue("host")
	if err := host.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHost(host)
}

// find returns the host, or a new live worker of that name if it does not exist.
func (l *hostList) find(name string) hostlist.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host, ok := l.hosts[name]; ok {
		return host
	}
	return hostlist.Host{
		Name: name, Role: hostlist.RoleWorker, State: hostlist.StateLive, BootID: l.newBootLocked(name),
	}
}
