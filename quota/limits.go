package quota

import (
	"maps"
	"slices"

	"github.com/agateturn/agateturn/queue"
)

// Limits are the limits of the workspaces in one pool, for one term of its owner.
type Limits struct {
	// known is set once all runs of earlier owners are known. Nothing of a capped workspace may start before.
	known bool
	// caps holds the workspaces of the configuration; removed those that are no longer in it but still run or wait.
	caps    map[string]vector
	removed map[string]vector
	// held holds the limits granted, or found running. NoLimit means that neither was needed so far.
	held map[string]vector
}

// NewLimits returns the limits of an owner that does not know yet what runs.
func NewLimits() *Limits {
	return &Limits{caps: map[string]vector{}, removed: map[string]vector{}, held: map[string]vector{}}
}

// Known reports whether Found was called.
func (l *Limits) Known() bool { return l.known }

// SetWorkspaces sets the workspaces of the configuration. A workspace that gets a cap is limited to what it uses. One that
// is removed keeps its cap until nothing of it runs or waits.
func (l *Limits) SetWorkspaces(workspaces []queue.Workspace, usage []Usage) {
	before := l.caps
	l.caps = make(map[string]vector, len(workspaces))
	for _, w := range workspaces {
		l.caps[w.Name] = capVector(w.Cap)
		delete(l.removed, w.Name)
		if capVector(w.Cap).isZero() {
			delete(l.held, w.Name)
		}
	}
	for name, c := range before {
		if _, kept := l.caps[name]; !kept && !c.isZero() {
			l.removed[name] = c
		}
	}
	if l.known {
		l.limitToUse(usage)
	}
	l.prune(usage)
}

// Found starts enforcement with what runs, once all runs of earlier owners are known: never more than was reserved for them.
func (l *Limits) Found(usage []Usage) {
	l.known = true
	l.limitToUse(usage)
}

// limitToUse limits each resource that has a cap, but neither a grant nor an earlier limit, to what is used of it.
func (l *Limits) limitToUse(usage []Usage) {
	used := usedOf(usage)
	for name, c := range l.caps {
		if c.isZero() {
			continue
		}
		held, ok := l.held[name]
		for r := range held {
			switch {
			case ok && held[r] != NoLimit:
			case c[r] > 0:
				held[r] = used[name][r]
			default:
				held[r] = NoLimit
			}
		}
		l.held[name] = held
	}
}

// Apply applies grants. The caller has checked that they are for this owner and not older than the last ones. Grants are
// ignored until Found was called, because the limits found would replace them.
func (l *Limits) Apply(grants []Grant) {
	if !l.known {
		return
	}
	for _, g := range grants {
		limit := g.Limit.vector()
		if c, configured := l.caps[g.Workspace]; configured && c.isZero() {
			// The fleet owner has another version of the configuration. The limit is kept, as it is in force with a cap.
			l.held[g.Workspace] = limit
			continue
		}
		held, ok := l.held[g.Workspace]
		for r := range limit {
			if ok && limit[r] == NoLimit && l.capped(g.Workspace, r) {
				limit[r] = held[r]
			}
		}
		l.held[g.Workspace] = limit
	}
}

func (l *Limits) capped(workspace string, resource int) bool {
	return l.caps[workspace][resource] > 0 || l.removed[workspace][resource] > 0
}

// InForce returns the limits to enforce. A missing workspace has none.
func (l *Limits) InForce() map[string]Resources {
	out := make(map[string]Resources, len(l.caps)+len(l.removed))
	for name, c := range l.caps {
		if !c.isZero() {
			out[name] = l.inForce(name, c).resources()
		}
	}
	for name, held := range l.held {
		if _, configured := l.caps[name]; !configured {
			out[name] = held.resources()
		}
	}
	return out
}

func (l *Limits) inForce(name string, c vector) vector {
	limit := l.held[name]
	for r := range limit {
		if c[r] == 0 {
			limit[r] = NoLimit
		}
	}
	return limit
}

// Report returns the usage with the limits, sorted by name. Workspaces without a limit are included if they run or wait: the
// fleet owner may have a newer configuration that caps them. Limits of removed ones end once nothing of them runs or waits.
func (l *Limits) Report(usage []Usage) []Usage {
	if !l.known {
		return nil
	}
	l.prune(usage)
	byName := make(map[string]Usage, len(usage)+len(l.held))
	for _, u := range usage {
		if u.Used != (Resources{}) || u.Waiting != (Resources{}) {
			byName[u.Workspace] = u
		}
	}
	for name, held := range l.held {
		u := byName[name]
		u.Workspace, u.Limit, u.HasLimit = name, held.resources(), true
		if u.Used == (Resources{}) && u.Waiting == (Resources{}) && held.max(vector{}).isZero() {
			delete(byName, name)
			continue
		}
		byName[name] = u
	}
	out := make([]Usage, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}

// prune forgets the removed workspaces of which nothing runs or waits.
func (l *Limits) prune(usage []Usage) {
	if len(l.removed) == 0 || !l.known {
		return
	}
	active := map[string]bool{}
	for _, u := range usage {
		active[u.Workspace] = u.Used != (Resources{}) || u.Waiting != (Resources{})
	}
	for name := range l.removed {
		if !active[name] {
			delete(l.removed, name)
			delete(l.held, name)
		}
	}
}

func usedOf(usage []Usage) map[string]vector {
	out := make(map[string]vector, len(usage))
	for _, u := range usage {
		out[u.Workspace] = u.Used.vector()
	}
	return out
}
