package mover

import (
	"time"
)

// Sample is the load of one pool at one moment, summed over the entry hosts.
type Sample struct {
	// Queued and Running are requests, Idle is slots. Running and Idle together are the slots of the pool.
	Queued  int64
	Running int64
	Idle    int64
	// ArrivalsPerSecond is a moving mean of requests that came.
	ArrivalsPerSecond float64
	// RunTime is the learned mean run time of a request.
	RunTime time.Duration
	// Deadline is the usual deadline of a request; a queue that is worked off within it is no shortage.
	Deadline time.Duration
	// HostSlots is the slots of one host.
	HostSlots int64
}

// PoolLoad is a sample and what led to it.
type PoolLoad struct {
	Sample
	// OverloadedFor is for how long the pool has been short of hosts; 0 if it is not.
	OverloadedFor time.Duration
	// Waited is the cost of waiting since then, in host-seconds of shortage.
	Waited float64
	// BurstLength is how long such overloads usually last; 0 if none was seen to its end.
	BurstLength time.Duration
	// CalmFor is for how long at most half of the slots were needed; 0 if more are.
	CalmFor time.Duration
}

// needed is the number of slots that the load needs: those that the arrivals keep busy, and those that work off the
// queue within a deadline.
func (s Sample) needed() float64 {
	run := s.RunTime.Seconds()
	slots := max(s.ArrivalsPerSecond*run, float64(s.Running))
	if s.Deadline > 0 {
		slots += float64(s.Queued) * run / s.Deadline.Seconds()
	}
	return slots
}

// Shortage is the number of hosts that the pool lacks, with fractions; 0 or more.
func (s Sample) Shortage() float64 {
	if s.HostSlots <= 0 {
		return 0
	}
	return max(0, (s.needed()-float64(s.Running+s.Idle))/float64(s.HostSlots))
}

// share is the part of the pool's slots that would be needed with some hosts fewer.
func (s Sample) share(fewer int64) float64 {
	slots := s.Running + s.Idle - fewer*s.HostSlots
	if slots <= 0 {
		return 1
	}
	return s.needed() / float64(slots)
}
