package upkeep_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/upkeep"
)

// play runs a whole day; statuses are read each 250 ms.
func (d *day) play(cfg upkeep.Config) {
	zero := time.Unix(1_000_000, 0)
	planner := upkeep.New(cfg, zero)
	pools := map[string]upkeep.PoolLoad{"spare": {Spare: true}}
	var polled time.Duration
	for d.now < lead+d.length+3*time.Second {
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
			m.leaves = slices.Contains(out.Evacuate[m.Pool], m.Worker)
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
			if t := d.now - lead; t < d.deafFrom || t >= d.deafTo {
				result = d.move(o)
			}
			planner.MoveResult(zero.Add(d.now+2*time.Millisecond), o, result)
		}
		if d.knowsAll {
			d.place()
		}
	}
}

// addWave asks for the upkeep of every second host.
func (d *day) addWave() {
	w := &upkeep.Wave{Number: 1, Within: 25 * time.Second, Cap: 3, Seen: time.Unix(1_000_000, 0).Add(lead + 2*time.Second)}
	for n, m := range d.hosts {
		if n%2 == 0 {
			w.Hosts = append(w.Hosts, m.ID)
		}
	}
	d.wave = w
}

// place gives each pool what it can use now: the bound of what moves can earn. Hosts in use stay.
func (d *day) place() {
	need := map[string]int64{}
	for c, class := range d.classes {
		for _, j := range d.jobs[c] {
			need[poolName(c)] += int64(j.waiting) * class.milli
		}
	}
	for _, m := range d.hosts {
		if m.State != upkeep.Up || m.lasting > 0 || len(m.tasks) > 0 {
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
			m.Pool, m.backAt = to, d.now-joinTime
			m.lives++
			m.Worker = fmt.Sprintf("%s/%d", m.ID, m.lives)
		}
	}
}

// worth is what a day earned less its price, as a share of what it owed.
func (d *day) worth() float64 {
	return (d.earned - moveCost*float64(d.moves) - secondCost*d.seconds) / d.owed
}
