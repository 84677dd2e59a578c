package ctl

import (
	"fmt"
	"os"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/settings"
)

// maxShownChanges bounds the changes that apply prints; diff prints all of them.
const maxShownChanges = 12

type configCmd struct {
	Show  configShowCmd  `cmd:"" help:"Print the configuration in force."`
	Check configCheckCmd `cmd:"" help:"Check a configuration file without a deployment."`
	Diff  configDiffCmd  `cmd:"" help:"Compare a file with the configuration in force."`
	Apply configApplyCmd `cmd:"" help:"Apply a configuration, and wait until it is in force on every entry host."`
}

type configShowCmd struct{}

// Run prints the configuration.
func (configShowCmd) Run(e *env) error {
	doc, err := e.client.config(e.ctx)
	if err != nil {
		return err
	}
	if e.json {
		return e.print(doc, "", nil)
	}
	_, err = fmt.Fprintf(e.out, "; generation %d, change %s\n%s", doc.Generation, doc.ChangeID, doc.INI)
	return err
}

// loadConfiguration reads and checks a file.
func loadConfiguration(path string) (*pb.Configuration, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errUsage.Wrap(err)
	}
	cfg := &pb.Configuration{}
	if err := settings.Parse(path, data, cfg); err != nil {
		return nil, nil, refusedSettings(err)
	}
	if err := config.Check(cfg); err != nil {
		return nil, nil, refusedSettings(err)
	}
	return cfg, data, nil
}

type configCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Configuration file."`
}

// Run checks the file.
func (c *configCheckCmd) Run(e *env) error {
	cfg, _, err := loadConfiguration(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%s: %d hosts, %d pools, %d services: no problems\n",
		c.File, len(cfg.GetHosts()), len(cfg.GetPools()), len(cfg.GetServices()))
	return err
}

type configDiffCmd struct {
	File string `arg:"" type:"existingfile" help:"Configuration file."`
}

// Run prints the changes.
func (c *configDiffCmd) Run(e *env) error {
	next, _, err := loadConfiguration(c.File)
	if err != nil {
		return err
	}
	current, _, err := e.currentConfiguration()
	if err != nil {
		return err
	}
	changes := lo.Map(config.Diff(current, next), func(ch config.Change, _ int) string { return ch.String() })
	if len(changes) == 0 && !e.json {
		_, err = fmt.Fprintln(e.out, "no changes")
		return err
	}
	return e.print(changes, "CHANGE", lo.Map(changes, func(s string, _ int) []string { return []string{s} }))
}

func (e *env) currentConfiguration() (*pb.Configuration, uint64, error) {
	doc, err := e.client.config(e.ctx)
	if err != nil {
		return nil, 0, err
	}
	cfg := &pb.Configuration{}
	if doc.INI != "" {
		err = settings.Parse("in force", []byte(doc.INI), cfg)
	}
	return cfg, doc.Generation, err
}

type configApplyCmd struct {
	File string        `arg:"" type:"existingfile" help:"Configuration file."`
	Wait time.Duration `help:"Maximum time to wait until it is in force on every entry host; 0 returns once it is accepted." default:"15s"`
	ID   string        `help:"Change id; use the same id to retry after a lost answer."`
	Base uint64        `help:"Generation that the file was made from; 0 means the current one."`
}

// Run applies the file. After a lost answer it sends the change again with the same id, which does not apply it twice.
func (c *configApplyCmd) Run(e *env) error {
	_, data, err := loadConfiguration(c.File)
	if err != nil {
		return err
	}
	base := c.Base
	if base == 0 {
		doc, err := e.client.config(e.ctx)
		if err != nil {
			return err
		}
		base = doc.Generation
	}
	change := operatorapi.ConfigChange{ChangeID: operationID(c.ID), BaseGeneration: base, INI: string(data)}
	started := time.Now()
	result, err := sendWithRetry(e, change.ChangeID, func() (operatorapi.ConfigResult, error) { return e.client.apply(e.ctx, change) })
	if err != nil {
		return err
	}
	if err := c.report(e, change, result); err != nil {
		return err
	}
	err = e.await(c.Wait, func(s operatorapi.Status) (bool, string) { return inForce(s, result.Generation) })
	if err == nil && c.Wait > 0 && !e.json {
		_, err = fmt.Fprintf(e.out, "in force everywhere after %s\n", time.Since(started).Truncate(time.Millisecond))
	}
	return err
}

func (c *configApplyCmd) report(e *env, change operatorapi.ConfigChange, result operatorapi.ConfigResult) error {
	if e.json {
		return e.print(struct {
			ID string `json:"id"`
			operatorapi.ConfigResult
		}{change.ChangeID, result}, "", nil)
	}
	for _, line := range lo.Slice(result.Changes, 0, maxShownChanges) {
		_, _ = fmt.Fprintln(e.out, line)
	}
	if more := len(result.Changes) - maxShownChanges; more > 0 {
		_, _ = fmt.Fprintf(e.out, "and %d more changes\n", more)
	}
	again := ""
	if result.Repeated {
		again = "; it had been accepted before"
	}
	_, err := fmt.Fprintf(e.out, "accepted as generation %d (id %s)%s\n", result.Generation, change.ChangeID, again)
	return err
}

// inForce reports whether every entry host has the generation, and names those that lag.
func inForce(s operatorapi.Status, generation uint64) (bool, string) {
	lagging := lo.FilterMap(s.Members, func(m operatorapi.MemberStatus, _ int) (string, bool) {
		return m.Name, m.Generation < generation
	})
	if len(lagging) == 0 {
		return true, fmt.Sprintf("in force on %d of %d entry hosts", len(s.Members), len(s.Members))
	}
	return false, fmt.Sprintf("in force on %d of %d entry hosts; waiting for %v", len(s.Members)-len(lagging), len(s.Members), lagging)
}
