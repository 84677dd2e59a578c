package scheduler

// sending is how many bytes of starts the owner can still send without a queue.
type sending struct {
	bounded bool
	room    int64
}

func (s *sending) spend(bytes int64) { s.room -= bytes }

// spent tells whether starts have to wait for answers to earlier ones. What is started at once may exceed the room.
func (s *sending) spent() bool { return s.bounded && s.room <= 0 }

// SetSendRoom bounds the starts of the next Step to about so many bytes. Without it there is no bound.
func (p *Pool) SetSendRoom(bytes int64) {
	freed := p.sending.spent() && bytes > 0
	p.sending = sending{bounded: true, room: bytes}
	p.place = p.place || freed && len(p.open) > 0
}
