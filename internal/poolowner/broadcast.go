package poolowner

import "sync"

// broadcast wakes all goroutines that wait for the next event. It is safe for concurrent use.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed by the next send.
func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *broadcast) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
