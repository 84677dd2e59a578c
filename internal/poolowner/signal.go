package poolowner

import "sync"

// signal wakes all that wait for the next event of one kind. It is safe for concurrent use.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed by the next send.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *signal) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
