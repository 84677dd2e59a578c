package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
)

const workspaceCount = 20

func workspaceName(n int) string { return fmt.Sprintf("w%02d", n) }

func drawCaps(t *rapid.T) []queue.Workspace {
	caps := make([]queue.Workspace, workspaceCount)
	for n := range caps {
		caps[n].Name = workspaceName(n)
		caps[n].Cap.CPUMilli = rapid.SampledFrom([]int64{0, 4000, 10000, 30000}).Draw(t, "cpu")
		caps[n].Cap.MemoryMB = rapid.SampledFrom([]int64{0, 0, 8000, 20000}).Draw(t, "memory")
	}
	return caps
}

// check fails if what a workspace has running, or may start without another grant, grows beyond every cap that a fleet owner
// or a request in flight acts by.
func (m *model) check(t *rapid.T) {
	for n := range workspaceCount {
		name := workspaceName(n)
		bound, possible := m.capInForce(name), m.maximum(name)
		if !within(m.running(name), possible) {
			t.Fatalf("%s runs %v, more than its owners count (%v)", name, m.running(name), possible)
		}
		if !within(possible, largest(bound, m.possible[name])) {
			t.Fatalf("%s may run %v, before %v, cap %v", name, possible, m.possible[name], bound)
		}
		m.possible[name] = possible
	}
}

// capInForce returns the largest cap that a grant may rest on; a resource without a cap is bounded by nothing.
func (m *model) capInForce(name string) quota.Resources {
	versions := [][]queue.Workspace{m.caps}
	for _, f := range m.fleets {
		versions = append(versions, f.caps)
	}
	for _, r := range m.requests {
		if slices.ContainsFunc(r.pool.owners, func(o *poolOwner) bool { return !o.dead && o.accepts(r) }) {
			versions = append(versions, r.caps)
		}
	}
	const unbounded = 1 << 40
	var out quota.Resources
	for _, v := range versions {
		for _, w := range v {
			if w.Name != name {
				continue
			}
			c := quota.Resources{CPUMilli: w.Cap.CPUMilli, MemoryMB: w.Cap.MemoryMB, GPU: unbounded}
			if c.CPUMilli == 0 {
				c.CPUMilli = unbounded
			}
			if c.MemoryMB == 0 {
				c.MemoryMB = unbounded
			}
			out = largest(out, c)
		}
	}
	return out
}

// maximum sums, over the pools, what runs and what any owner whose orders the workers accept may have running.
func (m *model) maximum(name string) (sum quota.Resources) {
	for _, p := range m.pools {
		var most quota.Resources
		for t := range p.runs {
			if t.workspace == name {
				most = add(most, t.need)
			}
		}
		for _, o := range p.owners {
			if o.fence < p.fence {
				continue
			}
			most = largest(most, o.used()[name])
			if limit, ok := o.limits.InForce()[name]; ok && o.limits.Known() && !o.dead {
				most = largest(most, limit)
			}
		}
		sum = add(sum, most)
	}
	return sum
}

// Guards against a cap that is passed because of status calls that are lost, late, reordered or repeated, of owners that are
// replaced, cut off or paused, or of starts that are executed late.
func TestNoHistoryPassesACap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(4, 6).Draw(t, "pools"), drawCaps(t))
		pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		pool := func() *workers { return m.pools[pick(len(m.pools), "pool")] }
		cutOff := map[string]bool{}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			p := pool()
			switch what := rapid.IntRange(0, 27).Draw(t, "step"); {
			case what < 5:
				m.submit(p, workspaceName(pick(workspaceCount, "w")), int64(500*(1+pick(8, "cpu"))), int64(500*(1+pick(8, "memory"))),
					time.Duration(100*(1+pick(40, "duration")))*time.Millisecond)
			case what < 9:
				m.poll(m.fleets[pick(len(m.fleets), "fleet")], p)
			case what < 14 && len(m.requests) > 0:
				n := pick(len(m.requests), "request")
				r := m.requests[n]
				if !rapid.Bool().Draw(t, "repeat") {
					m.requests = slices.Delete(m.requests, n, n+1)
				}
				if !cutOff[r.pool.name] {
					m.deliver(r, r.pool.owners[pick(len(r.pool.owners), "owner")])
				}
			case what < 18 && len(m.answers) > 0:
				n := pick(len(m.answers), "answer")
				a := m.answers[n]
				if !rapid.Bool().Draw(t, "repeat") {
					m.answers = slices.Delete(m.answers, n, n+1)
				}
				m.answer(a)
			case what == 18 && len(m.requests) > 0:
				m.requests = slices.Delete(m.requests, 0, 1)
			case what == 19:
				m.replace(p)
			case what == 20:
				for _, o := range p.owners[:len(p.owners)-1] {
					o.dead = true
				}
			case what == 21 && len(m.fleets) < 3:
				m.newFleet()
			case what == 22 && len(m.fleets) > 1:
				m.fleets = m.fleets[1:]
			case what == 23:
				cutOff[p.name] = !cutOff[p.name]
			case what == 24:
				m.changeCaps(t, pick)
			case what == 25 && len(p.late) > 0:
				m.execute(p, pick(len(p.late), "late"))
			default:
				m.now = m.now.Add(time.Duration(pick(2000, "time")) * time.Millisecond)
				m.takeOver(p, p.owner())
				m.end(p)
				for _, o := range p.owners {
					m.start(p, o)
				}
			}
			m.check(t)
		}
	})
}

// changeCaps changes the sizes of caps, and lets owners learn of it in any order.
func (m *model) changeCaps(t *rapid.T, pick func(int, string) int) {
	caps := slices.Clone(m.caps)
	for range 3 {
		if c := &caps[pick(len(caps), "w")].Cap; c.CPUMilli > 0 {
			c.CPUMilli = rapid.SampledFrom([]int64{1000, 4000, 10000, 60000}).Draw(t, "cpu")
		}
	}
	m.caps = caps
	m.fleets[pick(len(m.fleets), "fleet")].configure(caps)
	for _, p := range m.pools {
		if rapid.Bool().Draw(t, "learns") {
			p.owner().limits.SetWorkspaces(caps, p.usage(p.owner(), m.now))
		}
	}
}

// Guards against work that waits although its workspace's cap has room: in calm, a step that the rest of the cap holds must
// not wait longer than a second, and a gang as large as the cap starts once what runs has ended.
func TestUnusedCapIsUsedWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(4, 6).Draw(t, "pools"), drawCaps(t))
		m.calm(time.Second, func() {})
		room := map[*task]time.Time{}
		check := func() {
			if m.now.UnixMilli()%200 < 10 {
				m.check(t)
			}
			for _, w := range m.caps[:4] {
				running, limit := m.running(w.Name), orNoLimit(w.Cap)
				heads := m.heads(w.Name)
				for pool, head := range heads {
					fits := within(add(running, head.need), limit)
					// The cap is saved up for a step that does not fit, and has waited for as long or is in a pool that uses
					// less than this one, which uses its equal share.
					saved := false
					for otherPool, other := range heads {
						beyond := m.beyondShare(pool, w, head.need)
						first := !other.since.After(head.since) || beyond && otherPool != pool
						saved = saved || first && !within(add(running, other.need), limit)
					}
					since, ok := room[head]
					switch {
					case saved || !fits:
						delete(room, head)
					case !ok:
						room[head] = m.now
					case m.now.Sub(since) > time.Second:
						t.Fatalf("%s waits for %v since %v; runs %v of %v", w.Name, head.need, m.now.Sub(since), running, limit)
					}
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(0, 60).Draw(t, "tasks") {
				p := m.pools[rapid.IntRange(0, len(m.pools)-1).Draw(t, "pool")]
				m.submit(p, workspaceName(rapid.IntRange(0, 3).Draw(t, "w")), 500*rapid.Int64Range(1, 4).Draw(t, "cpu"), 500,
					time.Duration(rapid.IntRange(100, 4000).Draw(t, "duration"))*time.Millisecond)
			}
			m.calm(time.Duration(rapid.IntRange(100, 1500).Draw(t, "calm"))*time.Millisecond, check)
		}
		gang := m.submit(m.pools[0], workspaceName(0), max(m.caps[0].Cap.CPUMilli, 1), 500, time.Second)
		for range 120 {
			if gang.endsAt.IsZero() {
				m.calm(time.Second, check)
			}
		}
		assert.Assert(t, !gang.endsAt.IsZero(), "the gang never started")
	})
}

func orNoLimit(c queue.Cap) quota.Resources {
	limit := quota.Resources{CPUMilli: c.CPUMilli, MemoryMB: c.MemoryMB, GPU: quota.NoLimit}
	if limit.CPUMilli == 0 {
		limit.CPUMilli = quota.NoLimit
	}
	if limit.MemoryMB == 0 {
		limit.MemoryMB = quota.NoLimit
	}
	return limit
}

// heads returns the tasks of a workspace that wait first in each pool.
func (m *model) heads(name string) map[*workers]*task {
	heads := map[*workers]*task{}
	for _, p := range m.pools {
		for _, t := range p.waiting {
			if t.workspace == name && heads[p] == nil {
				heads[p] = t
			}
		}
	}
	return heads
}

// beyondShare reports whether a pool would use more than its equal share of a workspace's cap with another step.
func (m *model) beyondShare(p *workers, w queue.Workspace, step quota.Resources) bool {
	used, pools := add(p.owner().used()[w.Name], step), int64(len(m.pools))
	return w.Cap.CPUMilli > 0 && used.CPUMilli > w.Cap.CPUMilli/pools || w.Cap.MemoryMB > 0 && used.MemoryMB > w.Cap.MemoryMB/pools
}
