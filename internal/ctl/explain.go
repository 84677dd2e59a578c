package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/internal/timeline"
)

type jobsExplainCmd struct {
	Job  string `arg:"" help:"Id of the job."`
	Logs string `help:"Also join the log lines of entry hosts from this file, or from standard input with -." placeholder:"FILE"`
}

// explanation combines the owner's explanation of a job with the timeline of its log lines.
type explanation struct {
	Job *operatorapi.JobStatus `json:"job,omitempty"`
	// HostError is the error of the query for the job, if it failed.
	HostError string          `json:"host_error,omitempty"`
	Timeline  []timeline.Line `json:"timeline,omitempty"`
}

// Run prints the owner's explanation and the timeline from the logs. With logs, an entry host that does not answer is
// not an error.
func (c *jobsExplainCmd) Run(e *env) error {
	var all explanation
	j, err := e.client.job(e.ctx, c.Job)
	switch {
	case err == nil:
		all.Job = &j
	case c.Logs == "":
		return err
	default:
		all.HostError = err.Error()
	}
	if c.Logs != "" {
		if all.Timeline, err = c.join(e); err != nil {
			return err
		}
	}
	switch {
	case e.json && c.Logs == "":
		return e.print(j, "", nil)
	case e.json:
		return e.print(all, "", nil)
	}
	_, _ = fmt.Fprintln(e.out, strings.Join(all.text(c), "\n"))
	return nil
}

func (c *jobsExplainCmd) join(e *env) ([]timeline.Line, error) {
	if c.Logs == "-" {
		return timeline.Join(e.in, c.Job)
	}
	file, err := os.Open(c.Logs)
	if err != nil {
		return nil, errUsage.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return timeline.Join(io.Reader(file), c.Job)
}

func (x *explanation) text(c *jobsExplainCmd) []string {
	var out []string
	if x.Job != nil {
		out = append(append(out, summary(*x.Job)), x.Job.Explanation...)
	} else {
		out = append(out, "no entry host reported the job: "+x.HostError)
	}
	if c.Logs != "" && len(x.Timeline) == 0 {
		out = append(out, "no log line mentions the job")
	}
	return append(out, lo.Map(x.Timeline, func(l timeline.Line, _ int) string { return lineText(&l) })...)
}

// lineText formats a line of the timeline: time, entry host, event and fields.
func lineText(l *timeline.Line) string {
	fields := lo.FilterMap(l.Fields, func(f timeline.Field, _ int) (string, bool) {
		return f.Key + "=" + f.Value, f.Value != "" && f.Key != "job" && f.Key != "remedy"
	})
	return fmt.Sprintf("%s %s %d %s: %s", l.Time.UTC().Format(timeFormat), l.Host, l.Event, l.Name, strings.Join(fields, " "))
}
