package waves

import (
	"math"
	"sort"
	"strings"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// SchedulePrefix starts the operation id and the name of every scheduled wave.
	SchedulePrefix = "schedule-"
	// wavesPerPeriod is the number of scheduled waves in a maintenance period: one a day in five weeks.
	wavesPerPeriod = 35
	// targetPeriodShare is the share of the period within which the schedule aims to maintain every host. The rest is
	// slack for slow drains and stopped waves.
	targetPeriodShare = 0.8
	// maxCatchUp limits the size of a wave when the schedule is late, in multiples of the usual size.
	maxCatchUp = 2
)

// Due returns the hosts of the scheduled wave that is due now, sorted; usually none. A wave is due wavesPerPeriod times
// in each period. Its hosts are those that would miss their deadline if every later wave had only the usual size; hosts
// that were never maintained fill it up to that size. maxCatchUp limits its size. While a
// scheduled wave is stopped, none is due.
func Due(now time.Time, f *pb.Fleet, cfg *pb.Configuration) []string {
	period := cfg.GetMaintenance().GetPeriod().AsDuration()
	if period <= 0 || !waveDue(now, f, period/wavesPerPeriod) {
		return nil
	}
	interval := period / wavesPerPeriod
	waveSize := int(math.Ceil(float64(len(f.GetHosts())) / (targetPeriodShare * wavesPerPeriod)))
	deadlines, neverMaintained := candidates(f, period)
	due := urgent(now.Add(interval), deadlines, waveSize, interval)
	due = due[:min(len(due), maxCatchUp*waveSize)]
	for _, host := range neverMaintained {
		if len(due) >= waveSize {
			break
		}
		due = append(due, host)
	}
	sort.Strings(due)
	return due
}

// waveDue reports whether the next scheduled wave is due and no earlier one is stopped. The first wave is due one
// interval after the earliest phase change of the fleet.
func waveDue(now time.Time, f *pb.Fleet, interval time.Duration) bool {
	if now.Sub(earliestPhaseChange(f)) < interval {
		return false
	}
	for _, w := range f.GetWaves() {
		if !strings.HasPrefix(w.OperationId, SchedulePrefix) {
			continue
		}
		if w.Phase == pb.WavePhase_WAVE_PHASE_STOPPED || now.UnixMilli()-w.StartedUnixMs < interval.Milliseconds() {
			return false
		}
	}
	return true
}

// earliestPhaseChange is the earliest time at which a host entered its present phase.
func earliestPhaseChange(f *pb.Fleet) time.Time {
	earliest := int64(math.MaxInt64)
	for _, h := range f.GetHosts() {
		earliest = min(earliest, h.PhaseSinceUnixMs)
	}
	return time.UnixMilli(earliest)
}

type deadline struct {
	host string
	at   time.Time
}

// candidates returns the hosts that are not in an unfinished wave, in maintenance or leaving: those maintained before
// with the deadline by which the schedule aims to maintain them again, sorted by deadline, and those never maintained.
func candidates(f *pb.Fleet, period time.Duration) (deadlines []deadline, neverMaintained []string) {
	inWave := unfinishedHosts(f)
	target := time.Duration(targetPeriodShare * float64(period))
	for _, h := range f.GetHosts() {
		if inWave[h.Host] != "" || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE || inMaintenance(h) {
			continue
		}
		if h.MaintainedUnixMs == 0 {
			neverMaintained = append(neverMaintained, h.Host)
			continue
		}
		deadlines = append(deadlines, deadline{host: h.Host, at: time.UnixMilli(h.MaintainedUnixMs).Add(target)})
	}
	sort.Slice(deadlines, func(i, j int) bool {
		if !deadlines[i].at.Equal(deadlines[j].at) {
			return deadlines[i].at.Before(deadlines[j].at)
		}
		return deadlines[i].host < deadlines[j].host
	})
	return deadlines, neverMaintained
}

// urgent returns the hosts that must be in a wave before the given time, the earliest deadline first. A wave has
// waveSize hosts and there is one wave per interval, so a host's deadline is at least one interval before the deadline
// of the host that is waveSize places behind it. urgent changes the deadlines accordingly.
func urgent(before time.Time, deadlines []deadline, waveSize int, interval time.Duration) []string {
	for i := len(deadlines) - waveSize - 1; i >= 0; i-- {
		if latest := deadlines[i+waveSize].at.Add(-interval); latest.Before(deadlines[i].at) {
			deadlines[i].at = latest
		}
	}
	var out []string
	for _, d := range deadlines {
		if d.at.Before(before) {
			out = append(out, d.host)
		}
	}
	return out
}
