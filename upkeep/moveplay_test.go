package upkeep_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/upkeep"
)

// run runs a whole day; statuses are polled every 250 ms.
func (d *day) run(cfg upkeep.Config) {
	zero := time.Unix(1_000_000, 0)
	planner := upkeep.New(cfg, zero)
	pools := map[string]upkeep.PoolLoad{"spare": {Spare: true}}
	var polled time.Duration
	for d.now < warmup+d.length+3*time.Second {
		d.advance()
		if d.now-polled >= 250*time.Millisecond {
			polled = d.now
			for c := range d.classes {
				pools[poolName(c)] = upkeep.PoolLoad{Status: d.status(c)}
			}
		}
		in := upkeep.Input{HostsAt: zero.Add(d.now), Pools: maps.Clone(pools)}
		for _, m := range d.hosts {
			in.Hosts = append(in.Hosts, m.Host)
		}
		for name, load := range in.Pools {
			load.Age = d.now - polled
			in.Pools[name] = load
		}
		if d.wave != nil && d.waveEnd.IsZero() && !in.HostsAt.Before(d.wave.Seen) {
			in.Waves = []upkeep.Wave{*d.wave}
		}
		out := planner.Step(zero.Add(d.now+time.Millisecond), in)
		for _, m := range d.hosts {
			m.evacuating = slices.Contains(out.Evacuate[m.Pool], m.Worker)
		}
		for _, o := range out.Upkeeps {
			d.begun++
			d.leave(o.Host, upkeep.Upkeep, upkeepTime)
			planner.UpkeepResult(zero.Add(d.now+2*time.Millisecond), o, upkeep.Done)
		}
		if len(out.Completed) > 0 {
			d.waveEnd = in.HostsAt
		}
		for _, o := range out.Moves {
			result := upkeep.Refused
			if t := d.now - warmup; t < d.rejectFrom || t >= d.rejectTo {
				result = d.move(o)
			}
			planner.MoveResult(zero.Add(d.now+2*time.Millisecond), o, result)
		}
		if d.optimal {
			d.placeOptimally()
		}
	}
}

// addWave requests the upkeep of every second host.
func (d *day) addWave() {
	w := &upkeep.Wave{Number: 1, Within: 25 * time.Second, Cap: 3, Seen: time.Unix(1_000_000, 0).Add(warmup + 2*time.Second)}
	for n, m := range d.hosts {
		if n%2 == 0 {
			w.Hosts = append(w.Hosts, m.ID)
		}
	}
	d.wave = w
}

// placeOptimally gives each pool the hosts it can use now, without evacuation: an upper bound on what moves can earn.
// Hosts in use stay.
func (d *day) placeOptimally() {
	need := map[string]int64{}
	for c, class := range d.classes {
		for _, j := range d.jobs[c] {
			need[poolName(c)] += int64(j.waiting) * class.milli
		}
	}
	for _, m := range d.hosts {
		if m.State != upkeep.Up || m.persistent > 0 || len(m.tasks) > 0 {
			continue
		}
		if need[m.Pool] > 0 {
			need[m.Pool] -= coreMilli
			continue
		}
		to := "spare"
		for _, pool := range slices.Sorted(maps.Keys(need)) {
			if need[pool] > need[to] {
				to = pool
			}
		}
		need[to] -= coreMilli
		if m.Pool != to {
			m.Pool, m.upAt = to, d.now-joinTime
			m.incarnation++
			m.Worker = fmt.Sprintf("%s/%d", m.ID, m.incarnation)
		}
	}
}

// netValue returns the earned value less the cost of hosts and moves, as a share of the offered value.
func (d *day) netValue() float64 {
	return (d.earnedValue - moveCost*float64(d.moves) - hostSecondCost*d.hostSeconds) / d.offeredValue
}
