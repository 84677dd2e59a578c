package main

import (
	"context"
	"errors"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
	"github.com/agateturn/agateturn/standin/workers"
)

// workersCommand serves every worker of a deployment in one process.
type workersCommand struct {
	Deployment string        `required:"" type:"existingfile" help:"Configuration whose hosts are served."`
	Admin      string        `default:"127.0.0.1:8600" help:"Listener of control and records, ip:port; loopback only."`
	RunTime    time.Duration `default:"50ms" help:"Median run time."`
	Sigma      float64       `default:"0.3" help:"Standard deviation of the logarithm of the run time."`
	Seed       uint64        `default:"1" help:"Seed of the run times."`
}

// Run serves until ctx ends.
func (c *workersCommand) Run(ctx context.Context) error {
	cfg, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	err = workers.Run(ctx, workers.Options{
		Hosts:          cfg.GetHosts(),
		AdminAddress:   c.Admin,
		Seed:           c.Seed,
		DefaultRunTime: workers.RunTime{Median: c.RunTime, Sigma: c.Sigma},
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func loadDeployment(path string) (*pb.Configuration, error) {
	cfg := &pb.Configuration{}
	return cfg, settings.Load(path, cfg)
}
