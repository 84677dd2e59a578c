package jobplatform

import (
	"fmt"
	"strings"
	"time"
)

const clockLayout = "15:04:05.000"

// runRecord is a run as its worker reported it. Times that have not come are zero.
type runRecord struct {
	task                               taskID
	worker                             string
	number                             int64
	startedAt, endedAt, acknowledgedAt time.Time
	end                                string
	lapsed                             bool
}

// runTermShift is the position of the owner's fencing token in a run number.
const runTermShift = 20

func (r *runRecord) id() string {
	return fmt.Sprintf("run %d (fence %d) on worker %s", r.number, r.number>>runTermShift, r.worker)
}

// String describes the run with its times.
func (r *runRecord) String() string {
	s := r.id() + " from " + r.startedAt.Format(clockLayout)
	if !r.endedAt.IsZero() {
		s += fmt.Sprintf(" to %s, end %q", r.endedAt.Format(clockLayout), r.end)
	}
	if !r.acknowledgedAt.IsZero() {
		s += ", acknowledged " + r.acknowledgedAt.Format(clockLayout)
	}
	if r.lapsed {
		s += " after the lease lapsed"
	}
	return s
}

func (t *taskHistory) describeRuns() string {
	texts := make([]string, 0, len(t.runs))
	for _, r := range t.runs {
		texts = append(texts, r.String())
	}
	return strings.Join(texts, "; ")
}
