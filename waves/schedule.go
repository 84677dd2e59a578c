package waves

import (
	"math"
	"sort"
	"strings"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// SchedulePrefix begins the operation identity and the name of every wave that the schedule makes.
	SchedulePrefix = "schedule-"
	// wavesPerPeriod is the number of scheduled waves in a maintenance period: one a day in five weeks.
	wavesPerPeriod = 35
	// aimedShare is the share of the period in which the schedule tries to get round. The rest is for drains that take
	// long and for waves that stop.
	aimedShare = 0.8
	// catchUp bounds the size of a late schedule's waves, in multiples of the usual one.
	catchUp = 2
)

// Due lists the hosts that a scheduled wave should carry now, sorted; mostly none. A wave is due wavesPerPeriod times in
// each period. Its hosts are those that would be late if every later wave carried just its usual share; hosts that were
// never maintained fill it up to that share. While a scheduled wave is stopped, none is due.
func Due(now time.Time, f *pb.Fleet, cfg *pb.Configuration) []string {
	period := cfg.GetMaintenance().GetPeriod().AsDuration()
	if period <= 0 || !waveDue(now, f, period/wavesPerPeriod) {
		return nil
	}
	interval := period / wavesPerPeriod
	share := int(math.Ceil(float64(len(f.GetHosts())) / (aimedShare * wavesPerPeriod)))
	late, never := candidates(f, period)
	due := pressing(now.Add(interval), late, share, interval)
	due = due[:min(len(due), catchUp*share)]
	for _, host := range never {
		if len(due) >= share {
			break
		}
		due = append(due, host)
	}
	sort.Strings(due)
	return due
}

// waveDue says whether it is time for the next scheduled wave and no earlier one is stopped. The first one is due an
// interval after the fleet began.
func waveDue(now time.Time, f *pb.Fleet, interval time.Duration) bool {
	if now.Sub(began(f)) < interval {
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

// began is the earliest time that a host's phase tells.
func began(f *pb.Fleet) time.Time {
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

// candidates lists the hosts that no wave carries: those maintained before with the time by which the schedule aims to
// maintain them again, sorted by it, and those never maintained.
func candidates(f *pb.Fleet, period time.Duration) (late []deadline, never []string) {
	taken := unfinishedHosts(f)
	aim := time.Duration(aimedShare * float64(period))
	for _, h := range f.GetHosts() {
		if taken[h.Host] != "" || h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE || maintained(h) {
			continue
		}
		if h.MaintainedUnixMs == 0 {
			never = append(never, h.Host)
			continue
		}
		late = append(late, deadline{host: h.Host, at: time.UnixMilli(h.MaintainedUnixMs).Add(aim)})
	}
	sort.Slice(late, func(i, j int) bool {
		if !late[i].at.Equal(late[j].at) {
			return late[i].at.Before(late[j].at)
		}
		return late[i].host < late[j].host
	})
	return late, never
}

// pressing lists the hosts that must go into a wave before a time, the most pressing first: with share hosts a wave and
// one wave an interval, a host must go an interval before the one that is share places behind it.
func pressing(before time.Time, late []deadline, share int, interval time.Duration) []string {
	for i := len(late) - share - 1; i >= 0; i-- {
		if latest := late[i+share].at.Add(-interval); latest.Before(late[i].at) {
			late[i].at = latest
		}
	}
	var out []string
	for _, d := range late {
		if d.at.Before(before) {
			out = append(out, d.host)
		}
	}
	return out
}
