package operatorapi

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
)

// JobsBackend executes the operators' requests to an entry host that serves jobs. Its methods are called concurrently.
type JobsBackend interface {
	// Jobs lists the jobs that the owners of the pools report.
	Jobs(ctx context.Context, filter JobFilter) (JobList, error)
	// Job returns one job. Errors: NotFound, Unavailable.
	Job(ctx context.Context, id string) (JobStatus, error)
	// CancelJob cancels a job; it is idempotent. Errors: NotFound, Unavailable, Unknown.
	CancelJob(ctx context.Context, id string) (JobCancelled, error)
	// Ready returns nil while this entry host accepts new connections of callers.
	Ready() error
}

// JobFilter selects jobs; empty fields match all of them.
type JobFilter struct {
	Pool  string `query:"pool" doc:"Only jobs of this pool"`
	Queue string `query:"queue" doc:"Only jobs of this queue"`
	State string `query:"state" enum:"queued,running,completed,failed,cancelled" doc:"Only jobs in this state"`
	Limit int    `query:"limit" default:"100" minimum:"1" maximum:"1000" doc:"At most this many jobs of each pool"`
}

// JobList is a list of jobs, without those of pools whose owners could not be reached.
type JobList struct {
	Jobs    []JobStatus `json:"jobs"`
	Missing []string    `json:"missing_pools" doc:"Pools whose owners could not be asked"`
}

// JobStatus is one job.
type JobStatus struct {
	ID          string         `json:"id"`
	Queue       string         `json:"queue"`
	Pool        string         `json:"pool"`
	Workspace   string         `json:"workspace,omitempty" doc:"Workspace that it belongs to, if any"`
	State       string         `json:"state"`
	AcceptedMS  int64          `json:"accepted_unix_ms,omitempty"`
	Tasks       int64          `json:"tasks" doc:"Tasks of all occurrences"`
	Running     int64          `json:"running" doc:"Runs that are placed"`
	Succeeded   int64          `json:"succeeded"`
	Failures    int64          `json:"failures" doc:"Failed runs"`
	Reason      string         `json:"reason,omitempty" doc:"Why it failed"`
	Placements  []JobPlacement `json:"placements,omitempty"`
	Explanation []string       `json:"explanation,omitempty" doc:"Why it is where it is"`
	StateOnly   bool           `json:"state_only,omitempty" doc:"The pool's owner does not tell; the state is the store's"`
}

// JobPlacement is one run of a task on a worker.
type JobPlacement struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Worker  string `json:"worker"`
	Percent int64  `json:"percent" doc:"Share at which the task works"`
}

// JobCancelled confirms that a cancellation is stored.
type JobCancelled struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
}

// NewJobs returns the handler of the API of an entry host that serves jobs, with the same metrics and health
// checks as New.
func NewJobs(backend JobsBackend, options Options) http.Handler {
	mux, api := newAPI(backend.Ready, options)
	huma.Register(api, operation("jobs", http.MethodGet, "/v1/jobs", "List jobs"),
		func(ctx context.Context, in *JobFilter) (*body[JobList], error) {
			return answer(backend.Jobs(ctx, *in))
		})
	type jobPath struct {
		Job string `path:"job" maxLength:"64"`
	}
	huma.Register(api, operation("job", http.MethodGet, "/v1/jobs/{job}", "Show a job, and why it is where it is"),
		func(ctx context.Context, in *jobPath) (*body[JobStatus], error) {
			return answer(backend.Job(ctx, in.Job))
		})
	huma.Register(api, operation("cancel-job", http.MethodPost, "/v1/jobs/{job}/cancel", "Cancel a job"),
		func(ctx context.Context, in *jobPath) (*body[JobCancelled], error) {
			return answer(backend.CancelJob(ctx, in.Job))
		})
	return http.MaxBytesHandler(mux, maxBodyBytes)
}
