package capacity

import (
	"math"
	"time"
)

// Design is the load that a deployment is sized for.
type Design struct {
	Size             Size
	Slots            int // per host
	RunTime          time.Duration
	ConfigChanges    float64 // per day
	Failures         float64 // of hosts, per day
	Restarts         float64 // of hosts, per day
	MaintenanceCycle time.Duration
}

// DesignLoad is the load to design for in the next two years. The number of entry hosts follows from the load rather
// than being required; the value here is the largest number that is measured.
var DesignLoad = Design{
	Size:             Size{Hosts: 1400, EntryHosts: 30, Pools: 28, Teams: 200},
	Slots:            8,
	RunTime:          500 * time.Millisecond,
	ConfigChanges:    840,
	Failures:         11,
	Restarts:         200,
	MaintenanceCycle: 5 * 7 * 24 * time.Hour,
}

// Upper bounds of the control overhead of one entry host, and of the load on the store.
const (
	BoundCPUPercent  = 3.2
	BoundMemoryMB    = 32.0
	BoundKBPerSecond = 24.0
	BoundStoreWrites = 300.0  // per second
	BoundStoreReads  = 2000.0 // per second
)

const secondsPerDay = 24 * 60 * 60

// Maintained returns the number of hosts that are maintained per day.
func (d Design) Maintained() float64 {
	return float64(d.Size.Hosts) / (d.MaintenanceCycle.Hours() / 24)
}

// FullRate returns the rate, in requests per second, that occupies every slot.
func (d Design) FullRate() float64 {
	return float64(d.Size.Hosts*d.Slots) / d.RunTime.Seconds()
}

// DailyMean returns the mean cost per second of an event that happens timesADay times a day and costs costEach.
func DailyMean(timesADay, costEach float64) float64 { return timesADay * costEach / secondsPerDay }

// EntryHostsFor returns the number of entry hosts, each with the given cores, that can serve rate requests per second at
// cpuSecondsEach per request. The hosts use at most the given share of their processor time; if there are several data
// centres, one of them may fail.
func EntryHostsFor(rate, cpuSecondsEach, cores, share float64, dataCentres int) int {
	needed := rate * cpuSecondsEach / (cores * share)
	if dataCentres > 1 {
		needed *= float64(dataCentres) / float64(dataCentres-1)
	}
	return int(math.Ceil(needed))
}
