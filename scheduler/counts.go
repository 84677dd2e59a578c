package scheduler

import pb "github.com/agateturn/agateturn/gen/agateturn/v1"

// taskCounts sums up tasks. failures counts failed runs.
type taskCounts struct {
	tasks, succeeded, failures int64
}

// tasksPerOccurrence returns the number of tasks of one occurrence.
func tasksPerOccurrence(spec *pb.JobSpec) int64 {
	n := int64(0)
	for _, s := range spec.GetSteps() {
		n += s.GetCount()
	}
	return n
}

// add adds the results of the occurrence.
func (c *taskCounts) add(o *occurrence) {
	for _, s := range o.steps {
		c.succeeded += int64(s.doneTasks)
		for i := range s.tasks {
			c.failures += int64(s.tasks[i].failures)
		}
	}
}

// counts returns the totals of the job.
func (j *job) counts() taskCounts {
	c := j.finishedCounts
	for _, o := range j.occurrences {
		c.add(o)
	}
	return c
}

func (c taskCounts) message() *pb.TaskCounts {
	return &pb.TaskCounts{Tasks: c.tasks, Succeeded: c.succeeded, Failures: c.failures}
}

func countsOf(m *pb.TaskCounts) taskCounts {
	return taskCounts{tasks: m.GetTasks(), succeeded: m.GetSucceeded(), failures: m.GetFailures()}
}
