package platformd

import (
	"time"

	"github.com/agateturn/agateturn/store/memstore"
)

// Duration is a time.Duration that is text such as "1.5s" in JSON.
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

// StoreFaults says how the key-value service misbehaves; see memstore.Faults. A lost answer or request is a cut
// connection, a store that is down answers 503.
type StoreFaults struct {
	Down                 bool     `json:"down"`
	Delay                Duration `json:"delay"`
	LoseNextAnswers      int      `json:"lose_next_answers"`
	LoseNextRequests     int      `json:"lose_next_requests"`
	LoseNextLeaseAnswers int      `json:"lose_next_lease_answers"`
	KeepLeaseAnswers     int      `json:"keep_lease_answers"`
}

// StoreFaults returns the store's faults in force.
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

// HostFaults says how the host list and the host actions misbehave.
type HostFaults struct {
	// Down refuses the list and the actions with 503.
	Down bool `json:"down"`
	// Lag is how old the published list is.
	Lag Duration `json:"lag"`
	// Duplicate lists each host twice: as it was at the start and as it is.
	Duplicate bool `json:"duplicate"`
	// LoseNextAnswers is how many further actions are taken, or known to be taken, and not answered.
	LoseNextAnswers int `json:"lose_next_answers"`
}

// HostFaults returns the faults of the host list and the host actions in force.
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

// losesAnswer tells whether the answer to an action is lost, and uses up one loss.
func (l *hostList) losesAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseNextAnswers <= 0 {
		return false
	}
	l.faults.LoseNextAnswers--
	return true
}
