package upkeep_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

const (
	turnLength = 4 * time.Second
	dayLength  = 34 * time.Second
	lead       = 10 * time.Second
	joinTime   = 300 * time.Millisecond
	coreMilli  = 32_000
	moveCost   = 0.089
	secondCost = 0.079
)

// class is the work of one pool.
type class struct {
	perSecond float64
	steps     int
	width     int
	length    time.Duration
	milli     int64
	worth     float64
	hosts     int
	lasting   int
}

var classes = []class{
	{9, 2, 5, 800 * time.Millisecond, 1800, 0.502, 9, 6},
	{1.77, 2, 8, 1300 * time.Millisecond, 3800, 2.87, 9, 6},
	{11.2, 2, 5, 800 * time.Millisecond, 1800, 0.502, 11, 6},
	{2.17, 2, 8, 1300 * time.Millisecond, 3800, 2.87, 12, 6},
}

type dayJob struct {
	class    int
	arrived  time.Duration
	step     int
	waiting  int
	running  int
	finished bool
}

type dayTask struct {
	job  *dayJob
	ends time.Duration
}

type dayHost struct {
	upkeep.Host
	tasks   []dayTask
	lasting int
	backAt  time.Duration
	lives   int
	leaves  bool
}

// day plays the turns of pools on hosts that a planner moves.
type day struct {
	now      time.Duration
	rand     *rand.Rand
	arrivals *rand.Rand
	// shape is the demand of a class at a time, as a multiple of its mean.
	shape    func(c int, t time.Duration) float64
	hosts    []*dayHost
	jobs     [][]*dayJob
	arrived  []int64
	moves    int
	seconds  float64
	owed     float64
	earned   float64
	killed   int
	rehoused []time.Duration
	// wave is asked for from its Seen on; waveEnd is when it was completed.
	wave    *upkeep.Wave
	begun   int
	waveEnd time.Time
}

func poolName(c int) string { return fmt.Sprintf("pool%d", c) }

// inTurns gives each class in turn four times its mean.
func inTurns(c int, t time.Duration) float64 {
	if int(t/turnLength)%len(classes) == c {
		return 4
	}
	return 0.05
}

func newDay(seed uint64, shape func(int, time.Duration) float64) *day {
	d := &day{
		rand: rand.New(rand.NewPCG(seed, 2)), arrivals: rand.New(rand.NewPCG(seed, 3)), jobs: make([][]*dayJob, len(classes)),
		shape: shape, arrived: make([]int64, len(classes)), rehoused: make([]time.Duration, len(classes)),
	}
	for c, class := range classes {
		for n := range class.hosts {
			m := d.add(poolName(c), n)
			if n < 5 {
				m.lasting = class.lasting
			}
		}
	}
	for n := range 8 {
		d.add("spare", n)
	}
	return d
}

func (d *day) add(pool string, n int) *dayHost {
	m := &dayHost{}
	id := fmt.Sprintf("%s-m%d", pool, n)
	m.Host = upkeep.Host{ID: id, Pool: pool, State: upkeep.Up, Worker: id + "/0", CPUMilli: coreMilli, MemoryMB: 65536}
	d.hosts = append(d.hosts, m)
	return m
}

func (d *day) arrive(c int) {
	class := classes[c]
	t := d.now - lead
	if t < 0 || t >= dayLength {
		return
	}
	rate := class.perSecond * d.shape(c, t)
	for d.arrivals.Float64() < rate*tick.Seconds()/(1+rate*tick.Seconds()) {
		d.jobs[c] = append(d.jobs[c], &dayJob{class: c, arrived: d.now, waiting: class.width})
		d.arrived[c] += int64(class.steps*class.width) * class.milli * class.length.Milliseconds()
		d.owed += class.worth
	}
}

func (m *dayHost) free(c int) int64 {
	return coreMilli - int64(len(m.tasks))*classes[c].milli - int64(m.lasting)*3000
}

// serve ends and starts the tasks of a pool, oldest jobs first, on the hosts that are fullest.
func (d *day) serve(c int) {
	class := classes[c]
	var up []*dayHost
	for _, m := range d.hosts {
		if m.Pool != poolName(c) || m.State != upkeep.Up || d.now < m.backAt+joinTime {
			continue
		}
		up = append(up, m)
		m.tasks = slices.DeleteFunc(m.tasks, func(t dayTask) bool {
			if t.ends > d.now {
				return false
			}
			t.job.running--
			return true
		})
	}
	for _, j := range d.jobs[c] {
		if j.waiting == 0 && j.running == 0 {
			d.next(j)
		}
	}
	d.jobs[c] = slices.DeleteFunc(d.jobs[c], func(j *dayJob) bool { return j.finished })
	slices.SortStableFunc(up, func(a, b *dayHost) int { return int(a.free(c) - b.free(c)) })
	d.rehouse(c, up)
	slices.SortStableFunc(d.jobs[c], func(a, b *dayJob) int {
		return cmp.Or(d.late(a)-d.late(b), b.step-a.step, a.waiting-b.waiting)
	})
	for _, j := range d.jobs[c] {
		for _, m := range up {
			for j.waiting > 0 && !m.leaves && m.free(c) >= class.milli {
				length := time.Duration(float64(class.length) * (0.5 + d.rand.Float64()))
				m.tasks = append(m.tasks, dayTask{j, d.now + length})
				j.waiting--
				j.running++
			}
		}
	}
}

// rehouse takes persistent tasks off a host that is to be emptied, one at a time.
func (d *day) rehouse(c int, up []*dayHost) {
	if d.now < d.rehoused[c] {
		return
	}
	for _, m := range up {
		if !m.leaves || m.lasting == 0 {
			continue
		}
		for _, to := range up {
			if !to.leaves && to.lasting < classes[c].lasting && to.free(c) >= 3000 {
				m.lasting--
				to.lasting++
				d.rehoused[c] = d.now + 200*time.Millisecond
				return
			}
		}
	}
}

func (d *day) next(j *dayJob) {
	class := classes[j.class]
	j.step++
	if j.step < class.steps {
		j.waiting = class.width
		return
	}
	j.finished = true
	objective := objective(j.class)
	took := d.now - j.arrived
	switch {
	case took <= objective:
		d.earned += class.worth
	case took <= 3*objective:
		d.earned += class.worth * 0.07
	}
}

func objective(c int) time.Duration {
	chain := time.Duration(classes[c].steps) * classes[c].length
	return time.Duration(1.6*float64(chain)) + 600*time.Millisecond
}

// late is 1 for a job that cannot be on time any more.
func (d *day) late(j *dayJob) int {
	left := time.Duration(classes[j.class].steps-j.step) * classes[j.class].length
	if d.now+left > j.arrived+objective(j.class) {
		return 1
	}
	return 0
}

func (d *day) status(c int) *pb.PoolStatusResponse {
	class := classes[c]
	out := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: d.arrived[c]}
	for _, j := range d.jobs[c] {
		work := int64(j.waiting) * class.milli * class.length.Milliseconds()
		out.WaitingTasks += int64(j.waiting)
		out.BacklogMilliMs += work
		out.LateMilliMs += work * int64(d.late(j))
	}
	for _, m := range d.hosts {
		if m.Pool != poolName(c) || m.State != upkeep.Up || d.now < m.backAt+joinTime {
			continue
		}
		w := &pb.WorkerLoad{Id: m.Worker, Tasks: int64(len(m.tasks) + m.lasting), PersistentTasks: int64(m.lasting)}
		w.UsedCpuMilli = int64(len(m.tasks))*class.milli + int64(m.lasting)*3000
		w.Evacuated = m.leaves && w.Tasks == 0
		for _, t := range m.tasks {
			w.RemainingMs = max(w.RemainingMs, (t.ends - d.now).Milliseconds())
		}
		out.Workers = append(out.Workers, w)
	}
	return out
}

func (d *day) move(o upkeep.MoveOrder) upkeep.Result {
	d.moves++
	m := d.leave(o.Host, upkeep.Moving, moveTime)
	m.Pool = o.Pool
	return upkeep.Done
}

func (d *day) leave(id string, state upkeep.HostState, length time.Duration) *dayHost {
	n := slices.IndexFunc(d.hosts, func(m *dayHost) bool { return m.ID == id })
	m := d.hosts[n]
	d.killed += len(m.tasks) + m.lasting
	m.tasks = nil
	m.lives++
	m.State = state
	m.Worker = fmt.Sprintf("%s/%d", m.ID, m.lives)
	m.backAt = d.now + length
	return m
}

func (d *day) advance() {
	d.now += tick
	for _, m := range d.hosts {
		if m.State != upkeep.Up && d.now >= m.backAt {
			m.State = upkeep.Up
		}
		if m.Pool != "spare" {
			d.seconds += tick.Seconds()
		}
	}
	for c := range classes {
		d.arrive(c)
		d.serve(c)
	}
}

// play runs a whole day; statuses are read each 250 ms.
func (d *day) play(cfg upkeep.Config) {
	zero := time.Unix(1_000_000, 0)
	planner := upkeep.New(cfg, zero)
	pools := map[string]upkeep.PoolLoad{"spare": {Spare: true}}
	var polled time.Duration
	for d.now < lead+dayLength+3*time.Second {
		d.advance()
		if d.now-polled >= 250*time.Millisecond {
			polled = d.now
			for c := range classes {
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
			planner.MoveResult(zero.Add(d.now+2*time.Millisecond), o, d.move(o))
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

// worth is what a day earned less its price, as a share of what it owed.
func (d *day) worth() float64 {
	return (d.earned - moveCost*float64(d.moves) - secondCost*d.seconds) / d.owed
}

func meanWorth(t *testing.T, name string, shape func(int, time.Duration) float64, cfg upkeep.Config) float64 {
	const days = 3
	sum := 0.0
	var earned, owed, seconds float64
	moves := 0
	for seed := range uint64(days) {
		d := newDay(seed, shape)
		d.play(cfg)
		assert.Equal(t, d.killed, 0)
		sum += d.worth()
		earned += d.earned
		owed += d.owed
		seconds += d.seconds
		moves += d.moves
	}
	n := float64(days)
	t.Logf("%-10s worth %.3f benefit %.3f moves %.0f host-seconds %.0f owed %.0f", name, sum/n, earned/owed, float64(moves)/n, seconds/n, owed/n)
	return sum / n
}

func TestForeseeingEarnsMoreThanReactingAndThanNoMoves(t *testing.T) {
	cfg := upkeep.DefaultConfig(upkeepTime, moveTime)
	foresee := meanWorth(t, "foreseeing", inTurns, cfg)
	cfg.Moves.Foresee = false
	react := meanWorth(t, "reacting", inTurns, cfg)
	cfg.Moves.Enabled = false
	never := meanWorth(t, "never", inTurns, cfg)
	assert.Assert(t, foresee > react && foresee > never)
}

func TestWaveBesideMovesIsInTime(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed, inTurns)
		d.addWave()
		d.play(upkeep.DefaultConfig(upkeepTime, moveTime))
		assert.Equal(t, d.begun, len(d.wave.Hosts))
		assert.Equal(t, d.killed, 0)
		took := d.waveEnd.Sub(d.wave.Seen)
		t.Logf("seed %d: %d hosts in %s, worth %.3f", seed, d.begun, took, d.worth())
		assert.Assert(t, took > 0 && took <= d.wave.Within, "took %s", took)
	}
}
