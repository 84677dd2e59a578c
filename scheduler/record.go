package scheduler

import (
	"maps"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// coalesceRecords is how long changes of a job that goes on are gathered into one record.
	coalesceRecords = 250 * time.Millisecond
	// repeatRecord is how long a record may stay unanswered before it is handed out again.
	repeatRecord = time.Second
	// forgetEvery is the pause between looks for jobs that have been kept for long enough.
	forgetEvery = time.Second
	// sweepEvery is the pause between sweeps of what is remembered of forgotten jobs.
	sweepEvery = 10 * time.Second
)

// recordState follows the durable progress of a job.
type recordState struct {
	// version counts changes, recorded is the latest that is durable, inFlight the one on its way.
	version, recorded, inFlight uint64
	sentAt                      time.Time
	since                       time.Time
	dirty                       bool
}

func (s *recordState) durable() bool { return s.recorded >= s.version }

// changed takes note that the job's progress has to be recorded.
func (p *Pool) changed(now time.Time, j *job) {
	j.rec.version++
	if j.rec.dirty {
		return
	}
	j.rec.dirty = true
	j.rec.since = now
	p.dirty = append(p.dirty, j)
}

// Recorded tells that the record of that version, or a later one, is durable.
func (p *Pool) Recorded(_ time.Time, id string, version uint64) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.rec.recorded = max(j.rec.recorded, min(version, j.rec.version))
	if j.rec.inFlight <= version {
		j.rec.inFlight = 0
	}
	if j.over() && j.rec.durable() {
		j.release()
	}
}

// release drops what an ended job does not need any more.
func (j *job) release() {
	j.past = j.counts()
	j.occurrences = nil
	j.finished = nil
	j.spec = &pb.JobSpec{Steps: j.spec.GetSteps()}
}

// emitRecords hands out the progress that has changed, at most one record of a job at a time.
func (p *Pool) emitRecords(now time.Time) {
	kept := p.dirty[:0]
	for _, j := range p.dirty {
		if j.rec.durable() {
			j.rec.dirty = false
			continue
		}
		kept = append(kept, j)
		if due := p.recordDue(j); now.Before(due) {
			p.wake(due)
			continue
		}
		j.rec.inFlight = j.rec.version
		j.rec.sentAt = now
		j.rec.since = now
		p.out.Records = append(p.out.Records, Record{Progress: p.progress(j), Version: j.rec.version})
		p.wake(now.Add(repeatRecord))
	}
	clear(p.dirty[len(kept):])
	p.dirty = kept
}

func (p *Pool) recordDue(j *job) time.Time {
	switch {
	case j.rec.inFlight != 0:
		return j.rec.sentAt.Add(repeatRecord)
	case j.over():
		return j.rec.since
	default:
		return j.rec.since.Add(coalesceRecords)
	}
}

func (p *Pool) progress(j *job) *pb.JobProgress {
	out := &pb.JobProgress{Id: j.id, Queue: j.queue, State: pb.JobState_JOB_STATE_QUEUED}
	if j.started {
		out.State = pb.JobState_JOB_STATE_RUNNING
	}
	if j.over() {
		out.State = j.state
		out.Reason = j.reason
		out.EndedMs = j.endedAt.UnixMilli()
		out.Counts = j.counts().message()
		return out
	}
	for _, number := range slices.Sorted(maps.Keys(j.finished)) {
		out.Occurrences = append(out.Occurrences, &pb.OccurrenceProgress{Occurrence: int64(number)})
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
	if s.done > 0 {
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
	if t.checkpoint != "" {
		if out.Checkpoints == nil {
			out.Checkpoints = map[int64]string{}
		}
		out.Checkpoints[index] = t.checkpoint
	}
}

// forget drops the jobs that ended longer ago than the retention.
func (p *Pool) forget(now time.Time) {
	if now.Before(p.forgetAt) {
		return
	}
	p.forgetAt = now.Add(forgetEvery)
	kept := p.ended[:0]
	for _, j := range p.ended {
		if now.Sub(j.endedAt) < p.cfg.Retention || !j.rec.durable() {
			kept = append(kept, j)
			continue
		}
		delete(p.jobs, j.id)
		p.forgotten[j.id] = now
		p.out.Forget = append(p.out.Forget, j.id)
	}
	clear(p.ended[len(kept):])
	p.ended = kept
	if len(kept) > 0 {
		p.wake(now.Add(max(forgetEvery, kept[0].endedAt.Add(p.cfg.Retention).Sub(now))))
	}
	if now.Sub(p.lastSweep) >= sweepEvery {
		p.lastSweep = now
		p.sweep(now)
	}
}

// sweep bounds what is remembered of jobs that are gone, and drops the cancellations of jobs that never came.
func (p *Pool) sweep(now time.Time) {
	for id, at := range p.forgotten {
		if now.Sub(at) > p.cfg.Retention {
			delete(p.forgotten, id)
		}
	}
	for _, id := range sortedKeys(p.earlyCancels) {
		if now.Sub(p.earlyCancels[id]) > p.cfg.Retention {
			delete(p.earlyCancels, id)
			p.out.ForgetCancels = append(p.out.ForgetCancels, id)
		}
	}
}
