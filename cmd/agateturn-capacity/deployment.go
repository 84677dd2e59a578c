package main

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

const (
	fileMode     = 0o644
	hostsPerRack = 4
	// addressesPerNet is the number of hosts that share the first three bytes of their addresses.
	addressesPerNet = 250
	firstWorkerNet  = 2
	workerPort      = 9100
)

// deploymentCommand writes a configuration whose hosts all have loopback addresses.
type deploymentCommand struct {
	Hosts       int    `default:"50" help:"Workers."`
	Pools       int    `default:"5" help:"Pools; the last one is the spare pool."`
	Teams       int    `default:"20" help:"Teams."`
	DataCentres int    `default:"5" help:"Data centres."`
	Regions     int    `default:"2" help:"Regions."`
	Out         string `required:"" help:"File to write."`
}

// Run writes the file.
func (c *deploymentCommand) Run() error {
	cfg := c.configuration()
	if err := config.Check(cfg); err != nil {
		return err
	}
	data, err := settings.Marshal(cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, fileMode)
}

func (c *deploymentCommand) configuration() *pb.Configuration {
	cfg := &pb.Configuration{
		Deployment: &pb.Deployment{Name: "capacity", SparePool: poolName(c.Pools)},
		Maintenance: &pb.Maintenance{
			Period:           durationpb.New(5 * 7 * 24 * time.Hour),
			MaxParallel:      28,
			MaxPerRack:       1,
			MaxPerDataCentre: 8,
			FailureShare:     0.2,
			SessionNotice:    durationpb.New(10 * time.Minute),
			RebootLimit:      durationpb.New(15 * time.Minute),
		},
		Weights: &pb.Weights{Moves: 1, RollOut: 1, Buffer: 1},
	}
	for i := range c.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, &pb.DataCentre{
			Name:   dataCentreName(i),
			Region: fmt.Sprintf("region-%d", i%c.Regions+1),
		})
	}
	for i := range c.Pools {
		cfg.Pools = append(cfg.Pools, &pb.Pool{Name: poolName(i + 1)})
		cfg.Services = append(cfg.Services, service(i))
	}
	for i := range c.Teams {
		cfg.Teams = append(cfg.Teams, &pb.Team{Name: fmt.Sprintf("team-%d", i+1), Weight: 1, Quota: 256})
	}
	for i := range c.Hosts {
		cfg.Hosts = append(cfg.Hosts, c.host(i))
	}
	return cfg
}

func service(i int) *pb.Service {
	return &pb.Service{
		Name:         fmt.Sprintf("service-%d", i+1),
		Pool:         poolName(i + 1),
		Availability: 0.7,
		Deadline:     durationpb.New(10 * time.Second),
		RunTime:      durationpb.New(500 * time.Millisecond),
		MaxQueue:     512,
		UrgentStart:  durationpb.New(time.Second),
	}
}

// host returns the i-th host. Consecutive hosts are in different data centres, and a pool spans all of them.
func (c *deploymentCommand) host(i int) *pb.Host {
	dataCentre := dataCentreName(i % c.DataCentres)
	return &pb.Host{
		Name:        fmt.Sprintf("host-%d", i+1),
		Address:     fmt.Sprintf("127.1.%d.%d:%d", firstWorkerNet+i/addressesPerNet, 1+i%addressesPerNet, workerPort),
		DataCentre:  dataCentre,
		Rack:        fmt.Sprintf("%s-r%d", dataCentre, i/c.DataCentres/hostsPerRack+1),
		Pool:        poolName(i*c.Pools/c.Hosts + 1),
		Slots:       8,
		Connections: 64,
	}
}

func poolName(n int) string { return fmt.Sprintf("pool-%d", n) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i+1) }
