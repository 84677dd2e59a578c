package upkeep

import "time"

// Config bounds the decisions. All fields must be set.
type Config struct {
	// UpkeepTime and MoveTime are how long a host is away for either.
	UpkeepTime time.Duration
	MoveTime   time.Duration
	// Ahead is how many hosts of a wave may be emptied beyond those that may be down.
	Ahead int
	// PoolShare is the share of a pool's hosts that waves take at once, in (0, 1]; one host is always allowed.
	PoolShare float64
	// StatusFresh is the age up to which a pool's status allows an order.
	StatusFresh time.Duration
	// Patience is how long a host is emptied before it may go while it is only stoppable.
	Patience time.Duration
	// Margin is the time kept free before the end of a wave.
	Margin time.Duration
	// Retry is the wait before an order is repeated that was refused or met a busy host.
	Retry time.Duration
	// Settle is how long the list must show a host unchanged until an order without an answer is repeated.
	Settle time.Duration
	// GoneAfter is how long a host must be missing from the list until it counts as gone.
	GoneAfter time.Duration
	Moves     MoveConfig
}

// DefaultConfig returns the bounds for given times of upkeep and move.
func DefaultConfig(upkeepTime, moveTime time.Duration) Config {
	return Config{
		UpkeepTime:  upkeepTime,
		MoveTime:    moveTime,
		Ahead:       2,
		PoolShare:   0.25,
		StatusFresh: 700 * time.Millisecond,
		Patience:    2 * time.Second,
		Margin:      2 * time.Second,
		Retry:       500 * time.Millisecond,
		Settle:      500 * time.Millisecond,
		GoneAfter:   2 * time.Second,
		Moves:       DefaultMoveConfig(),
	}
}

// MoveConfig weighs moves. The weights share one unit, such as a currency.
type MoveConfig struct {
	// Enabled lets hosts change their pool.
	Enabled bool
	// Foresee uses the turns that were learned; without it moves follow the load.
	Foresee bool
	// MovePrice is the price of one move, SecondPrice that of a host in a pool that is not spare for a second, and
	// WorkWorth what a core-second of work earns.
	MovePrice   float64
	SecondPrice float64
	WorkWorth   float64
	// Join is how long a host that was moved takes to be used, beyond MoveTime.
	Join time.Duration
	// Drain is the time in which waiting work should be done.
	Drain time.Duration
	// Use is the share of a host that work can fill, in (0, 1].
	Use float64
	// Idle is the capacity that a pool keeps beyond its need, in hosts.
	Idle float64
	// Reserve holds hosts back for the turn of another pool while turns cannot be foreseen, up to this age of a turn.
	Reserve time.Duration
	// Ahead is how long before their order hosts are held back for a foreseen turn.
	Ahead time.Duration
	// Learn is how long pools keep their hosts while no turn was seen.
	Learn time.Duration
	// GiveUp is how long a host is emptied for a move, and Pause how long it is left alone if that was in vain.
	GiveUp time.Duration
	Pause  time.Duration
	// PersistentAtOnce is how many hosts with persistent tasks of one pool may be emptied at once for moves.
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
