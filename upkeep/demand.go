package upkeep

import (
	"math"
	"math/bits"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// rateWindow smooths the rate of arrivals.
	rateWindow = 600 * time.Millisecond
	// shortestGap is the least time that a rate is taken over.
	shortestGap = 100 * time.Millisecond
	// holdTime is how slowly high rates are forgotten.
	holdTime = 2 * time.Second
	// lowShare and highShare of the peak are the bounds of turns.
	lowShare  = 0.2
	highShare = 0.45
	// firstShare is the share for the beginning of a pool's first turn, which is judged by the steady rate.
	firstShare = 0.225
	// smallTurn is the share of the mean peak below which a pool's demand has no turns worth a move.
	smallTurn = 0.2
	// firstPeak is the share of a pool's capacity that counts as its peak until one was seen.
	firstPeak = 0.6
	// unusedMilli is the use below which the mix of CPU and memory is not learned.
	unusedMilli = 1000
	// recentMask keeps as many statuses as riseSeen of which must show arrivals for a turn to begin. A single large job
	// is no turn.
	recentMask = 1<<3 - 1
	riseSeen   = 2
)

// demand is what one pool is asked for, learned from its statuses. Rates are in thousandths of a core.
type demand struct {
	status  *pb.PoolStatusResponse
	at      time.Time
	arrived int64
	fence   uint64
	// rate is the smoothed rate at which work arrives.
	rate float64
	// largest is the work of the largest job of late.
	largest float64
	// hold is the highest rate of late; it is forgotten slowly, and at once when a turn ends.
	hold float64
	// peak and trough are the learned rates in and out of turns; peak is 0 until a turn was seen.
	peak   float64
	trough float64
	// guess stands for the peak while it is not known.
	guess float64
	// share is an equal share of the fleet.
	share float64
	// turnArrived is the work that had arrived at countedFrom, when the present turn began or counting began anew in it.
	turnArrived int64
	countedFrom time.Time
	// heardFrom is when the first status came. What was restored is not judged before a rate is known.
	heardFrom time.Time
	turns     turns
	// recent has a bit for each of the last statuses, the newest lowest: whether work arrived since the one before.
	recent uint
	// heldUntil is until when hosts with persistent tasks are not emptied for moves.
	heldUntil time.Time
	// persistent is what tasks that last use; used is what all use.
	persistent float64
	used       float64
	usedMemory float64
}

// observe takes in a status that was sent at a moment; capacity is the CPU of the pool's hosts.
func (d *demand) observe(at time.Time, status *pb.PoolStatusResponse, capacity float64) {
	if status == nil || status == d.status || !at.After(d.at) {
		return
	}
	d.uses(status)
	arrived := status.GetArrivedMilliMs()
	gap := at.Sub(d.at)
	first := d.status == nil || status.GetFence() != d.fence || arrived < d.arrived
	before := d.arrived
	d.status = status
	d.at = at
	d.arrived = arrived
	d.fence = status.GetFence()
	d.largest = float64(status.GetLargestMilliMs())
	if first {
		d.turnArrived = arrived
		d.countedFrom = at
		if d.heardFrom.IsZero() {
			d.heardFrom = at
		}
		return
	}
	now := float64(arrived-before) / float64(gap.Microseconds()) * 1000
	d.recent = (d.recent << 1) & recentMask
	if arrived > before {
		d.recent |= 1
	}
	heard := at.Sub(d.heardFrom)
	weight := max(1-math.Exp(-gap.Seconds()/rateWindow.Seconds()), gap.Seconds()/heard.Seconds())
	d.rate += min(1, weight) * (now - d.rate)
	d.hold = max(d.rate, d.hold*math.Exp(-gap.Seconds()/holdTime.Seconds()))
	if len(d.turns.rises) == 0 || heard >= rateWindow {
		d.learn(at, before, capacity)
	}
}

// learn follows the turns and the rates in and out of them.
func (d *demand) learn(at time.Time, before int64, capacity float64) {
	reference := max(d.peak, smallTurn*d.guess)
	if d.peak == 0 {
		// A pool that has few hosts is not in a turn because of a few jobs.
		reference = firstPeak * max(capacity, d.share)
	}
	if reference == 0 {
		return
	}
	was := d.turns.high
	started := d.turns.last()
	rate, high := d.rate, highShare*reference
	if !was && d.peak == 0 {
		rate, high = min(rate, d.steadyRate()), firstShare*reference
	}
	if was || bits.OnesCount(d.recent) >= riseSeen || rate < high {
		d.turns.observe(at, rate, lowShare*reference, high)
	}
	switch {
	case !was && d.turns.high:
		d.turnArrived = before
		d.countedFrom = d.turns.last()
	case was && !d.turns.high:
		d.turnEnded(d.turns.falling, started)
	case !was:
		d.trough += 0.05 * (d.rate - d.trough)
	}
}

func (d *demand) turnEnded(at, started time.Time) {
	d.hold = d.trough
	counted := at.Sub(d.countedFrom)
	if d.turns.last() != started || counted < shortestTurn {
		return
	}
	mean := float64(d.arrived-d.turnArrived) / float64(counted.Milliseconds())
	if d.peak == 0 {
		d.peak = mean
		return
	}
	d.peak += learnTurn * (mean - d.peak)
}

func (d *demand) uses(status *pb.PoolStatusResponse) {
	d.persistent = 0
	d.used = 0
	d.usedMemory = 0
	for _, w := range status.GetWorkers() {
		used := float64(w.GetUsedCpuMilli())
		d.used += used
		d.usedMemory += float64(w.GetUsedMemoryMb())
		if w.GetTasks() > 0 {
			d.persistent += used * float64(w.GetPersistentTasks()) / float64(w.GetTasks())
		}
	}
}

// rateIn is the expected rate while a turn is on or off.
func (d *demand) rateIn(high bool) float64 {
	switch {
	case high && d.turns.high && d.waning():
		return d.rate
	case high && d.turns.high:
		return max(d.rate, d.peak, d.turnRate(), d.youngGuess())
	case high && d.peak == 0:
		return d.guess
	case high:
		return d.peak
	case d.turns.high:
		return d.trough
	}
	return min(d.rate, max(d.trough, d.steadyRate()))
}

// steadyRate is the rate if the largest job of late, which none like it may follow, counts at most for mostShare of the
// others together.
func (d *demand) steadyRate() float64 {
	const mostShare = 0.5
	window := min(rateWindow, max(shortestGap, d.at.Sub(d.heardFrom)))
	largest := d.largest / float64(window.Milliseconds())
	others := max(0, d.rate-largest)
	return others + min(largest, mostShare*others)
}

// waning says whether the present turn is so old that its rate tells more of what follows than the learned peak.
func (d *demand) waning() bool {
	const old = 0.6
	length := max(d.turns.length, d.turns.usual)
	return length > 0 && float64(d.at.Sub(d.turns.last())) > old*float64(length)
}

// turnRate is the mean rate of the present turn, before the smoothed rate has come up.
func (d *demand) turnRate() float64 {
	if d.peak > 0 || d.at.Sub(d.turns.last()) > 4*rateWindow {
		return 0
	}
	return d.turnMean()
}

// turnMean is the mean rate of the present turn, 0 outside of turns.
func (d *demand) turnMean() float64 {
	const shortest = 200 * time.Millisecond
	length := d.at.Sub(d.countedFrom)
	if !d.turns.high || length < shortest {
		return 0
	}
	return float64(d.arrived-d.turnArrived) / float64(length.Milliseconds())
}

// youngGuess stands for the peak in the first moments of the first turn.
func (d *demand) youngGuess() float64 {
	const young = 1500 * time.Millisecond
	if d.peak > 0 || d.at.Sub(d.turns.last()) > young {
		return 0
	}
	return d.guess
}

// backlog is the waiting work that can still be on time, and a small part of the rest.
func (d *demand) backlog() float64 {
	const lateShare = 0.1
	late := float64(d.status.GetLateMilliMs())
	return max(0, float64(d.status.GetBacklogMilliMs())-(1-lateShare)*late)
}

// following is the capacity that the next steps of running jobs need, unless what runs is late anyway.
func (d *demand) following() float64 {
	const share = 0.3
	if d.status.GetLateMilliMs() > 0 {
		return 0
	}
	return share * (d.used - d.persistent)
}

// expected is the mean rate between two moments.
func (d *demand) expected(c *calendar, pool string, now, from, to time.Time) float64 {
	const samples = 8
	sum := 0.0
	for i := range samples {
		at := from.Add(to.Sub(from) * time.Duration(2*i+1) / (2 * samples))
		sum += d.rateIn(c.high(pool, now, at))
	}
	return sum / samples
}

// usable is the CPU of a host that the pool's mix of CPU and memory can use.
func (d *demand) usable(m Host) float64 {
	cpu := float64(m.CPUMilli)
	if d.used < unusedMilli || d.usedMemory <= 0 {
		return cpu
	}
	return min(cpu, float64(m.MemoryMB)*d.used/d.usedMemory)
}
