package contention

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateturn/agateturn/tokenbucket"
)

// Use is what a workspace has running, as amounts of CPU and memory.
type Use struct{ CPU, Memory float64 }

// Shares holds by how far each active workspace exceeds its share of a pool.
type Shares struct{ excess map[string]float64 }

// excessStep is the granularity of the excess, so that among workspaces that exceed their shares about equally the order
// of their jobs decides.
const excessStep = 0.25

// NewShares returns the shares of the workspaces in use, which are those that have work running or waiting. capacity is that
// of the pool. A workspace's share is its weight over the sum of their weights; its use is the larger of its parts of the CPU
// and the memory. Workspaces without a positive weight have no share and are never in excess.
func NewShares(weights map[string]float64, use map[string]Use, capacity Use) *Shares {
	var sum float64
	for name := range use {
		sum += max(0, weights[name])
	}
	s := &Shares{excess: make(map[string]float64, len(use))}
	for name, u := range use {
		weight := weights[name]
		if weight <= 0 {
			continue
		}
		dominant := max(u.CPU/max(1, capacity.CPU), u.Memory/max(1, capacity.Memory))
		if over := dominant/(weight/sum) - 1; over > 0 {
			s.excess[name] = float64(1+int(over/excessStep)) * excessStep
		}
	}
	return s
}

// Excess returns by how far a workspace exceeds its share: 0 if it does not, 1 if it uses twice its share.
func (s *Shares) Excess(workspace string) float64 {
	if s == nil {
		return 0
	}
	return s.excess[workspace]
}

const (
	// arrivalBurst is the depth of a workspace's token bucket, as a time at its full rate.
	arrivalBurst = time.Second
	// calmAfter is how long no job may have been beyond the weight of a workspace until that counts as over.
	calmAfter = 2 * time.Second
)

// Arrivals marks the jobs that workspaces submit beyond their weights. The zero value is ready to use. It is not safe for
// concurrent use.
type Arrivals struct {
	workspaces map[string]*arrivalState
}

type arrivalState struct {
	bucket tokenbucket.Bucket
	beyond bool
	lastAt time.Time
	marked int
}

// Episode is the begin or the end of a time in which a workspace submits jobs beyond its weight.
type Episode struct {
	Workspace string
	Begin     bool
	// Jobs is the number of jobs that were beyond the weight, for an end.
	Jobs int
}

// Add records a submitted job and reports whether it is beyond the workspace's weight, in jobs a second. A weight that is not
// positive sets no bound. episode is set if an episode begins with this job.
func (a *Arrivals) Add(now time.Time, workspace string, weight float64) (beyond bool, episode *Episode) {
	if weight <= 0 {
		return false, nil
	}
	s := a.workspaces[workspace]
	if s == nil {
		if a.workspaces == nil {
			a.workspaces = map[string]*arrivalState{}
		}
		s = &arrivalState{}
		a.workspaces[workspace] = s
	}
	if s.bucket.Take(now, weight, max(1, weight*arrivalBurst.Seconds())) {
		return false, nil
	}
	s.marked++
	s.lastAt = now
	if s.beyond {
		return true, nil
	}
	s.beyond, s.marked = true, 1
	return true, &Episode{Workspace: workspace, Begin: true}
}

// Ended returns the episodes that are over, sorted by workspace.
func (a *Arrivals) Ended(now time.Time) []Episode {
	var out []Episode
	for name, s := range a.workspaces {
		if s.beyond && now.Sub(s.lastAt) >= calmAfter {
			s.beyond = false
			out = append(out, Episode{Workspace: name, Jobs: s.marked})
		}
	}
	slices.SortFunc(out, func(a, b Episode) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// Beyond reports whether the workspace currently submits jobs beyond its weight.
func (a *Arrivals) Beyond(workspace string) bool {
	s := a.workspaces[workspace]
	return s != nil && s.beyond
}

// Retain drops the workspaces that are not in weights, unless an episode of theirs is not over.
func (a *Arrivals) Retain(weights map[string]float64) {
	for name, s := range a.workspaces {
		if _, ok := weights[name]; !ok && !s.beyond {
			delete(a.workspaces, name)
		}
	}
}
