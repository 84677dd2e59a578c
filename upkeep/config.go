package upkeep

import "time"

// Config sets the bounds of the planner's decisions. All fields must be set.
type Config struct {
	// UpkeepTime and MoveTime are how long a host is down for an upkeep or a move.
	UpkeepTime time.Duration
	MoveTime   time.Duration
	// Ahead is how many hosts of a wave may be evacuated in advance, beyond those that may be down.
	Ahead int
	// PoolShare is the share of a pool's hosts that waves take at once, in (0, 1]; one host is always allowed.
	PoolShare float64
	// MaxStatusAge is the maximum age of a pool's status on which an order may be based.
	MaxStatusAge time.Duration
	// ForceAfter is how long a host is evacuated before its order may be issued although its worker is unknown or tasks
	// that may be stopped still run on it.
	ForceAfter time.Duration
	// PersistentTime is how long it takes to evacuate a host with persistent tasks, which leave one after the other.
	PersistentTime time.Duration
	// Margin is the time kept free before the deadline of a wave.
	Margin time.Duration
	// Retry is the delay before an order is repeated that was refused or met a busy host.
	Retry time.Duration
	// Settle is how long the list must show a host unchanged before an unanswered order is repeated.
	Settle time.Duration
	// GoneAfter is how long a host must be missing from the list before it counts as gone.
	GoneAfter time.Duration
	Moves     MoveConfig
}

// DefaultConfig returns the default bounds for the given durations of upkeeps and moves.
func DefaultConfig(upkeepTime, moveTime time.Duration) Config {
	return Config{
		UpkeepTime:     upkeepTime,
		MoveTime:       moveTime,
		Ahead:          2,
		PoolShare:      0.25,
		MaxStatusAge:   700 * time.Millisecond,
		ForceAfter:     2 * time.Second,
		PersistentTime: 4 * time.Second,
		Margin:         2 * time.Second,
		Retry:          500 * time.Millisecond,
		Settle:         500 * time.Millisecond,
		GoneAfter:      2 * time.Second,
		Moves:          DefaultMoveConfig(),
	}
}

// MoveConfig weighs the costs and benefits of moves. The weights share one unit, such as a currency.
type MoveConfig struct {
	// Enabled allows hosts to change their pool.
	Enabled bool
	// Foresee plans moves by the forecast of learned bursts; without it moves follow the load.
	Foresee bool
	// MovePrice is the price of one move, SecondPrice that of one second of a host in a pool that is not spare, and
	// WorkWorth the value of a core-second of work.
	MovePrice   float64
	SecondPrice float64
	WorkWorth   float64
	// Join is the time beyond MoveTime until a moved host is used.
	Join time.Duration
	// Drain is the target time for completing waiting work.
	Drain time.Duration
	// Use is the share of a host that work can fill, in (0, 1].
	Use float64
	// Idle is the spare capacity that a pool keeps beyond its need, in hosts.
	Idle float64
	// Reserve is the age of a burst up to which hosts are held back for a burst of another pool while bursts cannot be
	// predicted.
	Reserve time.Duration
	// Ahead is how long before their order hosts are reserved for a predicted burst.
	Ahead time.Duration
	// Learn is how long pools keep their hosts while no burst has been observed.
	Learn time.Duration
	// GiveUp is the maximum time that a host is evacuated for a move, and Pause the cooldown before it is tried again
	// after that.
	GiveUp time.Duration
	Pause  time.Duration
	// PersistentAtOnce is how many hosts with persistent tasks may be evacuated at once for moves in one pool.
	PersistentAtOnce int
}

// DefaultMoveConfig returns weights for hosts whose work earns far more than they cost.
func DefaultMoveConfig() MoveConfig {
	return MoveConfig{
		Enabled:          true,
		Foresee:          true,
		MovePrice:        0.09,
		SecondPrice:      0.08,
		WorkWorth:        0.035,
		Join:             300 * time.Millisecond,
		Drain:            time.Second,
		Use:              0.85,
		Idle:             1,
		Reserve:          0,
		Ahead:            1500 * time.Millisecond,
		Learn:            time.Second,
		GiveUp:           3 * time.Second,
		Pause:            10 * time.Second,
		PersistentAtOnce: 1,
	}
}
