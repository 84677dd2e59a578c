package waves

import "github.com/zeebo/errs"

// Error classes. Each message names the remedy.
var (
	// UnknownWave means that the fleet has no such wave.
	UnknownWave = errs.Class("unknown wave")
	// WaveExists means that another order created a wave of this name.
	WaveExists = errs.Class("wave exists")
	// WaveDone means that the wave has ended.
	WaveDone = errs.Class("wave is done")
	// EmptyWave means that an order for a wave lists no hosts.
	EmptyWave = errs.Class("empty wave")
	// Infeasible means that the limits or budgets of a configuration make maintenance impossible.
	Infeasible = errs.Class("no room for maintenance")
)
