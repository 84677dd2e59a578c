package upkeep_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
)

const (
	burstLength    = 4 * time.Second
	dayLength      = 34 * time.Second
	warmup         = 10 * time.Second
	joinTime       = 300 * time.Millisecond
	coreMilli      = 32_000
	moveCost       = 0.089
	hostSecondCost = 0.079
)

// class describes one pool and its jobs. A job has a number of steps, each of width tasks that use milli thousandths of
// a core for length on average. A job that ends within its objective earns value. persistent is the number of
// persistent tasks on each of the pool's first five hosts.
type class struct {
	perSecond  float64
	steps      int
	width      int
	length     time.Duration
	milli      int64
	value      float64
	hosts      int
	persistent int
	// widthSpread is the spread of the widths of jobs; 0 if all have the same width.
	widthSpread float64
}

// maxWidthFactor bounds the width of a job, as a multiple of its class's width.
const maxWidthFactor = 4

var classes = []class{
	{9, 2, 5, 800 * time.Millisecond, 1800, 0.502, 9, 6, 0},
	{1.77, 2, 8, 1300 * time.Millisecond, 3800, 2.87, 9, 6, 0},
	{11.2, 2, 5, 800 * time.Millisecond, 1800, 0.502, 11, 6, 0},
	{2.17, 2, 8, 1300 * time.Millisecond, 3800, 2.87, 12, 6, 0},
}

type dayJob struct {
	class    int
	width    int
	arrived  time.Duration
	step     int
	waiting  int
	running  int
	finished bool
}

// arrival is the work of one job.
type arrival struct {
	at   time.Duration
	work int64
}

type dayTask struct {
	job  *dayJob
	ends time.Duration
}

type dayHost struct {
	upkeep.Host
	tasks       []dayTask
	persistent  int
	upAt        time.Duration
	incarnation int
	evacuating  bool
}

// day simulates the bursts of pools on hosts that a planner moves.
type day struct {
	now      time.Duration
	rand     *rand.Rand
	arrivals *rand.Rand
	classes  []class
	length   time.Duration
	// largeJobs maps arrival times to the number of jobs of maxWidthFactor times the usual width.
	largeJobs map[time.Duration]int
	// Orders are refused from rejectFrom to rejectTo, counted from the start of traffic.
	rejectFrom, rejectTo time.Duration
	// optimal moves empty hosts immediately to where they are needed, in place of the planner.
	optimal bool
	// shape is the demand of a class at a time, as a multiple of its mean.
	shape           func(c int, t time.Duration) float64
	hosts           []*dayHost
	jobs            [][]*dayJob
	arrived         []int64
	recentArrivals  [][]arrival
	moves           int
	hostSeconds     float64
	offeredValue    float64
	earnedValue     float64
	killed          int
	nextMigrationAt []time.Duration
	// wave is requested from the time Seen on; waveEnd is when it was completed.
	wave    *upkeep.Wave
	begun   int
	waveEnd time.Time
}

func poolName(c int) string { return fmt.Sprintf("pool%d", c) }

// rotatingBursts gives each class in turn four times its mean rate.
func rotatingBursts(c int, t time.Duration) float64 {
	if int(t/burstLength)%len(classes) == c {
		return 4
	}
	return 0.05
}

func newDay(seed uint64, shape func(int, time.Duration) float64) *day {
	d := &day{
		classes: classes, length: dayLength,
		rand: rand.New(rand.NewPCG(seed, 2)), arrivals: rand.New(rand.NewPCG(seed, 3)), jobs: make([][]*dayJob, len(classes)),
		shape: shape, arrived: make([]int64, len(classes)), recentArrivals: make([][]arrival, len(classes)), nextMigrationAt: make([]time.Duration, len(classes)),
	}
	for c, class := range classes {
		for n := range class.hosts {
			m := d.add(poolName(c), n)
			if n < 5 {
				m.persistent = class.persistent
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
	class := d.classes[c]
	t := d.now - warmup
	if t < 0 || t >= d.length {
		return
	}
	for range d.largeJobs[t] * (c % 2) {
		d.addJob(c, maxWidthFactor*class.width)
	}
	rate := class.perSecond * d.shape(c, t)
	for d.arrivals.Float64() < rate*tick.Seconds()/(1+rate*tick.Seconds()) {
		d.addJob(c, d.drawWidth(class))
	}
}

// addJob adds a job of a class.
func (d *day) addJob(c, width int) {
	class := d.classes[c]
	d.jobs[c] = append(d.jobs[c], &dayJob{class: c, width: width, arrived: d.now, waiting: width})
	work := int64(class.steps*width) * class.milli * class.length.Milliseconds()
	d.arrived[c] += work
	d.recentArrivals[c] = append(d.recentArrivals[c], arrival{d.now, work})
	d.offeredValue += class.value
}

// drawWidth draws the width of a job.
func (d *day) drawWidth(class class) int {
	if class.widthSpread == 0 {
		return class.width
	}
	drawn := float64(class.width) * math.Exp(class.widthSpread*d.arrivals.NormFloat64()-class.widthSpread*class.widthSpread/2)
	return max(1, min(maxWidthFactor*class.width, int(drawn)))
}

// largest returns the work of the largest job of the last second.
func (d *day) largest(c int) int64 {
	d.recentArrivals[c] = slices.DeleteFunc(d.recentArrivals[c], func(a arrival) bool { return d.now-a.at > time.Second })
	most := int64(0)
	for _, a := range d.recentArrivals[c] {
		most = max(most, a.work)
	}
	return most
}

func (m *dayHost) free(c int) int64 {
	return coreMilli - int64(len(m.tasks))*classes[c].milli - int64(m.persistent)*3000
}

// serve ends and starts the tasks of a pool, oldest jobs first, on the fullest hosts.
func (d *day) serve(c int) {
	class := d.classes[c]
	var up []*dayHost
	for _, m := range d.hosts {
		if m.Pool != poolName(c) || m.State != upkeep.Up || d.now < m.upAt+joinTime {
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
			d.finishStep(j)
		}
	}
	d.jobs[c] = slices.DeleteFunc(d.jobs[c], func(j *dayJob) bool { return j.finished })
	slices.SortStableFunc(up, func(a, b *dayHost) int { return int(a.free(c) - b.free(c)) })
	d.migratePersistent(c, up)
	slices.SortStableFunc(d.jobs[c], func(a, b *dayJob) int {
		return cmp.Or(d.lateRank(a)-d.lateRank(b), b.step-a.step, a.waiting-b.waiting)
	})
	for _, j := range d.jobs[c] {
		for _, m := range up {
			for j.waiting > 0 && !m.evacuating && m.free(c) >= class.milli {
				length := time.Duration(float64(class.length) * (0.5 + d.rand.Float64()))
				m.tasks = append(m.tasks, dayTask{j, d.now + length})
				j.waiting--
				j.running++
			}
		}
	}
}

// migratePersistent moves persistent tasks off a host that is being evacuated, one at a time.
func (d *day) migratePersistent(c int, up []*dayHost) {
	if d.now < d.nextMigrationAt[c] {
		return
	}
	for _, m := range up {
		if !m.evacuating || m.persistent == 0 {
			continue
		}
		for _, to := range up {
			if !to.evacuating && to.persistent < d.classes[c].persistent && to.free(c) >= 3000 {
				m.persistent--
				to.persistent++
				d.nextMigrationAt[c] = d.now + 200*time.Millisecond
				return
			}
		}
	}
}

func (d *day) finishStep(j *dayJob) {
	class := d.classes[j.class]
	j.step++
	if j.step < class.steps {
		j.waiting = j.width
		return
	}
	j.finished = true
	objective := objective(j.class)
	took := d.now - j.arrived
	switch {
	case took <= objective:
		d.earnedValue += class.value
	case took <= 3*objective:
		d.earnedValue += class.value * 0.07
	}
}

func objective(c int) time.Duration {
	chain := time.Duration(classes[c].steps) * classes[c].length
	return time.Duration(1.6*float64(chain)) + 600*time.Millisecond
}

// lateRank is 1 for a job that can no longer meet its objective.
func (d *day) lateRank(j *dayJob) int {
	left := time.Duration(classes[j.class].steps-j.step) * classes[j.class].length
	if d.now+left > j.arrived+objective(j.class) {
		return 1
	}
	return 0
}

func (d *day) status(c int) *pb.PoolStatusResponse {
	class := d.classes[c]
	out := &pb.PoolStatusResponse{Owner: true, Fence: 1, ArrivedMilliMs: d.arrived[c], LargestMilliMs: d.largest(c)}
	for _, j := range d.jobs[c] {
		work := int64(j.waiting) * class.milli * class.length.Milliseconds()
		out.WaitingTasks += int64(j.waiting)
		out.BacklogMilliMs += work
		out.LateMilliMs += work * int64(d.lateRank(j))
	}
	for _, m := range d.hosts {
		if m.Pool != poolName(c) || m.State != upkeep.Up || d.now < m.upAt+joinTime {
			continue
		}
		w := &pb.WorkerLoad{Id: m.Worker, Tasks: int64(len(m.tasks) + m.persistent), PersistentTasks: int64(m.persistent)}
		w.UsedCpuMilli = int64(len(m.tasks))*class.milli + int64(m.persistent)*3000
		w.Evacuated = m.evacuating && w.Tasks == 0
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
	d.killed += len(m.tasks) + m.persistent
	m.tasks = nil
	m.incarnation++
	m.State = state
	m.Worker = fmt.Sprintf("%s/%d", m.ID, m.incarnation)
	m.upAt = d.now + length
	return m
}

func (d *day) advance() {
	d.now += tick
	for _, m := range d.hosts {
		if m.State != upkeep.Up && d.now >= m.upAt {
			m.State = upkeep.Up
		}
		if m.Pool != "spare" {
			d.hostSeconds += tick.Seconds()
		}
	}
	for c := range d.classes {
		d.arrive(c)
		d.serve(c)
	}
}
