package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

const (
	// recordCoalesceDelay is how long changes of an unfinished job are collected into one record.
	recordCoalesceDelay = 250 * time.Millisecond
	// recordRetryDelay is how long a record may stay unacknowledged before it is returned again.
	recordRetryDelay = time.Second
	// purgeInterval is the time between checks for jobs whose retention has passed.
	purgeInterval = time.Second
	// sweepInterval is the time between sweeps of the ids kept for purged jobs and early cancellations.
	sweepInterval = 10 * time.Second
)

// recordState tracks the durable progress of a job.
type recordState struct {
	// version counts changes, recorded is the latest durable version, and inFlight is the version being recorded.
	version, recorded, inFlight uint64
	sentAt                      time.Time
	// changedAt is when the collection of changes for the next record began. dirty means that the job is in
	// changedJobs.
	changedAt time.Time
	dirty     bool
	// urgent means that changes are not collected before the next record.
	urgent bool
}

func (s *recordState) durable() bool { return s.recorded >= s.version }

// markChanged marks the job's progress as changed, so that it is recorded.
func (p *Pool) markChanged(now time.Time, j *job) {
	j.rec.version++
	if j.rec.dirty {
		return
	}
	j.rec.dirty = true
	j.rec.changedAt = now
	p.changedJobs = append(p.changedJobs, j)
}

// markUrgent marks the job's progress as changed, so that it is recorded at once.
func (p *Pool) markUrgent(now time.Time, j *job) {
	p.markChanged(now, j)
	j.rec.urgent = true
}

// Recorded marks a version of the job's record, and all versions before it, as durable.
func (p *Pool) Recorded(_ time.Time, id string, version uint64) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.rec.recorded = max(j.rec.recorded, min(version, j.rec.version))
	if j.awaitsTrialRecord {
		j.awaitsTrialRecord = false
		p.placementDue = true
	}
	if j.rec.inFlight <= version {
		j.rec.inFlight = 0
	}
	if j.isTerminal() && j.rec.durable() {
		j.release()
	}
}

// release drops the data that an ended job no longer needs.
func (j *job) release() {
	j.finishedCounts = j.counts()
	j.occurrences, j.byNumber = nil, nil
	j.finishedOccurrences = numberSet{}
	j.spec = &pb.JobSpec{Steps: j.spec.GetSteps()}
}

// emitRecords adds the changed progress to the actions, with at most one record of a job in flight. A record that is not
// acknowledged within recordRetryDelay is emitted again.
func (p *Pool) emitRecords(now time.Time) {
	kept := p.changedJobs[:0]
	for _, j := range p.changedJobs {
		if j.rec.durable() {
			j.rec.dirty = false
			continue
		}
		kept = append(kept, j)
		if due := p.recordDue(j); now.Before(due) {
			p.wake(due)
			continue
		}
		j.rec.inFlight, j.rec.urgent = j.rec.version, false
		j.rec.sentAt = now
		j.rec.changedAt = now
		p.out.Records = append(p.out.Records, Record{Progress: p.progress(j), Version: j.rec.version})
		p.wake(now.Add(recordRetryDelay))
	}
	clear(p.changedJobs[len(kept):])
	p.changedJobs = kept
}

func (p *Pool) recordDue(j *job) time.Time {
	switch {
	case j.rec.inFlight != 0:
		return j.rec.sentAt.Add(recordRetryDelay)
	case j.isTerminal() || j.rec.urgent:
		return j.rec.changedAt
	default:
		return j.rec.changedAt.Add(recordCoalesceDelay)
	}
}

func (p *Pool) progress(j *job) *pb.JobProgress {
	out := &pb.JobProgress{Id: j.id, Queue: j.queue, Workspace: j.workspace, State: pb.JobState_JOB_STATE_QUEUED}
	if j.started {
		out.State = pb.JobState_JOB_STATE_RUNNING
	}
	if j.isTerminal() {
		out.State = j.state
		out.Reason = j.reason
		out.EndedMs = j.endedAt.UnixMilli()
		out.Counts = j.counts().message()
		return out
	}
	for _, s := range j.finishedOccurrences.spans {
		out.Completed = append(out.Completed, &pb.OccurrenceRange{First: int64(s.first), Count: int64(s.end - s.first)})
	}
	for _, o := range j.occurrences {
		out.Occurrences = append(out.Occurrences, o.progress())
	}
	return out
}

func (o *occurrence) progress() *pb.OccurrenceProgress {
	out := &pb.OccurrenceProgress{Occurrence: int64(o.number)}
	for _, s := range o.steps {
		out.Steps = append(out.Steps, s.progress())
	}
	return out
}

func (s *step) progress() *pb.StepProgress {
	out := &pb.StepProgress{}
	if s.doneTasks > 0 {
		out.Succeeded = make([]byte, (len(s.tasks)+7)/8)
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			out.Succeeded[i/8] |= 1 << (i % 8)
			continue
		}
		t.addProgress(out)
	}
	return out
}

func (t *task) addProgress(out *pb.StepProgress) {
	index := int64(t.index)
	if len(t.failedRuns) > 0 {
		if out.Failures == nil {
			out.Failures = map[int64]int64{}
			out.FailedRuns = map[int64]*pb.RunNumbers{}
		}
		out.Failures[index] = int64(t.failures)
		out.FailedRuns[index] = &pb.RunNumbers{Runs: slices.Clone(t.failedRuns)}
	}
	if t.crashes != (crashHistory{}) {
		if out.Crashes == nil {
			out.Crashes = map[int64]*pb.CrashHistory{}
		}
		out.Crashes[index] = t.crashes.message()
	}
	if t.checkpoint != "" {
		if out.Checkpoints == nil {
			out.Checkpoints = map[int64]string{}
		}
		out.Checkpoints[index] = t.checkpoint
	}
}

// purgeEndedJobs drops the jobs whose retention has passed and whose final state is durable.
func (p *Pool) purgeEndedJobs(now time.Time) {
	if now.Before(p.nextPurgeAt) {
		return
	}
	p.nextPurgeAt = now.Add(purgeInterval)
	kept := p.ended[:0]
	for _, j := range p.ended {
		if now.Sub(j.endedAt) < p.cfg.Retention || !j.rec.durable() {
			kept = append(kept, j)
			continue
		}
		delete(p.jobs, j.id)
		p.forgotten[j.id] = now
		p.out.Forget = append(p.out.Forget, jobstate.Ref{ID: j.id, Address: j.address})
	}
	clear(p.ended[len(kept):])
	p.ended = kept
	if len(kept) > 0 {
		p.wake(now.Add(max(purgeInterval, kept[0].endedAt.Add(p.cfg.Retention).Sub(now))))
	}
	if now.Sub(p.lastSweepAt) >= sweepInterval {
		p.lastSweepAt = now
		p.sweep(now)
	}
}

// sweep bounds the memory used for purged jobs and drops cancellations of jobs that never arrived.
func (p *Pool) sweep(now time.Time) {
	for id, at := range p.forgotten {
		if now.Sub(at) > p.cfg.Retention {
			delete(p.forgotten, id)
		}
	}
	for _, id := range sortedKeys(p.earlyCancels) {
		if now.Sub(p.earlyCancels[id].at) > p.cfg.Retention {
			delete(p.earlyCancels, id)
			p.out.ForgetCancels = append(p.out.ForgetCancels, id)
		}
	}
}
