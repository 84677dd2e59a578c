package entryhost

import (
	"testing"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// TestFleetEvents checks the events of single changes to a fleet.
func TestFleetEvents(t *testing.T) {
	before := &pb.Fleet{
		Members: []*pb.Member{{Name: "e1", Incarnation: "a"}, {Name: "e2", Incarnation: "b", Leaving: true}},
		Hosts:   []*pb.HostState{{Host: "w1", Pool: "exports", Phase: pb.HostPhase_HOST_PHASE_ACTIVE}},
		Waves:   []*pb.Wave{{Name: "night", Phase: pb.WavePhase_WAVE_PHASE_RUNNING}},
	}
	phase := func(p pb.HostPhase) func(*pb.Fleet) { return func(f *pb.Fleet) { f.Hosts[0].Phase = p } }
	tests := []struct {
		name   string
		from   func(*pb.Fleet)
		change func(*pb.Fleet)
		want   []events.Event
	}{
		{"nothing", nil, func(f *pb.Fleet) { f.Revision++ }, nil},
		{"joined", nil, func(f *pb.Fleet) { f.Members = append(f.Members, &pb.Member{Name: "e3"}) }, []events.Event{events.MemberJoined}},
		{"replaced", nil, func(f *pb.Fleet) { f.Members[0].Incarnation = "c" }, []events.Event{events.MemberJoined, events.MemberGone}},
		{"left", nil, func(f *pb.Fleet) { f.Members = f.Members[:1] }, []events.Event{events.MemberLeft}},
		{"drains", nil, phase(pb.HostPhase_HOST_PHASE_DRAINING), []events.Event{events.HostDraining}},
		{"down", nil, phase(pb.HostPhase_HOST_PHASE_DOWN), []events.Event{events.HostDown}},
		{"maintained", phase(pb.HostPhase_HOST_PHASE_DRAINING), phase(pb.HostPhase_HOST_PHASE_MAINTENANCE), []events.Event{events.HostInMaintenance}},
		{"returned", phase(pb.HostPhase_HOST_PHASE_MAINTENANCE), phase(pb.HostPhase_HOST_PHASE_ACTIVE), []events.Event{events.HostReturned}},
		{"moved", phase(pb.HostPhase_HOST_PHASE_DRAINING), func(f *pb.Fleet) {
			f.Hosts[0].Pool, f.Hosts[0].Phase = "registry", pb.HostPhase_HOST_PHASE_ACTIVE
		}, []events.Event{events.HostMoved}},
		{"wave begins", nil, func(f *pb.Fleet) { f.Waves = append(f.Waves, &pb.Wave{Name: "dawn"}) }, []events.Event{events.WaveStarted}},
		{"wave ends", nil, func(f *pb.Fleet) { f.Waves[0].Phase = pb.WavePhase_WAVE_PHASE_DONE }, []events.Event{events.WaveDone}},
		{
			"owners settle", func(f *pb.Fleet) { f.NextOwners = &pb.OwnerSet{Owners: []*pb.Owner{{Name: "e1"}}} },
			func(f *pb.Fleet) { f.NextOwners = nil },
			[]events.Event{events.OwnersSettled},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			from := proto.CloneOf(before)
			if test.from != nil {
				test.from(from)
			}
			to := proto.CloneOf(from)
			test.change(to)
			got := lo.Map(fleetEvents(from, to), func(o occurrence, _ int) int { return o.event.Number })
			assert.DeepEqual(t, got, lo.Map(test.want, func(e events.Event, _ int) int { return e.Number }))
		})
	}
}

func TestCancelledDrainIsNotReportedAsRelease(t *testing.T) {
	before := &pb.Fleet{Hosts: []*pb.HostState{
		{Host: "w1", Pool: "a", Phase: pb.HostPhase_HOST_PHASE_DRAINING}, {Host: "w2", Pool: "a", Phase: pb.HostPhase_HOST_PHASE_DRAINING},
	}}
	after := proto.CloneOf(before)
	after.Hosts[0].Phase = pb.HostPhase_HOST_PHASE_ACTIVE
	assert.DeepEqual(t, releasedHosts([]string{"w1", "w2"}, before, after), []string{"w2"})
	after.Hosts[0].Pool = "b"
	assert.DeepEqual(t, releasedHosts([]string{"w1", "w2"}, before, after), []string{"w1", "w2"})
}
