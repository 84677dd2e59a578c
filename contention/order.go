// Package contention decides in which order waiting steps get the capacity of a pool.
//
// It has no I/O, goroutines or clock. Its functions are safe for concurrent use unless a type says otherwise.
package contention

import (
	"cmp"
	"time"
)

const (
	// hopelessFactor is how many times its objective a job may take before its result is worth nothing to its caller.
	hopelessFactor = 3
	// agingWeight raises the rank of jobs as they approach their objective, most steeply at the end, so that large
	// jobs are not starved.
	agingWeight = 30
)

// Class is the first criterion of the order; lower classes come first.
type Class int

// Classes, in order of precedence.
const (
	ClassPersistent Class = iota
	// ClassStarved is for gangs that have waited so long that all workers that they need are kept free for them.
	// Otherwise smaller steps would always take the room as it is freed.
	ClassStarved
	ClassOnTime
	ClassLate
	// ClassBeyondWeight is for jobs that their workspace submitted beyond its weight and that are not hopeless.
	ClassBeyondWeight
	// ClassHopeless is for jobs that would take longer than hopelessFactor times their objective.
	ClassHopeless
)

// Candidate is a step with waiting tasks.
type Candidate struct {
	Persistent, Starved bool
	// Priority is the priority of the queue, 0 first.
	Priority int
	// Accepted is when the job was accepted, Due when its occurrence was due.
	Accepted, Due time.Time
	// Projected is how long the occurrence will have taken since it was due if the step starts now. Objective is the
	// duration within which it is on time.
	Projected, Objective time.Duration
	// WaitingWork is the expected work of the tasks of the occurrence that have not been started, as CPU times ms.
	// RemainingWork includes running tasks; Order does not use it, but orders that it is compared with do. Weight is the
	// weight of the job within its queue.
	WaitingWork, RemainingWork, Weight float64
	// RemainingPath is the expected time from the start of the step to the end of the occurrence.
	RemainingPath time.Duration
	// Excess is by how far the workspace exceeds its share; see Shares. BeyondWeight means that the job exceeded what its
	// workspace may submit; see Arrivals.
	Excess       float64
	BeyondWeight bool
}

// Rank is the position of a candidate in the order.
type Rank struct {
	Class    Class
	Priority int
	Excess   float64
	// Crowded means that the job would be on time if it started now, but probably not after the work ahead of it.
	Crowded bool
	Key     float64
}

// Compare returns a negative number if a comes before b.
func (a Rank) Compare(b Rank) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Excess, b.Excess),
		compareBool(a.Crowded, b.Crowded), cmp.Compare(a.Key, b.Key))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// RankOf returns the rank of a candidate by itself, regardless of the work ahead of it.
//
// A late job never precedes one that can be on time, since its result is worth a fraction. Within a class, priority and
// excess, the least waiting work for the job's weight comes first, raised as the objective comes near.
func RankOf(c Candidate) Rank {
	r := Rank{Class: classOf(c), Priority: c.Priority, Excess: c.Excess}
	switch r.Class {
	case ClassPersistent:
		r.Key, r.Excess = float64(c.Accepted.UnixMilli()), 0
	case ClassStarved, ClassHopeless:
		r.Key, r.Excess = float64(c.Due.UnixMilli()), 0
	default:
		r.Key = c.WaitingWork / c.Weight
		if c.Objective > 0 {
			urgency := min(1, float64(c.Projected)/float64(c.Objective))
			r.Key /= 1 + agingWeight*urgency*urgency*urgency*urgency
		}
	}
	return r
}

func classOf(c Candidate) Class {
	switch {
	case c.Persistent:
		return ClassPersistent
	case c.Starved:
		return ClassStarved
	case c.Projected > hopelessFactor*c.Objective:
		return ClassHopeless
	case c.BeyondWeight:
		return ClassBeyondWeight
	case c.Projected > c.Objective:
		return ClassLate
	default:
		return ClassOnTime
	}
}
