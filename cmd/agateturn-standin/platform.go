package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/standin/platformd"
)

// platformCommand serves the platform.
type platformCommand struct {
	Listen       string        `default:"127.0.0.1:8500" help:"Listener, ip:port."`
	Hosts        []string      `help:"Names of live workers, comma separated."`
	Deployment   string        `type:"existingfile" help:"Configuration whose hosts are the live workers."`
	EntryHosts   []string      `help:"Names of live entry hosts, comma separated."`
	HostsFile    string        `type:"existingfile" help:"JSON file {\"hosts\":[{\"name\",\"role\",\"state\",\"boot_id\",\"incarnation\"}]} in place of the names."`
	ListLag      time.Duration `default:"0s" help:"Age of the published host list."`
	RebootTime   time.Duration `default:"3s" help:"Time for which a rebooting host is gone."`
	WorkersAdmin string        `help:"Admin address of the workers' stand-in, http://ip:port, which is notified of reboots."`
}

// Run serves until ctx ends.
func (c *platformCommand) Run(ctx context.Context) error {
	hosts, err := c.hosts()
	if err != nil {
		return err
	}
	server := platformd.New(platformd.Config{
		Hosts:       hosts,
		ListLag:     c.ListLag,
		RebootTime:  c.RebootTime,
		WorkerAdmin: c.WorkersAdmin,
	})
	defer server.Close()
	return serve(ctx, c.Listen, server)
}

// hosts returns the host list to start with.
func (c *platformCommand) hosts() ([]hostlist.Host, error) {
	if c.Deployment != "" {
		cfg, err := loadDeployment(c.Deployment)
		if err != nil {
			return nil, err
		}
		for _, h := range cfg.GetHosts() {
			c.Hosts = append(c.Hosts, h.GetName())
		}
	}
	if c.HostsFile == "" {
		return append(live(hostlist.RoleWorker, c.Hosts), live(hostlist.RoleEntry, c.EntryHosts)...), nil
	}
	if len(c.Hosts)+len(c.EntryHosts) > 0 {
		return nil, errors.New("give either --hosts-file or names of hosts, not both")
	}
	text, err := os.ReadFile(c.HostsFile)
	if err != nil {
		return nil, err
	}
	var list hostlist.HostList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("read %s: %w", c.HostsFile, err)
	}
	for _, host := range list.Hosts {
		if err := host.Check(); err != nil {
			return nil, fmt.Errorf("read %s: %w", c.HostsFile, err)
		}
	}
	return list.Hosts, nil
}

func live(role hostlist.Role, names []string) []hostlist.Host {
	hosts := make([]hostlist.Host, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, hostlist.Host{Name: name, Role: role, State: hostlist.StateLive})
	}
	return hosts
}
