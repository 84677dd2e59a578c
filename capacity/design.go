package capacity

import (
	"math"
	"time"
)

// Design is the load to design for.
type Design struct {
	Size             Size
	Slots            int // of one host
	RunTime          time.Duration
	ConfigChanges    float64 // a day
	Failures         float64 // of hosts, a day
	Restarts         float64 // of hosts, a day
	MaintenanceCycle time.Duration
}

// DesignLoad is the size to design for in the next two years. The number of entry hosts is an outcome, not a demand; the
// one given is the largest that is measured.
var DesignLoad = Design{
	Size:             Size{Hosts: 1400, EntryHosts: 30, Pools: 28, Teams: 200},
	Slots:            8,
	RunTime:          500 * time.Millisecond,
	ConfigChanges:    840,
	Failures:         11,
	Restarts:         200,
	MaintenanceCycle: 5 * 7 * 24 * time.Hour,
}

// Bounds of what one entry host may spend for control, and of the store.
const (
	BoundCPUPercent  = 3.2
	BoundMemoryMB    = 32.0
	BoundKBPerSecond = 24.0
	BoundStoreWrites = 300.0 // a second: several hundred
	BoundStoreReads  = 2000.0
)

const secondsPerDay = 24 * 60 * 60

// Maintained is the number of hosts maintained a day.
func (d Design) Maintained() float64 {
	return float64(d.Size.Hosts) / (d.MaintenanceCycle.Hours() / 24)
}

// FullRate is the requests a second that use every slot.
func (d Design) FullRate() float64 {
	return float64(d.Size.Hosts*d.Slots) / d.RunTime.Seconds()
}

// DailyMean is the mean rate, a second, of something that happens a number of times a day at a cost each.
func DailyMean(timesADay, costEach float64) float64 { return timesADay * costEach / secondsPerDay }

// EntryHostsFor is how many entry hosts of some cores carry a rate of requests at a cost of processor seconds each,
// using at most a share of their processor time, with one data centre of several lost.
func EntryHostsFor(rate, cpuSecondsEach, cores, share float64, dataCentres int) int {
	needed := rate * cpuSecondsEach / (cores * share)
	if dataCentres > 1 {
		needed *= float64(dataCentres) / float64(dataCentres-1)
	}
	return int(math.Ceil(needed))
}
