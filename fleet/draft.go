package fleet

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Draft collects changes to a fleet for one write. The fleet that it began with stays untouched. A method that returns
// an error changes nothing. It is not safe for concurrent use.
type Draft struct {
	base    *pb.Fleet
	fleet   *pb.Fleet
	hosts   map[string]*pb.HostState
	changed bool
}

// NewDraft begins a draft of the write after f.
func NewDraft(f *pb.Fleet) *Draft {
	d := &Draft{base: f, fleet: proto.CloneOf(f)}
	if d.fleet == nil {
		d.base = &pb.Fleet{}
		d.fleet = &pb.Fleet{}
	}
	d.index()
	return d
}

// Fleet returns the drafted fleet, or the original one if nothing changed. The caller must not change it.
func (d *Draft) Fleet() *pb.Fleet {
	if !d.changed {
		return d.base
	}
	return d.fleet
}

// Changed says whether the draft differs from the fleet that it began with.
func (d *Draft) Changed() bool { return d.changed }

// Host returns the state of a host in the draft, or nil. The caller must not change it.
func (d *Draft) Host(host string) *pb.HostState { return d.hosts[host] }

// Replace puts another fleet in the draft's place, one that was made from the draft's own fleet by a function of this or
// another package. The fleet itself changes nothing. The draft owns f from then on.
func (d *Draft) Replace(f *pb.Fleet) {
	if f == d.Fleet() {
		return
	}
	d.fleet = f
	d.changed = true
	d.index()
}

// SetOperation changes the operation identity of a host, if the draft has the host.
func (d *Draft) SetOperation(host, operationID string) {
	h := d.hosts[host]
	if h == nil || h.OperationId == operationID {
		return
	}
	h.OperationId = operationID
	d.changed = true
}

// revision is the revision that the write of this draft will have.
func (d *Draft) revision() uint64 { return d.base.GetRevision() + 1 }

func (d *Draft) index() {
	d.hosts = make(map[string]*pb.HostState, len(d.fleet.Hosts))
	for _, h := range d.fleet.Hosts {
		d.hosts[h.Host] = h
	}
}

func (d *Draft) sortHosts() {
	sort.Slice(d.fleet.Hosts, func(i, j int) bool { return d.fleet.Hosts[i].Host < d.fleet.Hosts[j].Host })
}

// enter puts a host into a phase as of the write of this draft.
func (d *Draft) enter(h *pb.HostState, phase pb.HostPhase, now time.Time) {
	h.Phase = phase
	h.PhaseRevision = d.revision()
	h.PhaseSinceUnixMs = now.UnixMilli()
	d.changed = true
}

// edit runs one change on a draft of f.
func edit(f *pb.Fleet, change func(*Draft) error) (*pb.Fleet, error) {
	d := NewDraft(f)
	if err := change(d); err != nil {
		return nil, err
	}
	return d.Fleet(), nil
}
