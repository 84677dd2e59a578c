package scheduler

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/queue"
)

// terms are the parts of a queue's configuration that apply to a job: those in force when it was accepted. The queue may have
// changed, or be gone, by the time another owner loads the job.
type terms struct {
	priority    int
	maxAttempts int
	stretch     float64
	target      time.Duration
	// advised means that the policy service decides which workers may run a step, with tickets of this lifetime.
	advised        bool
	ticketLifetime time.Duration
}

// termsFrom returns nil if the record has no terms.
func termsFrom(m *pb.JobTerms) *terms {
	if m == nil {
		return nil
	}
	return &terms{
		priority: int(m.GetPriority()), maxAttempts: int(m.GetMaxAttempts()), stretch: m.GetStretch(),
		target:  time.Duration(m.GetTargetDurationMs()) * time.Millisecond,
		advised: m.GetAdvised(), ticketLifetime: time.Duration(m.GetTicketLifetimeMs()) * time.Millisecond,
	}
}

// termsOf returns the terms of a job. Those of a job whose record has none, as earlier versions wrote it, follow its queue.
func (p *Pool) termsOf(j *job) *terms {
	if j.terms != nil {
		return j.terms
	}
	if t, ok := p.queueTerms[j.queue]; ok {
		return t
	}
	return &terms{}
}

// setQueueTerms keeps the terms of a queue for the jobs whose records have none.
func (p *Pool) setQueueTerms(q *queue.Queue) { p.queueTerms[q.Name] = termsFrom(jobstate.TermsOf(q)) }

// maxAttempts returns the number of failed runs of one task after which the job fails.
func (p *Pool) maxAttempts(j *job) int {
	if n := p.termsOf(j).maxAttempts; n > 0 {
		return n
	}
	return defaultAttempts
}
