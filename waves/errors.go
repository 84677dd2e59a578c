package waves

import "github.com/zeebo/errs"

// Classes of errors. Each message names the remedy.
var (
	// UnknownWave means that the fleet has no such wave.
	UnknownWave = errs.Class("unknown wave")
	// WaveExists means that another order made a wave of this name.
	WaveExists = errs.Class("wave exists")
	// WaveDone means that the wave has ended.
	WaveDone = errs.Class("wave is done")
	// EmptyWave means that a wave was asked for without hosts.
	EmptyWave = errs.Class("empty wave")
	// Infeasible means that a configuration leaves no room for maintenance.
	Infeasible = errs.Class("no room for maintenance")
)
