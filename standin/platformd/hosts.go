package platformd

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/wait"
)

const workerCallTimeout = 5 * time.Second

// operation is a host action that was accepted under an operation id.
type operation struct {
	host, action string
}

// hostList holds the hosts and the history of the list, from which the lagging published list is read.
type hostList struct {
	config Config

	mu         sync.Mutex
	hosts      map[string]hostlist.Host
	history    []snapshot
	initial    []hostlist.Host
	faults     HostFaults
	operations map[string]operation
	boots      int
	reboots    int
	// checkpoints counts the executed checkpoints.
	checkpoints int
	// failedCalls counts the failed calls to the stand-in of the workers.
	failedCalls int
}

type snapshot struct {
	at    time.Time
	hosts []hostlist.Host
}

func newHostList(config Config) *hostList {
	l := &hostList{
		config:     config,
		hosts:      make(map[string]hostlist.Host),
		faults:     HostFaults{Lag: Duration(config.ListLag)},
		operations: make(map[string]operation),
	}
	for _, host := range config.Hosts {
		if host.BootID == "" {
			host.BootID = l.newBootLocked(host.Name)
		}
		l.hosts[host.Name] = host
	}
	l.initial = l.sortedLocked()
	l.history = []snapshot{{hosts: l.initial}}
	return l
}

func (l *hostList) newBootLocked(name string) string {
	l.boots++
	return fmt.Sprintf("boot-%s-%d", name, l.boots)
}

func (l *hostList) sortedLocked() []hostlist.Host {
	return slices.SortedFunc(maps.Values(l.hosts), func(a, b hostlist.Host) int { return cmp.Compare(a.Name, b.Name) })
}

// set replaces or adds a host.
func (l *hostList) set(host hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(host)
}

func (l *hostList) setLocked(host hostlist.Host) {
	l.hosts[host.Name] = host
	l.history = append(l.history, snapshot{at: time.Now(), hosts: l.sortedLocked()})
}

// current returns the hosts without lag.
func (l *hostList) current() []hostlist.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedLocked()
}

// published returns the list with its lag and faults, as clients of the platform see it.
func (l *hostList) published() []hostlist.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleAt := time.Now().Add(-time.Duration(l.faults.Lag))
	for len(l.history) > 1 && !l.history[1].at.After(visibleAt) {
		l.history = l.history[1:]
	}
	hosts := slices.Clone(l.history[0].hosts)
	if l.faults.Duplicate {
		hosts = append(slices.Clone(l.initial), hosts...)
	}
	return hosts
}

// register records an action under its operation id. It returns false if the id is already registered, and an error for
// an unknown host or an id that belongs to another action.
func (l *hostList) register(id string, requested operation) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.hosts[requested.host]; !ok {
		return false, fmt.Errorf("unknown host %q", requested.host)
	}
	if id == "" {
		return false, fmt.Errorf("operation_id is missing")
	}
	if registered, ok := l.operations[id]; ok {
		if registered != requested {
			return false, fmt.Errorf("operation_id %q belongs to a %s of %q", id, registered.action, registered.host)
		}
		return false, nil
	}
	l.operations[id] = requested
	return true, nil
}

// takeDown marks the host as gone and counts a reboot.
func (l *hostList) takeDown(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.hosts[name]
	host.State = hostlist.StateGone
	l.reboots++
	l.setLocked(host)
}

// bringUp marks the host as live, with a new boot id.
func (l *hostList) bringUp(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.hosts[name]
	host.State = hostlist.StateLive
	host.BootID = l.newBootLocked(name)
	l.setLocked(host)
}

func (s *Server) routeHosts() {
	s.mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		if s.HostFaults().Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, hostlist.HostList{Hosts: s.hosts.published()})
	})
	s.mux.HandleFunc("POST /v1/hosts/{host}/reboot", func(w http.ResponseWriter, r *http.Request) {
		s.act(w, r, "reboot", s.reboot)
	})
	s.mux.HandleFunc("POST /v1/hosts/{host}/checkpoint", func(w http.ResponseWriter, r *http.Request) {
		s.act(w, r, "checkpoint", s.checkpoint)
	})
}

// act runs the action unless its operation id is already registered.
func (s *Server) act(w http.ResponseWriter, r *http.Request, action string, run func(host string)) {
	if s.HostFaults().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	var order hostlist.Order
	if !readJSON(w, r, &order) {
		return
	}
	host := r.PathValue("host")
	isNew, err := s.hosts.register(order.OperationID, operation{host: host, action: action})
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if isNew {
		run(host)
	}
	if s.hosts.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) checkpoint(string) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.checkpoints++
}

// reboot takes the host down, notifies the stand-in of the workers and brings the host up after the reboot time.
func (s *Server) reboot(host string) {
	s.hosts.takeDown(host)
	s.background.Go(func() {
		s.notifyWorkers(host)
		if wait.For(s.ctx, s.hosts.config.RebootTime) == nil {
			s.hosts.bringUp(host)
		}
	})
}

// notifyWorkers makes the stand-in of the workers cut the host's connections. The host is listed as gone even if the call
// fails.
func (s *Server) notifyWorkers(host string) {
	if s.hosts.config.WorkerAdmin == "" {
		return
	}
	client := http.Client{Timeout: workerCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"host": {host}, "seconds": {strconv.FormatFloat(s.hosts.config.RebootTime.Seconds(), 'f', -1, 64)}}
	target := s.hosts.config.WorkerAdmin + "/admin/reboot?" + query.Encode()
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, target, nil)
	if err != nil {
		s.hosts.countFailedCall()
		return
	}
	response, err := client.Do(request)
	if err != nil {
		s.hosts.countFailedCall()
		return
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		s.hosts.countFailedCall()
	}
}
