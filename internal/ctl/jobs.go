package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

type jobsCmd struct {
	List    jobsListCmd    `cmd:"" default:"withargs" help:"List jobs."`
	Show    jobsShowCmd    `cmd:"" help:"Show a job and where its tasks run."`
	Explain jobsExplainCmd `cmd:"" help:"Explain the state of a job."`
	Cancel  jobsCancelCmd  `cmd:"" help:"Cancel a job."`
}

// timeFormat is the layout of printed times: UTC, in milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

func (c *client) jobs(ctx context.Context, query url.Values) (operatorapi.JobList, error) {
	var out operatorapi.JobList
	return out, c.call(ctx, http.MethodGet, "/v1/jobs?"+query.Encode(), nil, &out)
}

func (c *client) job(ctx context.Context, id string) (operatorapi.JobStatus, error) {
	var out operatorapi.JobStatus
	return out, c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &out)
}

func (c *client) cancelJob(ctx context.Context, id string) (operatorapi.JobCancelled, error) {
	var out operatorapi.JobCancelled
	err := c.call(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &out)
	if errUnknown.Has(err) {
		err = errCancelled.New("%s", strings.TrimPrefix(err.Error(), string(errUnknown)+": "))
	}
	return out, err
}

type jobsListCmd struct {
	Pool  string `help:"Only jobs of this pool."`
	Queue string `help:"Only jobs of this queue."`
	State string `help:"Only jobs in this state: queued, running, completed, failed or cancelled." enum:",queued,running,completed,failed,cancelled" default:""`
	Limit int    `help:"At most this many jobs of each pool." default:"100"`
}

// Run lists the jobs, and prints the pools whose owners did not answer.
func (c *jobsListCmd) Run(e *env) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	for name, value := range map[string]string{"pool": c.Pool, "queue": c.Queue, "state": c.State} {
		if value != "" {
			query.Set(name, value)
		}
	}
	list, err := e.client.jobs(e.ctx, query)
	if err != nil {
		return err
	}
	rows := lo.Map(list.Jobs, func(j operatorapi.JobStatus, _ int) []string {
		return cells(j.ID, j.Pool, j.Queue, j.State, jobProgress(j), j.Running, j.Failures, formatAccepted(j))
	})
	if err := e.print(list, "JOB POOL QUEUE STATE DONE PLACED FAILURES ACCEPTED", rows); err != nil {
		return err
	}
	if len(list.Missing) > 0 {
		_, _ = fmt.Fprintf(e.errOut, "no answer from the owners of %s; try again\n", strings.Join(list.Missing, ", "))
	}
	return nil
}

func jobProgress(j operatorapi.JobStatus) string { return fmt.Sprintf("%d/%d", j.Succeeded, j.Tasks) }

func formatAccepted(j operatorapi.JobStatus) string {
	return time.UnixMilli(j.AcceptedMS).UTC().Format(timeFormat)
}

type jobsShowCmd struct {
	Job string `arg:"" help:"Id of the job."`
}

// Run shows the job and its placements.
func (c *jobsShowCmd) Run(e *env) error {
	j, err := e.client.job(e.ctx, c.Job)
	if err != nil {
		return err
	}
	if e.json {
		return e.print(j, "", nil)
	}
	_, _ = fmt.Fprintln(e.out, summary(j))
	if len(j.Placements) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(e.out)
	return e.print(nil, "TASK RUN WORKER PERCENT", lo.Map(j.Placements, func(p operatorapi.JobPlacement, _ int) []string {
		return cells(p.Task, p.Run, p.Worker, p.Percent)
	}))
}

// summary describes the job in one line.
func summary(j operatorapi.JobStatus) string {
	if j.StateOnly {
		return fmt.Sprintf("job %s of pool %s is %s; its owner gives no details", j.ID, j.Pool, j.State)
	}
	text := fmt.Sprintf("job %s of queue %s, pool %s, is %s: %s tasks done, %d placed, %d failed runs; accepted %s",
		j.ID, j.Queue, j.Pool, j.State, jobProgress(j), j.Running, j.Failures, formatAccepted(j))
	if j.Workspace != "" {
		text += "; workspace " + j.Workspace
	}
	if j.Reason != "" {
		text += "; " + j.Reason
	}
	return text
}

type jobsCancelCmd struct {
	Job string `arg:"" help:"Id of the job."`
}

// Run cancels the job. Cancelling it again has no further effect.
func (c *jobsCancelCmd) Run(e *env) error {
	done, err := e.client.cancelJob(e.ctx, c.Job)
	if err != nil {
		return err
	}
	if e.json {
		return e.print(done, "", nil)
	}
	_, _ = fmt.Fprintf(e.out, "job %s of pool %s is cancelled\n", done.ID, done.Pool)
	return nil
}
