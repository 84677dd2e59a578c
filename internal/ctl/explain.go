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

// explanation is what the tool knows of a job.
type explanation struct {
	Job *operatorapi.JobStatus `json:"job,omitempty"`
	// HostError says why no entry host told about the job.
	HostError string          `json:"host_error,omitempty"`
	Timeline  []timeline.Line `json:"timeline,omitempty"`
}

// Run shows the owner's explanation, and what logs tell. With logs, a host that does not answer is no error.
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
		out = append(out, "no entry host tells about the job: "+x.HostError)
	}
	if c.Logs != "" && len(x.Timeline) == 0 {
		out = append(out, "no line of the logs names the job")
	}
	return append(out, lo.Map(x.Timeline, func(l timeline.Line, _ int) string { return lineText(&l) })...)
}

// lineText is a line of the time line: time, entry host, event, and the fields.
func lineText(l *timeline.Line) string {
	fields := lo.FilterMap(l.Fields, func(f timeline.Field, _ int) (string, bool) {
		return f.Key + "=" + f.Value, f.Value != "" && f.Key != "job" && f.Key != "remedy"
	})
	return fmt.Sprintf("%s %s %d %s: %s", l.Time.UTC().Format(timeForm), l.Host, l.Event, l.Name, strings.Join(fields, " "))
}
