// Package queue defines the table of job queues and pools of a configuration.
//
// It does no I/O. A Table is immutable and safe for concurrent use.
package queue

import (
	"strings"
	"time"
)

// Advice configures the calls to the policy service of a queue, which decides which workers may run a step.
type Advice struct {
	// CallTime is the expected duration of one call, to which TimePerWorker is added for each worker named in it.
	CallTime, TimePerWorker time.Duration
	// TicketLifetime is the time for which a ticket is valid. With a ticket, the service permits a worker to run a step.
	TicketLifetime time.Duration
}

// Queue is the configuration of a queue, to which callers submit jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a request: Host must equal the host name that the caller requested, and the
	// longest prefix of the path wins.
	Host, Prefix string
	Pool         string
	// Priority 0 is the highest and may preempt others.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int
	// The target duration of a job is Stretch times its critical path plus TargetDuration.
	Stretch        float64
	TargetDuration time.Duration
	// Timeout bounds the time until the answer to a caller; 0 sets no bound.
	Timeout time.Duration
	// Advice is nil for a queue without a policy.
	Advice *Advice
	// Public means that callers need no key, and that jobs belong to no workspace.
	Public bool
}

// Workspace is a customer of the deployment, to which jobs belong.
type Workspace struct {
	Name string
	// Keys are the API keys of its callers. They are secrets and must not be logged.
	Keys []string
	// Weight is its share of a full pool, relative to other workspaces, and the number of jobs a second that it may submit
	// before it yields to others.
	Weight float64
	// Cap is what it may have running in all pools together.
	Cap Cap
}

// Cap limits resources; 0 means no limit.
type Cap struct {
	CPUMilli int64
	MemoryMB int64
	GPU      int64
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name string
	// Spare means that the hosts of the pool are switched off.
	Spare bool
	// EnforcesCapacity means that workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// MaxConnections is the number of connections that one worker accepts.
	MaxConnections int
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration of queues.
type Table struct {
	// Version never decreases in the lifetime of a process.
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Workspaces is nil if the deployment has none, so that callers need no keys. If it is empty, all keys are unknown.
	Workspaces []Workspace
}

// Lookup returns the queue of host with the longest prefix of path, and false if there is none.
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

// Named returns the queue with the given name, and false if there is none.
func (t *Table) Named(name string) (*Queue, bool) {
	for i := range t.Queues {
		if t.Queues[i].Name == name {
			return &t.Queues[i], true
		}
	}
	return nil, false
}
