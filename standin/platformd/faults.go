package platformd

import (
	"time"

	"github.com/agateturn/agateturn/store/memstore"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// StoreFaults configures the faults of the key-value service; see memstore.Faults. A lost answer or request closes the
// connection; a store that is down answers 503.
type StoreFaults struct {
	Down                 bool     `json:"down"`
	Delay                Duration `json:"delay"`
	LoseNextAnswers      int      `json:"lose_next_answers"`
	LoseNextRequests     int      `json:"lose_next_requests"`
	LoseNextLeaseAnswers int      `json:"lose_next_lease_answers"`
	KeepLeaseAnswers     int      `json:"keep_lease_answers"`
}

// StoreFaults returns the current faults of the store.
func (s *Server) StoreFaults() StoreFaults {
	faults := s.store.Faults()
	return StoreFaults{
		Down:                 faults.Down,
		Delay:                Duration(faults.Delay),
		LoseNextAnswers:      faults.LoseNextAnswers,
		LoseNextRequests:     faults.LoseNextRequests,
		LoseNextLeaseAnswers: faults.LoseNextLeaseAnswers,
		KeepLeaseAnswers:     faults.KeepLeaseAnswers,
	}
}

// SetStoreFaults replaces the store's faults.
func (s *Server) SetStoreFaults(faults StoreFaults) {
	s.store.SetFaults(memstore.Faults{
		Down:                 faults.Down,
		Delay:                time.Duration(faults.Delay),
		LoseNextAnswers:      faults.LoseNextAnswers,
		LoseNextRequests:     faults.LoseNextRequests,
		LoseNextLeaseAnswers: faults.LoseNextLeaseAnswers,
		KeepLeaseAnswers:     faults.KeepLeaseAnswers,
	})
}

// HostFaults configures the faults of the host list and the host actions.
type HostFaults struct {
	// Down rejects list requests and actions with 503.
	Down bool `json:"down"`
	// Lag is the age of the published list.
	Lag Duration `json:"lag"`
	// Duplicate lists each host twice: in its initial and in its published state.
	Duplicate bool `json:"duplicate"`
	// LoseNextAnswers is the number of next accepted actions, repeats included, that are not answered.
	LoseNextAnswers int `json:"lose_next_answers"`
}

// HostFaults returns the current faults of the host list and the host actions.
func (s *Server) HostFaults() HostFaults {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	return s.hosts.faults
}

// SetHostFaults replaces the faults of the host list and the host actions.
func (s *Server) SetHostFaults(faults HostFaults) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.faults = faults
}

// takeLostAnswer reports whether to lose the answer to an action, and decrements LoseNextAnswers if so.
func (l *hostList) takeLostAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseNextAnswers <= 0 {
		return false
	}
	l.faults.LoseNextAnswers--
	return true
}
