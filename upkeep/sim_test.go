package upkeep_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
)

const (
	tick       = 50 * time.Millisecond
	upkeepTime = 2 * time.Second
	moveTime   = 1500 * time.Millisecond
)

// fault holds the probabilities that an order is refused, that its answer is lost, or that it is carried out late
// without an answer.
type fault struct{ refused, lost, late float64 }

// simHost is a simulated host.
type simHost struct {
	upkeep.Host
	incarnation int
	tasks       int
	persistent  int
	upAt        time.Time
	done        map[int64]bool
	downWave    int64
}

// sim simulates a host service and the owners of its pools. The persistent tasks of a pool are stopped one after the
// other.
type sim struct {
	now      time.Time
	rand     *rand.Rand
	fault    fault
	hosts    map[string]*simHost
	pools    map[string]bool
	evacuate map[string][]string
	arrived  map[string]int64
	moves    int
	// persistentInterval is the least time between two such stops.
	persistentInterval time.Duration
	persistentMovedAt  map[string]time.Time
	delayed            map[time.Time][]func()
	wave               upkeep.Wave
	violations         []string
	killed             int
}

func newSim(seed uint64, perPool, pools int, f fault) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), fault: f,
		hosts: map[string]*simHost{}, pools: map[string]bool{"spare": true},
		persistentInterval: 700 * time.Millisecond,
		arrived:            map[string]int64{}, evacuate: map[string][]string{}, persistentMovedAt: map[string]time.Time{}, delayed: map[time.Time][]func(){},
	}
	for p := range pools {
		pool := fmt.Sprintf("pool%d", p)
		s.pools[pool] = false
		for m := range perPool {
			s.add(pool, fmt.Sprintf("%s-m%d", pool, m), 1+s.rand.IntN(3), s.rand.IntN(3))
		}
	}
	for m := range perPool / 2 {
		s.add("spare", fmt.Sprintf("spare-m%d", m), 0, 0)
	}
	return s
}

func (s *sim) add(pool, id string, tasks, persistent int) {
	m := &simHost{tasks: tasks, persistent: persistent, done: map[int64]bool{}}
	m.Host = upkeep.Host{ID: id, Pool: pool, State: upkeep.Up, Worker: id + "/0", CPUMilli: 1000}
	s.hosts[id] = m
}

func (s *sim) list() []upkeep.Host {
	var out []upkeep.Host
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		out = append(out, s.hosts[id].Host)
	}
	return out
}

// advance advances the time by one tick: delayed orders, returning hosts, and the work of the pools' owners.
func (s *sim) advance() {
	s.now = s.now.Add(tick)
	for _, at := range slices.SortedFunc(maps.Keys(s.delayed), time.Time.Compare) {
		if at.After(s.now) {
			break
		}
		for _, f := range s.delayed[at] {
			f()
		}
		delete(s.delayed, at)
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		m := s.hosts[id]
		if m.State != upkeep.Up && m.State != upkeep.Down && !s.now.Before(m.upAt) {
			m.State = upkeep.Up
			m.downWave = 0
			m.incarnation++
			m.Worker = fmt.Sprintf("%s/%d", id, m.incarnation)
		}
		if m.State == upkeep.Up && !s.pools[m.Pool] {
			s.runTasks(m)
		}
	}
}

func (s *sim) runTasks(m *simHost) {
	evacuating := slices.Contains(s.evacuate[m.Pool], m.Worker)
	if m.tasks > 0 && s.rand.Float64() < 0.05 {
		m.tasks--
	}
	if !evacuating && m.tasks < 3 && s.rand.Float64() < 0.05 {
		m.tasks++
	}
	if !evacuating || m.persistent == 0 || s.now.Sub(s.persistentMovedAt[m.Pool]) < s.persistentInterval {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		other := s.hosts[id]
		if other.Pool == m.Pool && other.State == upkeep.Up && !slices.Contains(s.evacuate[m.Pool], other.Worker) {
			s.persistentMovedAt[m.Pool] = s.now
			m.persistent--
			other.persistent++
			return
		}
	}
}

// loads returns the loads of the pools, and adds the work that arrived in this tick.
func (s *sim) loads() map[string]upkeep.PoolLoad {
	out := map[string]upkeep.PoolLoad{}
	for n, pool := range slices.Sorted(maps.Keys(s.pools)) {
		// The pools take turns in getting more work than they can run.
		if int(s.now.Unix()/3)%len(s.pools) == n {
			s.arrived[pool] += 8000 * tick.Milliseconds()
		}
		status := &pb.PoolStatusResponse{Owner: true, ArrivedMilliMs: s.arrived[pool]}
		out[pool] = upkeep.PoolLoad{Spare: s.pools[pool], Status: status}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		m := s.hosts[id]
		if m.State != upkeep.Up {
			continue
		}
		status := out[m.Pool].Status
		status.Workers = append(status.Workers, &pb.WorkerLoad{
			Id: m.Worker, Tasks: int64(m.tasks + m.persistent), PersistentTasks: int64(m.persistent), RemainingMs: int64(m.tasks) * 900,
			Evacuated: m.tasks+m.persistent == 0 && slices.Contains(s.evacuate[m.Pool], m.Worker),
		})
	}
	return out
}

// order carries out an order, now or later, and returns its result.
func (s *sim) order(begin func() upkeep.Result) upkeep.Result {
	switch x := s.rand.Float64(); {
	case x < s.fault.refused:
		return upkeep.Refused
	case x < s.fault.refused+s.fault.lost:
		if s.rand.IntN(2) == 0 {
			begin()
		}
		return upkeep.Unknown
	case x < s.fault.refused+s.fault.lost+s.fault.late:
		at := s.now.Add(time.Duration(s.rand.IntN(1500)) * time.Millisecond)
		s.delayed[at] = append(s.delayed[at], func() { begin() })
		return upkeep.Unknown
	}
	return begin()
}

func (s *sim) upkeep(o upkeep.Order) upkeep.Result {
	m := s.hosts[o.Host]
	switch {
	case m == nil:
		return upkeep.Unfit
	case m.done[o.Wave]:
		return upkeep.Done
	case m.State != upkeep.Up:
		return upkeep.Busy
	}
	down := 0
	for _, other := range s.hosts {
		if other.downWave == o.Wave && other.State == upkeep.Upkeep {
			down++
		}
	}
	if down >= s.wave.Cap {
		s.violations = append(s.violations, fmt.Sprintf("%s: upkeep of %s began while %d were down", s.now.Format(time.StampMilli), o.Host, down))
	}
	m.done[o.Wave] = true
	m.downWave = o.Wave
	s.leave(m, upkeep.Upkeep, upkeepTime)
	return upkeep.Done
}

func (s *sim) move(o upkeep.MoveOrder) upkeep.Result {
	m := s.hosts[o.Host]
	switch {
	case m == nil:
		return upkeep.Unfit
	case m.Pool == o.Pool:
		return upkeep.Done
	case m.State != upkeep.Up:
		return upkeep.Busy
	}
	m.Pool = o.Pool
	s.moves++
	s.leave(m, upkeep.Moving, moveTime)
	return upkeep.Done
}

func (s *sim) leave(m *simHost, state upkeep.HostState, length time.Duration) {
	s.killed += m.tasks + m.persistent
	m.tasks = 0
	m.persistent = 0
	m.State = state
	m.upAt = s.now.Add(length)
}
