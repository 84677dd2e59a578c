package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// earlyCancel holds the cancellations of a job that is not known yet. It is unknown until the job arrives whether they apply.
type earlyCancel struct {
	// at is when the last one came.
	at time.Time
	by []jobstate.Requester
}

// Cancel cancels a job without a workspace on behalf of its caller. It may come before Add.
func (p *Pool) Cancel(now time.Time, id string) { p.CancelBy(now, id, jobstate.Requester{}) }

// CancelBy cancels a job, unless it belongs to a workspace that the requester may not access. It may come before Add.
func (p *Pool) CancelBy(now time.Time, id string, by jobstate.Requester) {
	j := p.jobs[id]
	switch {
	case j == nil && p.forgotten[id].IsZero():
		p.addEarlyCancel(now, id, by)
	case j == nil || j.isTerminal() || !by.MayAccess(j.workspace):
	default:
		p.cancelJob(now, j)
	}
}

func (p *Pool) addEarlyCancel(now time.Time, id string, by jobstate.Requester) {
	early := p.earlyCancels[id]
	early.at = now
	if !slices.Contains(early.by, by) {
		early.by = append(early.by, by)
	}
	p.earlyCancels[id] = early
}

// takeEarlyCancel drops the cancellations that came before the job, and reports whether one of them applies to it.
func (p *Pool) takeEarlyCancel(j *job) bool {
	early := p.earlyCancels[j.id]
	delete(p.earlyCancels, j.id)
	return slices.ContainsFunc(early.by, func(by jobstate.Requester) bool { return by.MayAccess(j.workspace) })
}

// StateFor returns the state of a job, UNSPECIFIED if it is unknown or belongs to a workspace that the requester may not
// access.
func (p *Pool) StateFor(id string, by jobstate.Requester) pb.JobState {
	if j := p.jobs[id]; j != nil && !by.MayAccess(j.workspace) {
		return pb.JobState_JOB_STATE_UNSPECIFIED
	}
	return p.State(id)
}
