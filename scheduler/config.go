package scheduler

import "time"

// Config bounds a pool's decisions. All fields must be set.
type Config struct {
	// Fence of the owner. Run numbers are made from it, so those of a later owner are higher.
	Fence uint64
	// Lease is how long workers keep running without a hold; at most MaxLease, to which workers shorten it.
	Lease    time.Duration
	MaxLease time.Duration
	// StopTime is what a stop takes at most; GangTime is how long members of a gang wait for each other.
	StopTime time.Duration
	GangTime time.Duration
	// Early is how long before its time an occurrence may start.
	Early time.Duration
	// Retention is how long ended jobs are known.
	Retention time.Duration
	// CrossRackFactor is how many times as long a task takes away from its rack.
	CrossRackFactor float64
	// SaveInterval is the work between checkpoints, RestoreTime what a start from one takes longer.
	SaveInterval time.Duration
	RestoreTime  time.Duration
	// Notice is how long a persistent task counts as away after its stop.
	Notice time.Duration
	// PaceDelay is the time until a change of pace works, HarmTime how long a target may be missed.
	PaceDelay time.Duration
	HarmTime  time.Duration
	// DrainTime is how long after a worker reports to drain it may still be given work.
	DrainTime time.Duration
}
