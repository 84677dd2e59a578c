// Package queue holds the table of job queues and pools that a configuration puts in force.
//
// It has no I/O. A Table is immutable and may be read concurrently.
package queue

import (
	"strings"
	"time"
)

// Advice describes a queue whose policy service decides which workers may run a step.
type Advice struct {
	// Decide is the time of one call, Each the time it takes longer for each worker named.
	Decide, Each time.Duration
	// Valid is how long a ticket may be used.
	Valid time.Duration
}

// Queue is where callers hand in jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue: equal host, longest prefix of the path.
	Host, Prefix string
	Pool         string
	// Priority 0 comes first and may preempt others.
	Priority int
	// MaxAttempts is how many failed runs of one task fail its job.
	MaxAttempts int
	// Stretch times the longest chain of work, plus TargetDuration, is the objective of a job.
	Stretch        float64
	TargetDuration time.Duration
	Timeout        time.Duration
	// Advice is nil for a queue without a policy.
	Advice *Advice
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name string
	// Spare pools hold hosts that are switched off.
	Spare bool
	// EnforcesCapacity means that workers refuse what does not fit.
	EnforcesCapacity bool
	// MaxConnections is how many connections one worker accepts.
	MaxConnections int
}

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration of queues.
type Table struct {
	// Version only grows in the lifetime of a process.
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
}

// Lookup returns the queue whose host equals host and whose prefix is the longest that path begins with.
func (t *Table) Lookup(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best, best != nil
}

// Named returns the queue of that name.
func (t *Table) Named(name string) (*Queue, bool) {
	for i := range t.Queues {
		if t.Queues[i].Name == name {
			return &t.Queues[i], true
		}
	}
	return nil, false
}
