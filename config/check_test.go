package config

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// TestMain sets a fixed seed for rapid. A flag on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func exampleConfig(t *testing.T) *pb.Configuration {
	t.Helper()
	cfg := &pb.Configuration{}
	assert.NilError(t, settings.Load("../examples/agency/deployment.ini", cfg))
	return cfg
}

// TestCheckNamesTheRemedy makes one setting of the example configuration invalid and expects exactly that problem.
func TestCheckNamesTheRemedy(t *testing.T) {
	tests := map[string]struct {
		modify func(c *pb.Configuration)
		want   string
	}{
		"spare pool": {
			func(c *pb.Configuration) { c.Deployment.SparePool = "registri" },
			`[deployment] spare_pool: unknown name "registri"; did you mean registry?`,
		},
		"host's pool": {
			func(c *pb.Configuration) { c.Hosts[40].Pool = "tasting" },
			`[host "catania-w14"] pool: unknown name "tasting"; did you mean tastings?`,
		},
		"host's data centre": {
			func(c *pb.Configuration) { c.Hosts[0].DataCentre, c.Hosts[0].Rack = "enna", "enna-r1" },
			`[host "palermo-w01"] data_centre: unknown name "enna"; use one of palermo, catania, modica`,
		},
		"address": {
			func(c *pb.Configuration) { c.Hosts[1].Address = c.Hosts[0].Address },
			`[host "catania-w01"] address: address 127.0.2.1:9100 is also that of host palermo-w01; give each host its own address`,
		},
		"host name": {
			func(c *pb.Configuration) { c.Hosts[1].Name = c.Hosts[0].Name },
			`[host "palermo-w01"] duplicate name; keep one, or give the other another name`,
		},
		"rack": {
			func(c *pb.Configuration) { c.Hosts[1].Rack = c.Hosts[0].Rack },
			`[host "catania-w01"] rack: rack palermo-r1 is also in data centre palermo; give each rack its own name`,
		},
		"connections": {
			func(c *pb.Configuration) { c.Hosts[0].Connections = 7 },
			`[host "palermo-w01"] connections: 7 connections cannot carry 8 slots; raise connections, or lower slots`,
		},
		"empty pool": {
			func(c *pb.Configuration) { c.Pools = append(c.Pools, &pb.Pool{Name: "empty"}) },
			`[pool "empty"] no host is assigned to the pool; assign hosts to it, or remove it`,
		},
		"min_hosts": {
			func(c *pb.Configuration) { c.Pools[0].MinHosts = 10 },
			`[pool "tastings"] min_hosts: the pool must keep 10 hosts and has 9; lower min_hosts to at most 9, or add hosts`,
		},
		"budget without a free host": {
			func(c *pb.Configuration) { c.Services[0].Availability = 0.95 },
			`[service "tastings"] availability: 0.95 of the 9 hosts of pool tastings is 8.55, so 9 must stay in service ` +
				`and none is left for maintenance; lower availability to at most 0.888, or give the pool 20 hosts or more`,
		},
		"budget of 1": {
			func(c *pb.Configuration) { c.Services[0].Availability = 1 },
			`[service "tastings"] availability: 1 of the 9 hosts of pool tastings is 9, so 9 must stay in service ` +
				`and none is left for maintenance; lower availability to at most 0.888`,
		},
		"deadline": {
			func(c *pb.Configuration) { c.Services[0].Deadline = durationpb.New(100 * time.Millisecond) },
			`[service "tastings"] deadline: deadline 100ms is shorter than run_time 500ms; lengthen deadline, or correct run_time`,
		},
		"quota": {
			func(c *pb.Configuration) { c.Teams[0].Quota = 393 },
			`[team "artisans"] quota: quota of 393 slots is more than the 392 slots of all hosts; lower quota to at most 392`,
		},
		"weights": {
			func(c *pb.Configuration) { c.Weights = &pb.Weights{} },
			`[weights] every weight is 0; give at least one measure a weight above 0`,
		},
		"pace": {
			func(c *pb.Configuration) { c.Maintenance.Period = durationpb.New(6 * time.Hour) },
			`[maintenance] max_parallel: 49 hosts of the deployment, 2 at once, 15m0s each take 6.25 h of a period of 6 h; ` +
				`raise max_parallel, lengthen period, or shorten reboot_limit`,
		},
		"schema bound": {
			func(c *pb.Configuration) { c.Hosts[0].Slots = 0 },
			`[host "palermo-w01"] slots: found "0"; write a value from 1 to 1024 (slots)`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := exampleConfig(t)
			assert.NilError(t, Check(cfg))
			test.modify(cfg)
			err := Check(cfg)
			assert.Assert(t, settings.Invalid.Has(err), "%v", err)
			problems := settings.ProblemsOf(err)
			assert.Equal(t, len(problems), 1, "%v", err)
			assert.Equal(t, problems[0].String(), test.want)
		})
	}
}

func TestMaxOutOfServiceIsExactAtRoundShares(t *testing.T) {
	assert.Equal(t, MaxOutOfService(10, 0.7), 3)
	assert.Equal(t, MaxOutOfService(9, 0.7), 2)
	assert.Equal(t, MaxOutOfService(3, 2.0/3), 1)
	assert.Equal(t, MaxOutOfService(9, 0.889), 0)
	assert.Equal(t, MaxOutOfService(1, 0), 1)
}

func TestCheckSettings(t *testing.T) {
	s := &pb.Settings{}
	text := "[entry_host]\nname = e1\ndata_centre = a\ncaller_address = 127.0.1.1:80\noperator_address = 127.0.1.1:81\n" +
		"peer_address = 127.0.1.1:82\n[store]\naddress = http://127.0.1.100:85\n[platform]\naddress = http://127.0.1.100:86\n" +
		"[operator]\ntoken = t\n"
	assert.NilError(t, settings.Parse("e1.ini", []byte(text), s))
	assert.NilError(t, CheckSettings(s))
	s.EntryHost.PeerAddress = s.GetEntryHost().GetCallerAddress()
	s.EntryHost.Peers = []string{"127.0.1.2:82", "127.0.1.2:82"}
	s.Timing.Decision = durationpb.New(5 * time.Second)
	want := "settings refused: [entry_host] peer_address: address 127.0.1.1:80 is also that of caller_address; give each listener its own port\n" +
		"[entry_host] peers: address 127.0.1.2:82 is listed twice; keep one\n" +
		"[timing] controller_lease: lease 10s is shorter than 3 decisions of 5s; lengthen it to at least 15s"
	assert.Error(t, CheckSettings(s), want)
}

func ExampleDiff() {
	old := &pb.Configuration{Pools: []*pb.Pool{{Name: "labels", MinHosts: 2}, {Name: "exports", MinHosts: 1}}}
	updated := proto.CloneOf(old)
	updated.Pools[0].MinHosts = 3
	updated.Pools[1].Name = "customs"
	for _, change := range Diff(old, updated) {
		fmt.Println(change)
	}
	// Output:
	// pool exports removed
	// pool customs added
	// pool labels: min_hosts changed from 2 to 3
}
