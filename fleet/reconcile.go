package fleet

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// ConfigOperation is the operation identity of changes that follow from the configuration.
const ConfigOperation = "configuration"

// Reconcile makes the fleet's hosts follow the configuration. A new host becomes active in its configured pool; a host
// that was removed drains, and vanishes once every member has released it. The configured pool of a host that is in the
// fleet already is not looked at: it says where a host starts, and moves go on from there.
func Reconcile(f *pb.Fleet, cfg *pb.Configuration, now time.Time) *pb.Fleet {
	d := NewDraft(f)
	d.Reconcile(cfg, now)
	return d.Fleet()
}

// Reconcile is the function Reconcile on a draft.
func (d *Draft) Reconcile(cfg *pb.Configuration, now time.Time) {
	configured := make(map[string]bool, len(cfg.GetHosts()))
	for _, h := range cfg.GetHosts() {
		configured[h.Name] = true
		d.addHost(h, now)
	}
	kept := d.fleet.Hosts[:0:0]
	for _, h := range d.fleet.Hosts {
		if configured[h.Host] {
			d.keep(h, now)
			kept = append(kept, h)
			continue
		}
		if gone(h) {
			delete(d.hosts, h.Host)
			d.changed = true
			continue
		}
		d.removeConfigured(h, now)
		kept = append(kept, h)
	}
	d.fleet.Hosts = kept
}

func (d *Draft) addHost(h *pb.Host, now time.Time) {
	if d.hosts[h.Name] != nil {
		return
	}
	// A new host counts as just maintained, so that a new deployment does not begin with maintenance.
	state := &pb.HostState{Host: h.Name, Pool: h.Pool, MaintainedUnixMs: now.UnixMilli()}
	d.enter(state, pb.HostPhase_HOST_PHASE_ACTIVE, now)
	d.hosts[h.Name] = state
	d.fleet.Hosts = append(d.fleet.Hosts, state)
	d.sortHosts()
}

// keep takes back a removal whose host is configured again.
func (d *Draft) keep(h *pb.HostState, now time.Time) {
	if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE && h.OperationId == ConfigOperation {
		d.activate(h, now)
		h.OperationId = ""
	}
}

func (d *Draft) removeConfigured(h *pb.HostState, now time.Time) {
	if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
		return
	}
	// The host is in the draft, so BeginLeave can't fail.
	_ = d.BeginLeave(h.Host, ConfigOperation, now)
}

// gone says whether a host that is configured no more may vanish: it left, released by every member.
func gone(h *pb.HostState) bool {
	return h.Phase == pb.HostPhase_HOST_PHASE_DOWN && h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE
}
