package quota_test

import (
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
)

// task is a task or a gang. It runs on the workers from its start until its end.
type task struct {
	workspace string
	need      quota.Resources
	since     time.Time
	duration  time.Duration
	endsAt    time.Time
}

// order is a start that the workers have not executed yet.
type order struct {
	*task
	fence uint64
}

// poolOwner models the owner of a pool: it starts waiting tasks in order as far as the limits allow.
type poolOwner struct {
	fence, fleetFence, sequence uint64
	limits                      *quota.Limits
	// counted holds the runs and starts whose end is not certain.
	counted map[*task]bool
	dead    bool
}

// workers are the workers of a pool, and what the successors of an owner learn from the store.
type workers struct {
	name    string
	fence   uint64
	runs    map[*task]bool
	late    []order
	waiting []*task
	owners  []*poolOwner
	polled  time.Time
}

// fleetOwner models the fleet owner with the pools that it polls.
type fleetOwner struct {
	fence, sequence uint64
	allocator       *quota.Allocator
	caps            []queue.Workspace
}

// request is a status request in flight; caps are those that its grants rest on.
type request struct {
	from            *fleetOwner
	pool            *workers
	sequence, fence uint64
	batch           quota.Batch
	caps            []queue.Workspace
}

type answer struct {
	to     *fleetOwner
	pool   *workers
	report quota.Report
}

// model is a deployment. Its store knows the current owners by their fencing tokens.
type model struct {
	now      time.Time
	nextID   uint64
	pools    []*workers
	fleets   []*fleetOwner
	caps     []queue.Workspace
	requests []request
	answers  []answer
	// possible is what each workspace may have running at most without another grant, as of the last check.
	possible map[string]quota.Resources
	// bound is the largest cap in force as of the last check.
	bound map[string]quota.Resources
}

func newModel(pools int, caps []queue.Workspace) *model {
	m := &model{now: time.Unix(1, 0), caps: caps, possible: map[string]quota.Resources{}, bound: map[string]quota.Resources{}}
	for n := range pools {
		m.pools = append(m.pools, &workers{name: string(rune('a' + n)), runs: map[*task]bool{}})
	}
	m.newFleet()
	for _, p := range m.pools {
		m.replace(p)
	}
	return m
}

func (m *model) id() uint64 { m.nextID++; return m.nextID }

// newFleet makes another host the fleet owner; the earlier ones go on until they are removed.
func (m *model) newFleet() {
	f := &fleetOwner{fence: m.id(), allocator: quota.NewAllocator()}
	m.fleets = append(m.fleets, f)
	var names []string
	for _, p := range m.pools {
		names = append(names, p.name)
	}
	f.allocator.SetPools(names)
	for _, p := range m.pools {
		if o := p.owner(); o != nil {
			f.allocator.SetFence(p.name, o.fence)
		}
	}
	f.configure(m.caps)
}

func (f *fleetOwner) configure(caps []queue.Workspace) {
	f.caps = caps
	f.allocator.SetWorkspaces(caps)
}

func (p *workers) owner() *poolOwner {
	if len(p.owners) == 0 {
		return nil
	}
	return p.owners[len(p.owners)-1]
}

// replace gives a pool a new owner that has not held the workers yet. The earlier ones go on.
func (m *model) replace(p *workers) {
	o := &poolOwner{fence: m.id(), fleetFence: m.fleets[len(m.fleets)-1].fence, limits: quota.NewLimits(), counted: map[*task]bool{}}
	o.limits.SetWorkspaces(m.caps, nil)
	p.owners = append(p.owners, o)
}

// takeOver makes the workers reject the orders of earlier owners, and tells the owner what runs.
func (m *model) takeOver(p *workers, o *poolOwner) {
	if o.limits.Known() || o.fence < p.fence {
		return
	}
	p.fence = o.fence
	for t := range p.runs {
		o.counted[t] = true
	}
	o.limits.Found(p.usage(o, m.now))
}

func add(a, b quota.Resources) quota.Resources {
	return quota.Resources{CPUMilli: a.CPUMilli + b.CPUMilli, MemoryMB: a.MemoryMB + b.MemoryMB, GPU: a.GPU + b.GPU}
}

func largest(a, b quota.Resources) quota.Resources {
	return quota.Resources{CPUMilli: max(a.CPUMilli, b.CPUMilli), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

// within compares in the resources that have a limit.
func within(v, limit quota.Resources) bool {
	return (limit.CPUMilli == quota.NoLimit || v.CPUMilli <= limit.CPUMilli) &&
		(limit.MemoryMB == quota.NoLimit || v.MemoryMB <= limit.MemoryMB) && (limit.GPU == quota.NoLimit || v.GPU <= limit.GPU)
}

func (o *poolOwner) used() map[string]quota.Resources {
	out := map[string]quota.Resources{}
	for t := range o.counted {
		out[t.workspace] = add(out[t.workspace], t.need)
	}
	return out
}

func (p *workers) usage(o *poolOwner, now time.Time) []quota.Usage {
	by := map[string]*quota.Usage{}
	get := func(name string) *quota.Usage {
		if by[name] == nil {
			by[name] = &quota.Usage{Workspace: name}
		}
		return by[name]
	}
	for name, used := range o.used() {
		get(name).Used = used
	}
	for _, t := range p.waiting {
		u := get(t.workspace)
		u.Waiting = add(u.Waiting, t.need)
		if u.Next == (quota.Resources{}) {
			u.Next, u.WaitedFor = t.need, now.Sub(t.since)
		}
	}
	var out []quota.Usage
	for _, name := range slices.Sorted(maps.Keys(by)) {
		out = append(out, *by[name])
	}
	return out
}

// start starts what the limits allow: within a workspace in order, as the first one may be a gang that must not starve.
func (m *model) start(p *workers, o *poolOwner) {
	if !o.limits.Known() || o.dead {
		return
	}
	limits, used := o.limits.InForce(), o.used()
	blocked := map[string]bool{}
	p.waiting = slices.DeleteFunc(p.waiting, func(t *task) bool {
		limit, limited := limits[t.workspace]
		if blocked[t.workspace] || limited && !within(add(used[t.workspace], t.need), limit) {
			blocked[t.workspace] = true
			return false
		}
		used[t.workspace] = add(used[t.workspace], t.need)
		o.counted[t] = true
		p.late = append(p.late, order{task: t, fence: o.fence})
		return true
	})
}

// execute executes a late start, unless the workers have seen a later owner, which then places the task again.
func (m *model) execute(p *workers, n int) {
	o := p.late[n]
	p.late = slices.Delete(p.late, n, n+1)
	if o.fence < p.fence {
		p.waiting = append(p.waiting, o.task)
		return
	}
	o.endsAt = m.now.Add(o.duration)
	p.runs[o.task] = true
}

// end ends runs whose time is up; only the owners that can hold the workers learn it.
func (m *model) end(p *workers) {
	for t := range p.runs {
		if m.now.After(t.endsAt) {
			delete(p.runs, t)
			if o := p.owner(); o.limits.Known() {
				delete(o.counted, t)
			}
		}
	}
}

func (m *model) poll(f *fleetOwner, p *workers) {
	f.sequence++
	batch := f.allocator.Grants(m.now, p.name)
	m.requests = append(m.requests, request{from: f, pool: p, sequence: f.sequence, fence: f.fence, batch: batch, caps: f.caps})
}

func (o *poolOwner) accepts(r request) bool {
	return r.fence > o.fleetFence || r.fence == o.fleetFence && r.sequence >= o.sequence
}

// deliver delivers a request to an owner of the pool, which may have been replaced.
func (m *model) deliver(r request, o *poolOwner) {
	if o.dead || !o.accepts(r) {
		return
	}
	o.fleetFence, o.sequence = r.fence, r.sequence
	if r.batch.Fence == o.fence {
		o.limits.Apply(r.batch.Grants)
	}
	m.answers = append(m.answers, answer{to: r.from, pool: r.pool, report: quota.Report{
		Fence: o.fence, Sequence: r.sequence, Version: r.batch.Version, UsageKnown: o.limits.Known(),
		Usage: o.limits.Report(r.pool.usage(o, m.now)),
	}})
}

func (m *model) answer(a answer) { a.to.allocator.Observe(m.now, a.pool.name, a.report) }

// calm runs the deployment without faults: a poll every 120 ms, or 40 ms while a grant waits, with a round trip of 10 ms.
func (m *model) calm(d time.Duration, check func()) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(10 * time.Millisecond) {
		for _, a := range m.answers {
			m.answer(a)
		}
		m.answers = nil
		for _, r := range m.requests {
			m.deliver(r, r.pool.owner())
		}
		m.requests = nil
		for _, p := range m.pools {
			m.takeOver(p, p.owner())
			m.end(p)
			m.start(p, p.owner())
			for len(p.late) > 0 {
				m.execute(p, 0)
			}
			f := m.fleets[len(m.fleets)-1]
			since := m.now.Sub(p.polled)
			if since >= 120*time.Millisecond || since >= 40*time.Millisecond && len(f.allocator.Grants(m.now, p.name).Grants) > 0 {
				p.polled = m.now
				m.poll(f, p)
			}
		}
		check()
	}
}

func (m *model) submit(p *workers, name string, cpu, memory int64, duration time.Duration) *task {
	t := &task{workspace: name, need: quota.Resources{CPUMilli: cpu, MemoryMB: memory}, since: m.now, duration: duration}
	p.waiting = append(p.waiting, t)
	return t
}

// running sums what runs on all workers.
func (m *model) running(name string) (sum quota.Resources) {
	for _, p := range m.pools {
		for t := range p.runs {
			if t.workspace == name {
				sum = add(sum, t.need)
			}
		}
	}
	return sum
}
