package fleet

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Draft collects changes to a fleet for one write. It does not modify the fleet that it starts from. A method that
// returns an error changes nothing. A Draft is not safe for concurrent use.
type Draft struct {
	base    *pb.Fleet
	fleet   *pb.Fleet
	hosts   map[string]*pb.HostState
	changed bool
}

// NewDraft returns a draft of the write that follows f.
func NewDraft(f *pb.Fleet) *Draft {
	d := &Draft{base: f, fleet: proto.CloneOf(f)}
	if d.fleet == nil {
		d.base = &pb.Fleet{}
		d.fleet = &pb.Fleet{}
	}
	d.indexHosts()
	return d
}

// Fleet returns the drafted fleet, or the original one if nothing changed. The caller must not change it.
func (d *Draft) Fleet() *pb.Fleet {
	if !d.changed {
		return d.base
	}
	return d.fleet
}

// Changed reports whether the draft differs from the fleet that it started from.
func (d *Draft) Changed() bool { return d.changed }

// Host returns the state of a host in the draft, or nil. The caller must not change it.
func (d *Draft) Host(host string) *pb.HostState { return d.hosts[host] }

// Replace replaces the drafted fleet with f, which a function of this or another package has derived from d.Fleet(). If
// f is d.Fleet() itself, nothing changes. The draft owns f from then on.
func (d *Draft) Replace(f *pb.Fleet) {
	if f == d.Fleet() {
		return
	}
	d.fleet = f
	d.changed = true
	d.indexHosts()
}

// SetOperation changes the operation id of a host, if the draft has the host.
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

func (d *Draft) indexHosts() {
	d.hosts = make(map[string]*pb.HostState, len(d.fleet.Hosts))
	for _, h := range d.fleet.Hosts {
		d.hosts[h.Host] = h
	}
}

func (d *Draft) sortHosts() {
	sort.Slice(d.fleet.Hosts, func(i, j int) bool { return d.fleet.Hosts[i].Host < d.fleet.Hosts[j].Host })
}

// setPhase sets the phase of a host, with the revision of this draft's write.
func (d *Draft) setPhase(h *pb.HostState, phase pb.HostPhase, now time.Time) {
	h.Phase = phase
	h.PhaseRevision = d.revision()
	h.PhaseSinceUnixMs = now.UnixMilli()
	d.changed = true
}

// edit applies one change to a draft of f.
func edit(f *pb.Fleet, change func(*Draft) error) (*pb.Fleet, error) {
	d := NewDraft(f)
	if err := change(d); err != nil {
		return nil, err
	}
	return d.Fleet(), nil
}
