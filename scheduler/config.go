package scheduler

import "time"

// DefaultMaxEndsPerReport is the maximum number of ended runs that workers list in one report.
const DefaultMaxEndsPerReport = 500

// Config holds the settings of a pool's scheduler. All fields must be set unless they tell what zero means.
type Config struct {
	// Fence is the fencing token of the owner. Run numbers are derived from it, so those of a later owner are higher.
	Fence uint64
	// Lease is how long workers keep running tasks without a hold. It is at most MaxLease, to which workers cap it.
	Lease    time.Duration
	MaxLease time.Duration
	// UnconfirmedLease is how much longer than Lease a lease may last, counted from the last confirmation of the ownership.
	// It lets tasks survive a short outage of the store, and delays a takeover that waits for silent workers.
	UnconfirmedLease time.Duration
	// StopTime is the maximum duration of a stop. GangTime is how long the members of a gang wait for each other.
	StopTime time.Duration
	GangTime time.Duration
	// Early is how long before its due time an occurrence may start.
	Early time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// CrossRackFactor is how many times longer a task takes away from its preferred rack.
	CrossRackFactor float64
	// SaveInterval is the time worked between checkpoints. RestoreTime is the extra time that a start from a
	// checkpoint takes.
	SaveInterval time.Duration
	RestoreTime  time.Duration
	// Notice is how long a persistent task counts as unavailable after its stop.
	Notice time.Duration
	// PaceDelay is the time until a change of pace takes effect. HarmTime is how long a target may be missed.
	PaceDelay time.Duration
	HarmTime  time.Duration
	// MaxEndsPerReport is the maximum number of ended runs in one report; a report with that many may omit some. Zero means
	// DefaultMaxEndsPerReport.
	MaxEndsPerReport int
	// DrainTime is how long a worker may still be given tasks after it reports that it drains.
	DrainTime time.Duration
}
