package dispatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Guards against counting hosts as due for maintenance that a running wave will not take within the session notice.
func TestDueHostsAreThoseOfUpcomingWaves(t *testing.T) {
	f := &pb.Fleet{Waves: []*pb.Wave{{Name: "night", Phase: pb.WavePhase_WAVE_PHASE_RUNNING, Pending: []string{"w1", "w2", "w3"}}}}
	cfg := &pb.Configuration{
		Pools:       []*pb.Pool{{Name: "a"}},
		Maintenance: &pb.Maintenance{MaxParallel: 1, SessionNotice: durationpb.New(time.Minute), RebootLimit: durationpb.New(time.Hour)},
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		f.Hosts = append(f.Hosts, &pb.HostState{Host: name, Pool: "a", Phase: pb.HostPhase_HOST_PHASE_ACTIVE})
		cfg.Hosts = append(cfg.Hosts, &pb.Host{Name: name, Slots: 1})
	}
	now := time.Unix(1000, 0)
	assert.Equal(t, len(dueForMaintenance(f, cfg, now)), 1)
	cfg.Maintenance = nil
	assert.Equal(t, len(dueForMaintenance(f, cfg, now)), 0)
}
