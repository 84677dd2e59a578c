package ctl

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/questionnaire"
	"github.com/agateturn/agateturn/settings"
)

const (
	// tableFile is the file name of the queue table.
	tableFile = "queues.json"
	// secretFileMode applies to settings files, which contain the operator token.
	secretFileMode = 0o600
	// directoryMode applies to the output directory.
	directoryMode = 0o755
)

// runJobs writes a settings file for each entry host, and the queue table for the platform's operator.
func (c *initCmd) runJobs(e *env) error {
	if c.Out == "-" {
		return errUsage.New("--jobs writes several files; name their directory with --out")
	}
	answers, err := c.jobAnswers(e)
	if err != nil {
		return err
	}
	jobs, err := questionnaire.GenerateJobs(answers)
	if err != nil {
		return refusedSettings(err)
	}
	if err := writeJobs(c.Out, jobs); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "wrote the settings of %d entry hosts and %s to %s; ask the platform's operator to write %s to the key %s, "+
		"then start: agateturnd --config %s\n", len(jobs.EntryHosts), tableFile, c.Out, tableFile, platform.ConfigKey,
		filepath.Join(c.Out, jobs.EntryHosts[0].GetJobHost().GetName()+".ini"))
	return err
}

func (c *initCmd) jobAnswers(e *env) (*questionnaire.JobAnswers, error) {
	if c.Answers == "" {
		return questionnaire.AskJobs(e.in, e.out)
	}
	answers, err := questionnaire.LoadJobs(c.Answers)
	if err != nil {
		return nil, refusedSettings(err)
	}
	return answers, nil
}

func writeJobs(directory string, jobs *questionnaire.Jobs) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	for _, host := range jobs.EntryHosts {
		data, err := settings.Marshal(host)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, host.GetJobHost().GetName()+".ini"), data, secretFileMode); err != nil {
			return err
		}
	}
	data, err := platform.FormatTable(jobs.Table)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, tableFile), data, configFileMode)
}
