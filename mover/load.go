package mover

import (
	"time"
)

// Sample is the load of one pool at one time, summed over the entry hosts.
type Sample struct {
	// Queued and Running count requests, Idle counts slots. Running and Idle together are the slots of the pool.
	Queued  int64
	Running int64
	Idle    int64
	// ArrivalsPerSecond is a moving average of the rate of arriving requests.
	ArrivalsPerSecond float64
	// RunTime is the expected run time of a request.
	RunTime time.Duration
	// Deadline is the usual deadline of a request; a queue that can be served within it is no shortage.
	Deadline time.Duration
	// HostSlots is the number of slots of one host.
	HostSlots int64
}

// PoolLoad is a sample with what the preceding samples showed.
type PoolLoad struct {
	Sample
	// OverloadedFor is how long the pool has been short of hosts; 0 if it is not.
	OverloadedFor time.Duration
	// Waited is the cost of waiting since the overload began, in host-seconds of shortage.
	Waited float64
	// BurstLength is the usual length of an overload; 0 if none was observed to its end.
	BurstLength time.Duration
	// CalmFor is how long the queue has been empty and at most half of the slots have been needed; 0 if this does not
	// hold now.
	CalmFor time.Duration
}

// neededSlots returns the slots that the arrivals or the running requests keep busy, whichever are more, plus those
// that serve the queue within the deadline.
func (s Sample) neededSlots() float64 {
	run := s.RunTime.Seconds()
	slots := max(s.ArrivalsPerSecond*run, float64(s.Running))
	if s.Deadline > 0 {
		slots += float64(s.Queued) * run / s.Deadline.Seconds()
	}
	return slots
}

// Shortage returns the number of hosts that the pool is short of, as a fraction; 0 or more.
func (s Sample) Shortage() float64 {
	if s.HostSlots <= 0 {
		return 0
	}
	return max(0, (s.neededSlots()-float64(s.Running+s.Idle))/float64(s.HostSlots))
}

// shareWithout returns the share of the pool's slots that would be needed with the given number of hosts fewer.
func (s Sample) shareWithout(fewer int64) float64 {
	slots := s.Running + s.Idle - fewer*s.HostSlots
	if slots <= 0 {
		return 1
	}
	return s.neededSlots() / float64(slots)
}
