// Package routing selects the host for each request, and distinguishes failing hosts from jobs that fail on any host.
//
// Decisions depend only on the arguments, on earlier calls and on the random source given to New. Nothing here is safe
// for concurrent use.
package routing

import (
	"math/rand/v2"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/tokenbucket"
)

// Class is the kind of a request, which determines the hosts that it may be sent to.
type Class int

// Classes of requests.
const (
	// Ordinary requests end within seconds.
	Ordinary Class = iota
	// Session requests are long-lived and are not sent to hosts that are due for maintenance.
	Session
)

// Request describes a request to Pick.
type Request struct {
	Service string
	Class   Class
	// ExpectedRun is the declared run time, used as a prior of the learned one.
	ExpectedRun time.Duration
	// JobDigest identifies the content of the request; it is the same for repeats of a request.
	JobDigest uint64
	// Idempotent requests may be repeated, so they are preferred as probes of ejected hosts.
	Idempotent bool
	// Retry is true if the request was sent before.
	Retry bool
	// Exclude lists the hosts that the request has already been sent to.
	Exclude []string
}

// Candidate is a host of the pool. Pass all active hosts of the pool, including those without free slots: their number
// limits how many hosts may be ejected.
type Candidate struct {
	Host       string
	DataCentre string
	Rack       string
	// Free is the number of slots that may be used now; Slots is the total number of slots of the host.
	Free  int
	Slots int
	// DueForMaintenance is the time of the next planned maintenance; zero if none is planned.
	DueForMaintenance time.Time
}

// Result is the outcome of an attempt on a host.
type Result int

// Results of attempts.
const (
	// Succeeded means that the answer arrived completely and does not report a failure of the worker.
	Succeeded Result = iota
	// Failed means that the worker answered with a failure, or that the answer was truncated or refused.
	Failed
	// Unreachable means that no byte of the request reached the worker.
	Unreachable
	// Cancelled means that the caller cancelled the request; it says nothing about the host or the job.
	Cancelled
)

// Observation reports the outcome of one attempt.
type Observation struct {
	Host    string
	Service string
	// JobDigest identifies the content of the request; it is the same for repeats of a request.
	JobDigest uint64
	Result    Result
	RunTime   time.Duration
}

// Options configures a Router. A zero field means its default.
type Options struct {
	// DataCentre is the data centre of the entry host.
	DataCentre string
	// SessionNotice is the time before a planned maintenance during which a host gets no sessions. Default 10 min.
	SessionNotice time.Duration
	// LocalLoad is the load up to which hosts of the local data centre are always preferred; 1 means that all slots are
	// busy with requests of mean run time. Default 0.75.
	LocalLoad float64
	// RemotePenalty is the factor applied to the load of hosts of other data centres when the local load exceeds
	// LocalLoad. Default 1.25.
	RemotePenalty float64
	// MaxEjected is the share of a pool's hosts that may be ejected at once. Of several hosts at least one may be.
	// Default 0.3.
	MaxEjected float64
	// ProbeAfter is the time from ejection to the first probe; it doubles with each failed probe. Default 5 s.
	ProbeAfter time.Duration
	// ProbeLimit is the longest time between two probes. Default 5 min.
	ProbeLimit time.Duration
	// RetryShare is the number of retries allowed per first attempt. Default 0.1.
	RetryShare float64
	// RetryFloor is the number of retries per second allowed in addition. Default 1.
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

// Router picks hosts and learns from the outcomes of their requests.
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

// IsPoison reports whether the job is a poison job, that is, it failed on several hosts that serve other jobs and
// succeeded on none since. The caller should not send it again. The verdict expires after a time that doubles each time
// the job fails again after that.
func (r *Router) IsPoison(now time.Time, jobDigest uint64) bool {
	return r.jobs.isPoison(now, jobDigest, r.hosts)
}

// RunTime returns the learned mean run time of a service on a host, or the declared one if there are no observations.
// An empty host means any host.
func (r *Router) RunTime(service, host string, declared time.Duration) time.Duration {
	seconds := r.runTimes.onHost(service, host, r.runTimes.ofService(service, declared))
	return time.Duration(seconds * float64(time.Second))
}

// AllowRetry takes one retry from the service's budget and returns false if none is left. Only idempotent requests and
// requests that were not run may be retried.
func (r *Router) AllowRetry(now time.Time, service string) bool {
	return r.budget(service).Take(now, r.options.RetryFloor, floorBudget)
}
