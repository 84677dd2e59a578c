package jobfront

import (
	"context"
	"net/http"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/zeebo/errs"
)

// errNoID is the error of a location that an earlier version of the program has written, without the job's id.
var errNoID = errs.Class("jobfront: location names no id; ask again below a queue with the prefix that the job was submitted to")

// serveLocated answers a request whose rest of the path is no id of a job. Under another version of the configuration, a queue with a
// longer or a shorter prefix may have accepted a job at the path. The location tells, as it is found by the whole path.
func (f *Front) serveLocated(ctx context.Context, method string, r request) reply {
	switch method {
	case http.MethodGet, http.MethodDelete, http.MethodPost:
	default:
		return f.badID(method)
	}
	job, found, err := f.findLocated(ctx, r)
	switch {
	case err != nil:
		return f.locationUnavailable(method)
	case method == http.MethodPost:
		return f.submittedBefore(job, found)
	case !found || !job.accessible:
		return f.badID(method)
	case method == http.MethodDelete:
		return f.cancelLocated(ctx, r, job)
	}
	if state := f.ownerState(ctx, job.ref, job.workspace); state != pb.JobState_JOB_STATE_UNSPECIFIED {
		return f.stateReply(state)
	}
	return f.stateReply(job.state)
}

// locatedJob is a job that was found by its location.
type locatedJob struct {
	ref jobstate.Ref
	// accessible means that the caller sees the job, which belongs to the workspace.
	accessible bool
	workspace  string
	// state is the stored one.
	state pb.JobState
}

// findLocated finds the job at the address of a request. found is false if there is none.
func (f *Front) findLocated(ctx context.Context, r request) (job locatedJob, found bool, err error) {
	at, located, err := f.options.Store.Locate(ctx, r.address)
	if err != nil || !located {
		return locatedJob{}, false, err
	}
	if at.ID == "" {
		return locatedJob{}, false, errNoID.New("%s", r.address)
	}
	job.ref = jobstate.Ref{Pool: at.Pool, ID: at.ID}
	for _, workspace := range r.identities() {
		state, known, err := f.options.Store.Lookup(ctx, at.Pool, at.ID, jobstate.Requester{Workspace: workspace})
		if err != nil {
			return locatedJob{}, false, err
		}
		if known {
			job.accessible, job.workspace, job.state = true, workspace, state
			return job, true, nil
		}
	}
	_, found, err = f.options.Store.Lookup(ctx, at.Pool, at.ID, jobstate.Requester{Operator: true})
	return job, found, err
}

// identities returns the workspaces whose jobs the caller sees at a path of another queue. That queue may have been public while this
// one is not, or the opposite, so they are that of the caller's key, and none: callers of a public queue need no key.
func (r request) identities() []string {
	if r.presented == "" {
		return []string{""}
	}
	return []string{r.presented, ""}
}

// locationUnavailable answers a request if the store does not tell what is at its path. A submission may be the repetition of an
// accepted one, so that it must not be rejected.
func (f *Front) locationUnavailable(method string) reply {
	if method == http.MethodPost {
		return reply{status: http.StatusGatewayTimeout, reason: reasonUndecided}
	}
	return reply{status: http.StatusServiceUnavailable, retry: true, retryAfter: f.outage.retryDelay(), reason: reasonStateUnavailable}
}

// submittedBefore answers a submission at a path at which no new job may be submitted.
func (f *Front) submittedBefore(job locatedJob, found bool) reply {
	switch {
	case !found:
		return f.badID(http.MethodPost)
	case !job.accessible:
		return f.storeReply(pb.StoreResult_STORE_RESULT_OTHER_WORKSPACE)
	default:
		return f.storeReply(pb.StoreResult_STORE_RESULT_STORED)
	}
}

// cancelLocated cancels a job that the caller may access. A key that was presented to a public queue has not been checked yet.
func (f *Front) cancelLocated(ctx context.Context, r request, job locatedJob) reply {
	if job.workspace != "" && job.workspace != r.workspace && !f.keysConfirmed(ctx, r.table) {
		return reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonKeyMayBeRemoved}
	}
	return f.storeReply(f.storeCancel(ctx, job.ref, jobstate.Requester{Workspace: job.workspace}))
}
