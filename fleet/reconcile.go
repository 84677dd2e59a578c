package fleet

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// ConfigOperation is the operation id of changes that follow from the configuration.
const ConfigOperation = "configuration"

// Reconcile updates the fleet's hosts from the configuration. A new host becomes active in its configured pool. A host
// that is no longer configured drains, and is deleted from the fleet once every member has released it. The configured
// pool is only the initial pool of a host, so it is ignored for hosts that are already in the fleet.
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
	remaining := d.fleet.Hosts[:0:0]
	for _, h := range d.fleet.Hosts {
		if configured[h.Host] {
			d.cancelRemoval(h, now)
			remaining = append(remaining, h)
			continue
		}
		if deletable(h) {
			delete(d.hosts, h.Host)
			d.changed = true
			continue
		}
		d.drainRemoved(h, now)
		remaining = append(remaining, h)
	}
	d.fleet.Hosts = remaining
}

func (d *Draft) addHost(h *pb.Host, now time.Time) {
	if d.hosts[h.Name] != nil {
		return
	}
	// A new host counts as just maintained, so that a new deployment does not start with maintenance.
	state := &pb.HostState{Host: h.Name, Pool: h.Pool, MaintainedUnixMs: now.UnixMilli()}
	d.setPhase(state, pb.HostPhase_HOST_PHASE_ACTIVE, now)
	d.hosts[h.Name] = state
	d.fleet.Hosts = append(d.fleet.Hosts, state)
	d.sortHosts()
}

// cancelRemoval returns a host to service that is configured again after its removal.
func (d *Draft) cancelRemoval(h *pb.HostState, now time.Time) {
	if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE && h.OperationId == ConfigOperation {
		d.activate(h, now)
		h.OperationId = ""
	}
}

func (d *Draft) drainRemoved(h *pb.HostState, now time.Time) {
	if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
		return
	}
	// The host is in the draft, so BeginLeave can't fail.
	_ = d.BeginLeave(h.Host, ConfigOperation, now)
}

// deletable reports whether a host that is no longer configured has left the fleet, released by every member.
func deletable(h *pb.HostState) bool {
	return h.Phase == pb.HostPhase_HOST_PHASE_DOWN && h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE
}
