// Package routing decides which host a request goes to, and which hosts and
// jobs are at fault when requests fail.
//
// All decisions are made from the arguments and earlier calls; the random
// source is passed in. Nothing here is safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/tokenbucket"
)

// Class is what a request needs of its host.
type Class int

// Classes of requests.
const (
	// Ordinary requests end within seconds.
	Ordinary Class = iota
	// Session requests stay up for long, and are kept from hosts that are due for maintenance.
	Session
)

// Request is what Pick needs to know of a request.
type Request struct {
	Service string
	Class   Class
	// ExpectedRun is the declared run time. Learned values replace it.
	ExpectedRun time.Duration
	// JobDigest identifies what is asked for, without what differs between repeats.
	JobDigest uint64
	// Idempotent requests may be repeated, so they are preferred as probes of ejected hosts.
	Idempotent bool
	// Retry is true if the request was sent before.
	Retry bool
	// Exclude are hosts that the request has been sent to.
	Exclude []string
}

// Candidate is a host of the pool. Pass all active hosts of the pool, also those without free slots:
// the share of ejected hosts is bounded by their number.
type Candidate struct {
	Host       string
	DataCentre string
	Rack       string
	// Free is the number of slots that may be used now; Slots is how many the host has.
	Free  int
	Slots int
	// DueForMaintenance is the time of the next planned maintenance; zero if none is planned.
	DueForMaintenance time.Time
}

// Result is how an attempt on a host ended.
type Result int

// Results of attempts.
const (
	// Succeeded means that the whole answer came and is not a failure of the worker.
	Succeeded Result = iota
	// Failed means that the worker answered with a failure, or that the answer was cut or refused.
	Failed
	// Unreachable means that no byte of the request could reach the worker.
	Unreachable
	// Cancelled means that the caller gave up; it says nothing of the host or the job.
	Cancelled
)

// Observation is the end of one attempt.
type Observation struct {
	Host    string
	Service string
	// JobDigest identifies what was asked for, without what differs between repeats.
	JobDigest uint64
	Result    Result
	RunTime   time.Duration
}

// Options are the bounds of a Router. A zero field takes its default.
type Options struct {
	// DataCentre is where the entry host stands.
	DataCentre string
	// SessionNotice keeps sessions off hosts that are due for maintenance within it. Default 10 min.
	SessionNotice time.Duration
	// LocalLoad is the load up to which the hosts of the own data centre are taken first; 1 is all slots busy with
	// requests of mean run time. Default 0.75.
	LocalLoad float64
	// RemotePenalty is the factor by which hosts of other data centres look more loaded beyond that. Default 1.25.
	RemotePenalty float64
	// MaxEjected is the share of a pool's hosts that may be ejected at once. Default 0.3.
	MaxEjected float64
	// ProbeAfter is the time from ejection to the first probe; it doubles with each failed probe. Default 5 s.
	ProbeAfter time.Duration
	// ProbeLimit is the longest time between two probes. Default 5 min.
	ProbeLimit time.Duration
	// RetryShare is the number of retries allowed for each first attempt. Default 0.1.
	RetryShare float64
	// RetryFloor is the number of retries a second allowed besides. Default 1.
	RetryFloor float64
}

// Defaults of Options.
const (
	DefaultSessionNotice = 10 * time.Minute
	DefaultLocalLoad     = 0.75
	DefaultRemotePenalty = 1.25
	DefaultMaxEjected    = 0.3
	DefaultProbeAfter    = 5 * time.Second
	DefaultProbeLimit    = 5 * time.Minute
	DefaultRetryShare    = 0.1
	DefaultRetryFloor    = 1.0
)

// Router picks hosts and learns from what becomes of the requests.
type Router struct {
	options  Options
	random   *rand.Rand
	hosts    map[string]*host
	jobs     *jobs
	runTimes *runTimes
	budgets  map[string]*tokenbucket.Bucket
	peers    map[string]map[string]*pb.HostHealth // by peer, by host
}

// New returns a Router that breaks ties with the given random source.
func New(options Options, random *rand.Rand) *Router {
	return &Router{
		options:  options.withDefaults(),
		random:   random,
		hosts:    map[string]*host{},
		jobs:     newJobs(),
		runTimes: newRunTimes(),
		budgets:  map[string]*tokenbucket.Bucket{},
		peers:    map[string]map[string]*pb.HostHealth{},
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.SessionNotice, DefaultSessionNotice)
	setDefault(&o.LocalLoad, DefaultLocalLoad)
	setDefault(&o.RemotePenalty, DefaultRemotePenalty)
	setDefault(&o.MaxEjected, DefaultMaxEjected)
	setDefault(&o.ProbeAfter, DefaultProbeAfter)
	setDefault(&o.ProbeLimit, DefaultProbeLimit)
	setDefault(&o.RetryShare, DefaultRetryShare)
	setDefault(&o.RetryFloor, DefaultRetryFloor)
	return o
}

func setDefault[T time.Duration | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Hopeless reports whether the job failed on several hosts that serve others, and succeeded nowhere: its caller
// should be told not to send it again. The verdict lapses after a time, which doubles if the job then fails again.
func (r *Router) Hopeless(now time.Time, jobDigest uint64) bool {
	return r.jobs.hopeless(now, jobDigest, r.hosts)
}

// RunTime returns the learned mean run time of a service on a host, or the declared one where nothing is
// known. An empty host means any host.
func (r *Router) RunTime(service, host string, declared time.Duration) time.Duration {
	seconds := r.runTimes.onHost(service, host, r.runTimes.ofService(service, declared))
	return time.Duration(seconds * float64(time.Second))
}

// AllowRetry takes one retry from the service's budget; false if there is none left.
// Only requests that were not run, or that are idempotent, may be retried at all.
func (r *Router) AllowRetry(now time.Time, service string) bool {
	return r.budget(service).Take(now, r.options.RetryFloor, floorBudget)
}
