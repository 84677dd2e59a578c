package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/agateturn/agateturn/queue"
)

// Allocator divides the caps over the pools, for one term of the fleet owner.
type Allocator struct {
	pools map[string]*poolState
	// names holds the pools in a fixed order, without those that left the configuration.
	names      []string
	workspaces map[string]*workspace
	// sorted holds the names of workspaces in order; nil if it must be made again.
	sorted []string
	// uncapped holds the workspaces of the configuration without any cap. They need no grants.
	uncapped map[string]bool
	// active holds the pools that took part in the last decision.
	active []string
	// version counts the decisions that changed a grant.
	version uint64
}

// poolState is what is known about a pool.
type poolState struct {
	// floor is the lowest fencing token whose reports count, fence that of the last one that knew its use, 0 before that.
	floor, fence uint64
	sequence     uint64
	reportedAt   time.Time
	// usageKnown is false while a successor of the owner with that token does not know what runs.
	usageKnown bool
}

// workspace is one workspace and its part in each pool.
type workspace struct {
	cap   vector
	parts map[string]*part
	// dirty means that something has changed since the last decision, which was at decidedAt.
	dirty     bool
	decidedAt time.Time
	// removed means that the configuration does not name it any more. Its cap is adopted if this fleet owner never knew it.
	removed, adopted bool
	saving           saving
}

// part is a workspace in one pool. limit is the one last confirmed.
type part struct {
	// unlimited marks the resources for which the pool has no limit.
	unlimited                  [resourceCount]bool
	limit, used, waiting, next vector
	waited                     time.Duration
	// grant is the one limit that is not confirmed, of batch version sent; sent is 0 if there is none.
	grant vector
	sent  uint64
}

// reserved returns the most that may run, or start without another grant.
func (p *part) reserved() vector {
	v := p.limit.max(p.used)
	if p.sent != 0 {
		v = v.max(p.grant)
	}
	return v
}

// NewAllocator returns an Allocator that knows no pool.
func NewAllocator() *Allocator {
	return &Allocator{pools: map[string]*poolState{}, workspaces: map[string]*workspace{}}
}

// SetPools sets the pools of the configuration. What is reserved in a pool that is missing stays reserved.
func (a *Allocator) SetPools(names []string) {
	sorted := slices.Sorted(slices.Values(names))
	if slices.Equal(sorted, a.names) {
		return
	}
	a.names = sorted
	for _, name := range sorted {
		if a.pools[name] == nil {
			a.pools[name] = &poolState{}
		}
	}
	a.markAll()
}

// SetFence sets the lowest fencing token of a pool's owner whose reports count: that of the owner that the store named after
// this fleet owner had acquired the fleet. An earlier owner may answer although its successor, which still accepts the
// grants of the previous fleet owner, uses more than it reports.
func (a *Allocator) SetFence(pool string, fence uint64) {
	if p := a.pools[pool]; p != nil {
		p.floor = max(p.floor, fence)
	}
}

// SetWorkspaces sets the workspaces of the configuration. One that is missing keeps its cap until nothing of it runs or waits.
func (a *Allocator) SetWorkspaces(workspaces []queue.Workspace) {
	a.uncapped = map[string]bool{}
	named := make(map[string]bool, len(workspaces))
	for _, c := range workspaces {
		named[c.Name] = true
		limit := capVector(c.Cap)
		w := a.workspaces[c.Name]
		switch {
		case limit.isZero():
			a.uncapped[c.Name] = true
			a.drop(c.Name)
			continue
		case w == nil:
			w = a.add(c.Name)
		case w.cap == limit && !w.removed:
			continue
		}
		w.cap, w.removed, w.adopted, w.dirty = limit, false, false, true
	}
	for name, w := range a.workspaces {
		if !named[name] && !w.removed {
			w.removed, w.dirty = true, true
		}
	}
}

// Observe applies the report of a pool's owner. A report that is older than an applied one, or that comes from an owner
// before the last known one, changes nothing.
func (a *Allocator) Observe(now time.Time, pool string, r Report) {
	p := a.pools[pool]
	if p == nil || r.Fence < p.floor || (r.Sequence <= p.sequence && p.sequence != 0) {
		return
	}
	p.sequence, p.floor, p.usageKnown = r.Sequence, r.Fence, r.UsageKnown
	if !r.UsageKnown {
		return
	}
	replaced := r.Fence != p.fence
	p.fence, p.reportedAt = r.Fence, now
	usage := make(map[string]*Usage, len(r.Usage))
	for i := range r.Usage {
		usage[r.Usage[i].Workspace] = &r.Usage[i]
		a.adopt(&r.Usage[i])
	}
	none := &Usage{}
	for name, w := range a.workspaces {
		u := usage[name]
		if u == nil {
			u = none
		}
		w.observe(pool, u, r.Version, replaced)
		if w.removed && w.idle() {
			a.drop(name)
		}
	}
}

// adopt takes in a workspace that was removed from the configuration while another owner held the fleet.
func (a *Allocator) adopt(u *Usage) {
	if a.workspaces[u.Workspace] == nil && u.HasLimit && !a.uncapped[u.Workspace] {
		w := a.add(u.Workspace)
		w.removed, w.adopted = true, true
	}
}

func (a *Allocator) add(name string) *workspace {
	w := &workspace{parts: map[string]*part{}}
	a.workspaces[name] = w
	a.sorted = nil
	return w
}

func (a *Allocator) drop(name string) {
	if a.workspaces[name] != nil {
		delete(a.workspaces, name)
		a.sorted = nil
	}
}

// sortedNames returns the names of the workspaces in order.
func (a *Allocator) sortedNames() []string {
	if a.sorted == nil {
		a.sorted = slices.Sorted(maps.Keys(a.workspaces))
	}
	return a.sorted
}

// observe applies what a pool reports. The report confirms the grant if the request carried it, or if a new owner answers.
func (w *workspace) observe(pool string, u *Usage, version uint64, replaced bool) {
	p := w.parts[pool]
	if p == nil {
		p = &part{}
		w.parts[pool] = p
		w.dirty = true
	}
	w.apply(p, u)
	if p.sent != 0 && (replaced || p.sent <= version) {
		p.sent, w.dirty = 0, true
	}
}

func (w *workspace) apply(p *part, u *Usage) {
	before := *p
	p.used, p.waiting, p.next, p.waited = u.Used.vector(), u.Waiting.vector(), u.Next.vector(), u.WaitedFor
	p.limit = p.used
	for r, limit := range u.Limit.vector() {
		p.unlimited[r] = u.HasLimit && limit == NoLimit
		if u.HasLimit && limit != NoLimit {
			p.limit[r] = limit
		}
	}
	w.dirty = w.dirty || before != *p
}

// idle reports whether nothing of the workspace runs or waits.
func (w *workspace) idle() bool {
	for _, p := range w.parts {
		if !p.used.isZero() || !p.waiting.isZero() || !p.next.isZero() {
			return false
		}
	}
	return true
}

// Grants returns the grants of a pool that it has not confirmed.
func (a *Allocator) Grants(now time.Time, pool string) Batch {
	a.decide(now)
	p := a.pools[pool]
	if p == nil || p.fence == 0 || !p.usageKnown {
		return Batch{}
	}
	batch := Batch{Fence: p.fence, Version: a.version}
	for _, name := range a.sortedNames() {
		w := a.workspaces[name]
		if part := w.parts[pool]; part != nil && part.sent != 0 {
			batch.Grants = append(batch.Grants, Grant{Workspace: name, Limit: w.wireLimit(part.grant)})
		}
	}
	return batch
}

// wireLimit returns a limit with NoLimit for the resources without a cap.
func (w *workspace) wireLimit(v vector) Resources {
	for r := range v {
		if w.cap[r] == 0 {
			v[r] = NoLimit
		}
	}
	return v.resources()
}

// Allocation is how much of a workspace's cap is reserved in all pools together.
type Allocation struct {
	Workspace     string
	Cap, Reserved Resources
}

// Allocations returns the allocations of all workspaces, sorted by name.
func (a *Allocator) Allocations() []Allocation {
	out := make([]Allocation, 0, len(a.workspaces))
	for _, name := range a.sortedNames() {
		w := a.workspaces[name]
		out = append(out, Allocation{Workspace: name, Cap: w.cap.resources(), Reserved: w.reserved().resources()})
	}
	return out
}

func (w *workspace) reserved() (sum vector) {
	for _, p := range w.parts {
		sum = sum.plus(p.reserved())
	}
	return sum
}

func (a *Allocator) markAll() {
	for _, w := range a.workspaces {
		w.dirty = true
	}
}

// complete reports whether every pool has reported since the workspace is known.
func (a *Allocator) complete(w *workspace) bool {
	for _, name := range a.names {
		if w.parts[name] == nil {
			return false
		}
	}
	return len(a.names) > 0
}
