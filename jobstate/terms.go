package jobstate

import (
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
)

// TermsOf returns the terms on which a queue accepts jobs.
func TermsOf(q *queue.Queue) *pb.JobTerms {
	terms := &pb.JobTerms{
		Priority: int64(q.Priority), MaxAttempts: int64(q.MaxAttempts), Stretch: q.Stretch, TargetDurationMs: q.TargetDuration.Milliseconds(),
	}
	if q.Advice != nil {
		terms.Advised, terms.TicketLifetimeMs = true, q.Advice.TicketLifetime.Milliseconds()
	}
	return terms
}
