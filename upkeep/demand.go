package upkeep

import (
	"math"
	"math/bits"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// rateWindow is the time constant of the moving average of the arrival rate.
	rateWindow = 600 * time.Millisecond
	// minSampleWindow is the shortest time over which a rate is computed.
	minSampleWindow = 100 * time.Millisecond
	// maxRateDecayTime is the time constant with which the recent maximum rate decays.
	maxRateDecayTime = 2 * time.Second
	// burstEndShare and burstStartShare are the shares of the peak at which a burst ends and starts; the gap between
	// them gives hysteresis.
	burstEndShare   = 0.2
	burstStartShare = 0.45
	// firstBurstStartShare is the share that starts a pool's first burst, which is judged by the steady rate.
	firstBurstStartShare = 0.225
	// minPeakShare is the share of the mean peak below which a pool's demand has no bursts worth a move.
	minPeakShare = 0.2
	// initialPeakShare is the share of a pool's capacity that counts as its peak until one was observed.
	initialPeakShare = 0.6
	// mixDecay is the weight of the earlier statuses in the mix of CPU and memory. It keeps the mix of the last burst through
	// the few tasks that run between bursts.
	mixDecay = 0.99
	// minMixCPUMilli is the CPU use below which the ratio of CPU to memory is ignored.
	minMixCPUMilli = 1000
	// arrivalMask keeps the last statuses, of which minArrivalStatuses must show arrivals for a burst to start: a
	// single large job is no burst.
	arrivalMask        = 1<<3 - 1
	minArrivalStatuses = 2
)

// demand is the demand for one pool, learned from its statuses. Rates are in thousandths of a core, and work is in
// thousandths of a core times milliseconds.
type demand struct {
	// status is the newest status and at the time of its call; arrived is its counter of arrived work, and fence the
	// fencing token of its sender.
	status  *pb.PoolStatusResponse
	at      time.Time
	arrived int64
	fence   uint64
	// rate is the moving average of the rate at which work arrives.
	rate float64
	// largestJob is the work of the largest recent job.
	largestJob float64
	// recentMaxRate is the highest recent rate. It decays slowly, and is reset when a burst ends.
	recentMaxRate float64
	// peak and trough are the learned rates inside and outside of bursts; peak is 0 until a burst was observed.
	peak   float64
	trough float64
	// estimatedPeak replaces the peak while it is unknown.
	estimatedPeak float64
	// fleetShare is the pool's equal share of the fleet's CPU.
	fleetShare float64
	// burstBaseArrived is the value of arrived at burstBaseAt, when the current burst started or when the counter was
	// reset during it.
	burstBaseArrived int64
	burstBaseAt      time.Time
	// firstArrived is the value of arrived at the first status of the pool's present owner.
	firstArrived int64
	// firstStatusAt is the time of the call for the first status. Restored bursts are not re-evaluated before a rate is
	// known.
	firstStatusAt time.Time
	bursts        burstHistory
	// arrivalBits has a bit for each of the last statuses, the newest lowest: set if work arrived since the previous
	// one.
	arrivalBits uint
	// persistentHeldUntil is the time until which hosts with persistent tasks are not evacuated for moves.
	persistentHeldUntil time.Time
	// persistentCPU and persistentMemory are used by persistent tasks, usedCPU and usedMemory by all tasks.
	persistentCPU    float64
	persistentMemory float64
	usedCPU          float64
	usedMemory       float64
	// mixCPU and mixMemory are decaying sums of the CPU and the memory used by batch tasks.
	mixCPU    float64
	mixMemory float64
	// waitingPersistentCPU and waitingPersistentMemory are the needs of persistent tasks that wait for a host.
	waitingPersistentCPU    float64
	waitingPersistentMemory float64
}

// observe processes a status that was requested at the given time; capacity is the CPU of the pool's hosts.
func (d *demand) observe(at time.Time, status *pb.PoolStatusResponse, capacity float64) {
	if status == nil || status == d.status || !at.After(d.at) {
		return
	}
	d.updateUsage(status)
	arrived := status.GetArrivedMilliMs()
	gap := at.Sub(d.at)
	counterReset := d.status == nil || status.GetFence() != d.fence || arrived < d.arrived
	previous := d.arrived
	d.status = status
	d.at = at
	d.arrived = arrived
	d.fence = status.GetFence()
	d.largestJob = float64(status.GetLargestMilliMs())
	if counterReset {
		d.burstBaseArrived = arrived
		d.firstArrived = arrived
		d.burstBaseAt = at
		if d.firstStatusAt.IsZero() {
			d.firstStatusAt = at
		}
		return
	}
	currentRate := float64(arrived-previous) / float64(gap.Microseconds()) * 1000
	d.arrivalBits = (d.arrivalBits << 1) & arrivalMask
	if arrived > previous {
		d.arrivalBits |= 1
	}
	observedFor := at.Sub(d.firstStatusAt)
	weight := max(1-math.Exp(-gap.Seconds()/rateWindow.Seconds()), gap.Seconds()/observedFor.Seconds())
	d.rate += min(1, weight) * (currentRate - d.rate)
	d.recentMaxRate = max(d.rate, d.recentMaxRate*math.Exp(-gap.Seconds()/maxRateDecayTime.Seconds()))
	if len(d.bursts.starts) == 0 || observedFor >= rateWindow {
		d.learn(at, previous, capacity)
	}
}

// learn updates the bursts and the rates inside and outside of them.
func (d *demand) learn(at time.Time, previousArrived int64, capacity float64) {
	reference := max(d.peak, minPeakShare*d.estimatedPeak)
	if d.peak == 0 {
		// The fleet's share bounds the reference from below: in a pool with few hosts a few jobs are no burst.
		reference = initialPeakShare * max(capacity, d.fleetShare)
	}
	if reference == 0 {
		return
	}
	wasHigh := d.bursts.high
	started := d.bursts.lastStart()
	rate, startRate := d.rate, burstStartShare*reference
	if !wasHigh && d.peak == 0 {
		rate, startRate = min(rate, d.steadyRate()), firstBurstStartShare*reference
	}
	if wasHigh || bits.OnesCount(d.arrivalBits) >= minArrivalStatuses || rate < startRate {
		d.bursts.observe(at, rate, burstEndShare*reference, startRate)
	}
	switch {
	case !wasHigh && d.bursts.high:
		d.burstBaseArrived = previousArrived
		d.burstBaseAt = d.bursts.lastStart()
	case wasHigh && !d.bursts.high:
		d.endBurst(d.bursts.belowHighSince, started)
	case !wasHigh:
		d.trough += 0.05 * (d.rate - d.trough)
	}
}

func (d *demand) endBurst(at, started time.Time) {
	d.recentMaxRate = d.trough
	counted := at.Sub(d.burstBaseAt)
	if d.bursts.lastStart() != started || counted < minBurst {
		return
	}
	mean := float64(d.arrived-d.burstBaseArrived) / float64(counted.Milliseconds())
	if d.peak == 0 {
		d.peak = mean
		return
	}
	d.peak += burstWeight * (mean - d.peak)
}

// burstChange describes the burst that has just begun or ended.
func (d *demand) burstChange(pool string) BurstChange {
	since := d.bursts.lastStart()
	if !d.bursts.high {
		since = d.bursts.belowHighSince
	}
	return BurstChange{Pool: pool, Began: d.bursts.high, Since: since, Rate: d.rate, Peak: d.peak}
}

func (d *demand) updateUsage(status *pb.PoolStatusResponse) {
	d.persistentCPU, d.persistentMemory = 0, 0
	d.usedCPU, d.usedMemory = 0, 0
	d.waitingPersistentCPU = float64(status.GetWaitingPersistentCpuMilli())
	d.waitingPersistentMemory = float64(status.GetWaitingPersistentMemoryMb())
	for _, w := range status.GetWorkers() {
		d.usedCPU += float64(w.GetUsedCpuMilli())
		d.usedMemory += float64(w.GetUsedMemoryMb())
		if w.GetPersistentCpuMilli() == 0 && w.GetTasks() > 0 {
			// An owner of an earlier version does not tell them apart.
			d.persistentCPU += float64(w.GetUsedCpuMilli()) * float64(w.GetPersistentTasks()) / float64(w.GetTasks())
		}
		d.persistentCPU += float64(w.GetPersistentCpuMilli())
		d.persistentMemory += float64(w.GetPersistentMemoryMb())
	}
	d.mixCPU = mixDecay*d.mixCPU + max(0, d.usedCPU-d.persistentCPU)
	d.mixMemory = mixDecay*d.mixMemory + max(0, d.usedMemory-d.persistentMemory)
}

// expectedRate returns the rate expected inside (high) or outside of a burst.
func (d *demand) expectedRate(high bool) float64 {
	switch {
	case high && d.bursts.high && d.isBurstEnding():
		return d.rate
	case high && d.bursts.high:
		return max(d.rate, d.peak, d.earlyBurstRate(), d.earlyPeakEstimate())
	case high && d.peak == 0:
		return d.estimatedPeak
	case high:
		return d.peak
	case d.bursts.high:
		return d.trough
	}
	return min(d.rate, max(d.trough, d.steadyRate()))
}

// steadyRate returns the rate with the largest recent job limited to maxLargestShare of all others together, since
// possibly no similar job follows it.
func (d *demand) steadyRate() float64 {
	const maxLargestShare = 0.5
	window := min(rateWindow, max(minSampleWindow, d.at.Sub(d.firstStatusAt)))
	largest := d.largestJob / float64(window.Milliseconds())
	if d.largestJob > float64(d.arrived-d.firstArrived) {
		// The job arrived before the first status, so the rate does not include it.
		largest = 0
	}
	others := max(0, d.rate-largest)
	return others + min(largest, maxLargestShare*others)
}

// isBurstEnding reports whether the current burst is so old that its current rate predicts better than the learned
// peak.
func (d *demand) isBurstEnding() bool {
	const endingShare = 0.6
	length := max(d.bursts.length, d.bursts.typicalLength)
	return length > 0 && float64(d.at.Sub(d.bursts.lastStart())) > endingShare*float64(length)
}

// earlyBurstRate returns the mean rate of a pool's first burst until the moving average has caught up, 0 afterwards and
// in later bursts.
func (d *demand) earlyBurstRate() float64 {
	if d.peak > 0 || d.at.Sub(d.bursts.lastStart()) > 4*rateWindow {
		return 0
	}
	return d.burstMeanRate()
}

// burstMeanRate returns the mean rate of the current burst, 0 outside of bursts.
func (d *demand) burstMeanRate() float64 {
	const minLength = 200 * time.Millisecond
	length := d.at.Sub(d.burstBaseAt)
	if !d.bursts.high || length < minLength {
		return 0
	}
	return float64(d.arrived-d.burstBaseArrived) / float64(length.Milliseconds())
}

// earlyPeakEstimate returns the estimated peak at the start of the first burst, 0 afterwards.
func (d *demand) earlyPeakEstimate() float64 {
	const earlyPhase = 1500 * time.Millisecond
	if d.peak > 0 || d.at.Sub(d.bursts.lastStart()) > earlyPhase {
		return 0
	}
	return d.estimatedPeak
}

// backlog returns the waiting work that can still meet its deadline, and a small share of the rest.
func (d *demand) backlog() float64 {
	const lateShare = 0.1
	late := float64(d.status.GetLateMilliMs())
	return max(0, float64(d.status.GetBacklogMilliMs())-(1-lateShare)*late)
}

// nextStepDemand returns the capacity that the next steps of running jobs need; 0 if there is late work anyway.
func (d *demand) nextStepDemand() float64 {
	const share = 0.3
	if d.status.GetLateMilliMs() > 0 {
		return 0
	}
	return share * (d.usedCPU - d.persistentCPU)
}

// meanExpectedRate returns the mean of the expected rate between two times.
func (d *demand) meanExpectedRate(c *forecast, pool string, now, from, to time.Time) float64 {
	const samples = 8
	sum := 0.0
	for i := range samples {
		at := from.Add(to.Sub(from) * time.Duration(2*i+1) / (2 * samples))
		sum += d.expectedRate(c.high(pool, now, at))
	}
	return sum / samples
}

// usableCPU returns the part of a host's CPU that batch tasks can use with their ratio of CPU to memory. Persistent tasks
// may need far more memory for their CPU, and are counted by persistentHosts.
func (d *demand) usableCPU(m Host) float64 {
	cpu := float64(m.CPUMilli)
	if d.mixCPU < minMixCPUMilli || d.mixMemory <= 0 {
		return cpu
	}
	return min(cpu, float64(m.MemoryMB)*d.mixCPU/d.mixMemory)
}

// persistentHosts returns how many hosts the persistent tasks fill, by the scarcer resource. It includes those that wait.
func (d *demand) persistentHosts(m Host) float64 {
	hosts := (d.persistentCPU + d.waitingPersistentCPU) / max(1, float64(m.CPUMilli))
	if m.MemoryMB > 0 {
		hosts = max(hosts, (d.persistentMemory+d.waitingPersistentMemory)/float64(m.MemoryMB))
	}
	return hosts
}
