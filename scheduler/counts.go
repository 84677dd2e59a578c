package scheduler

import pb "github.com/agateturn/agateturn/gen/agateturn/v1"

// taskCounts sums up tasks. failures counts failed runs.
type taskCounts struct {
	tasks, succeeded, failures int64
}

// tasksOf counts the tasks of one occurrence.
func tasksOf(spec *pb.JobSpec) int64 {
	n := int64(0)
	for _, s := range spec.GetSteps() {
		n += s.GetCount()
	}
	return n
}

// add takes in what the occurrence has come to.
func (c *taskCounts) add(o *occurrence) {
	for _, s := range o.steps {
		c.succeeded += int64(s.done)
		for i := range s.tasks {
			c.failures += int64(s.tasks[i].failures)
		}
	}
}

// counts sums up the job.
func (j *job) counts() taskCounts {
	c := j.past
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
