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
		caps[n].Cap.CPUMilli = rapid.SampledFrom([]int64{0, 4000, 4000, 10000, 10000, 30000}).Draw(t, "cpu")
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
		// A grant that was delivered in the last step rests on the caps that were in force before it.
		bound, m.bound[name] = largest(bound, m.bound[name]), bound
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

// history is a deployment under faults.
type history struct {
	*model
	t      *rapid.T
	cutOff map[string]bool
}

func (h *history) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(h.t, what) }

func (h *history) fleet() *fleetOwner { return h.fleets[h.pick(len(h.fleets), "fleet")] }

// Guards against a cap that is passed because of status calls that are lost, late, reordered or repeated, of owners that are
// replaced, cut off or paused, or of starts that are executed late.
func TestNoHistoryPassesACap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{model: newModel(rapid.IntRange(4, 6).Draw(t, "pools"), drawCaps(t)), t: t, cutOff: map[string]bool{}}
		steps := slices.Concat(
			slices.Repeat([]func(*workers){h.submitMany}, 6), slices.Repeat([]func(*workers){h.callsGoThrough, h.round}, 4),
			slices.Repeat([]func(*workers){h.deliverOne, h.answerOne}, 3), slices.Repeat([]func(*workers){h.pollOne, h.replace}, 2),
			slices.Repeat([]func(*workers){h.pass}, 4),
			[]func(*workers){h.lose, h.endOwners, h.replaceFleet, h.endFleet, h.cut, h.changeCaps, h.executeOne},
		)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			p := h.pools[h.pick(len(h.pools), "pool")]
			steps[h.pick(len(steps), "step")](p)
			h.check(t)
		}
	})
}

// submitMany submits tasks, most of them of four workspaces, so that caps bind.
func (h *history) submitMany(p *workers) {
	name := workspaceName(h.pick(4, "busy"))
	if h.pick(6, "other") == 0 {
		name = workspaceName(h.pick(workspaceCount, "w"))
	}
	for range 1 + h.pick(12, "tasks") {
		h.submit(p, name, int64(500*(1+h.pick(8, "cpu"))), 500, time.Duration(100*(1+h.pick(40, "duration")))*time.Millisecond)
	}
}

// callsGoThrough lets calls go through for a while. Those that were late before stay late.
func (h *history) callsGoThrough(*workers) {
	requests, answers := h.requests, h.answers
	h.requests, h.answers = nil, nil
	h.calm(time.Duration(50*(1+h.pick(20, "calm")))*time.Millisecond, func() {})
	h.requests, h.answers = append(requests, h.requests...), append(answers, h.answers...)
}

// round makes a fleet owner, which may have been replaced, poll all pools, of which any owner may answer.
func (h *history) round(*workers) {
	f := h.fleet()
	for _, p := range h.pools {
		h.poll(f, p)
		if !h.cutOff[p.name] {
			h.deliver(h.requests[len(h.requests)-1], p.owners[h.pick(len(p.owners), "owner")])
		}
		if len(h.answers) > 0 && rapid.Bool().Draw(h.t, "answered") {
			h.answer(h.answers[len(h.answers)-1])
		}
	}
}

func (h *history) pollOne(p *workers) { h.poll(h.fleet(), p) }

func (h *history) deliverOne(*workers) {
	if len(h.requests) == 0 {
		return
	}
	n := h.pick(len(h.requests), "request")
	r := h.requests[n]
	if !rapid.Bool().Draw(h.t, "repeat") {
		h.requests = slices.Delete(h.requests, n, n+1)
	}
	if !h.cutOff[r.pool.name] {
		h.deliver(r, r.pool.owners[h.pick(len(r.pool.owners), "owner")])
	}
}

func (h *history) answerOne(*workers) {
	if len(h.answers) == 0 {
		return
	}
	n := h.pick(len(h.answers), "answer")
	a := h.answers[n]
	if !rapid.Bool().Draw(h.t, "repeat") {
		h.answers = slices.Delete(h.answers, n, n+1)
	}
	h.answer(a)
}

func (h *history) lose(*workers) { h.requests = h.requests[min(1, len(h.requests)):] }

func (h *history) endOwners(p *workers) {
	for _, o := range p.owners[:len(p.owners)-1] {
		o.dead = true
	}
}

func (h *history) replaceFleet(*workers) {
	if len(h.fleets) < 3 {
		h.newFleet()
	}
}

func (h *history) endFleet(*workers) { h.fleets = h.fleets[min(1, len(h.fleets)-1):] }

func (h *history) cut(p *workers) { h.cutOff[p.name] = !h.cutOff[p.name] }

func (h *history) executeOne(p *workers) {
	if len(p.late) > 0 {
		h.execute(p, h.pick(len(p.late), "late"))
	}
}

// pass lets time pass, and any owner of the pool start tasks. Its last one may hold the workers first.
func (h *history) pass(p *workers) {
	h.now = h.now.Add(time.Duration(h.pick(2000, "time")) * time.Millisecond)
	if rapid.Bool().Draw(h.t, "held") {
		h.takeOver(p, p.owner())
	}
	h.end(p)
	for _, o := range p.owners {
		h.start(p, o)
	}
}

// changeCaps changes the sizes of caps, and lets owners learn of it in any order.
func (h *history) changeCaps(*workers) {
	caps := slices.Clone(h.caps)
	for range 3 {
		if c := &caps[h.pick(len(caps), "w")].Cap; c.CPUMilli > 0 {
			c.CPUMilli = rapid.SampledFrom([]int64{1000, 4000, 10000, 60000}).Draw(h.t, "cpu")
		}
	}
	h.caps = caps
	h.fleet().configure(caps)
	for _, p := range h.pools {
		if rapid.Bool().Draw(h.t, "learns") {
			p.owner().limits.SetWorkspaces(caps, p.usage(p.owner(), h.now))
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
				m.checkWaits(t, w, room)
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

// checkWaits fails if the first task of a pool waits for longer than a second although the cap has room for it, unless the cap
// is saved up for a step that does not fit, and that has waited for as long or is in another pool while this one uses its
// equal share. room holds since when the cap has had room.
func (m *model) checkWaits(t *rapid.T, w queue.Workspace, room map[*task]time.Time) {
	running, limit := m.running(w.Name), orNoLimit(w.Cap)
	heads := m.heads(w.Name)
	for pool, head := range heads {
		saved := !within(add(running, head.need), limit)
		for otherPool, other := range heads {
			first := !other.since.After(head.since) || m.beyondShare(pool, w, head.need) && otherPool != pool
			saved = saved || first && !within(add(running, other.need), limit)
		}
		since, ok := room[head]
		switch {
		case saved:
			delete(room, head)
		case !ok:
			room[head] = m.now
		case m.now.Sub(since) > time.Second:
			t.Fatalf("%s waits for %v since %v; runs %v of %v", w.Name, head.need, m.now.Sub(since), running, limit)
		}
	}
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
