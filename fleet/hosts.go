package fleet

import (
	"strings"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// downSuffix ends the operation id of a drain that started while the host was down, so that Cancel does not return a
// host to service that was out of service before.
const downSuffix = "/down"

// WasDown reports whether a draining host was down when the drain started.
func WasDown(h *pb.HostState) bool {
	return h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING && strings.HasSuffix(h.GetOperationId(), downSuffix)
}

// BeginMove drains a host that moves to another pool. A host that is down can't move. Repeating an order under the same
// operation id changes nothing, even after the move is done.
func BeginMove(f *pb.Fleet, host, target, operationID string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.BeginMove(host, target, operationID, now) })
}

// BeginMaintenance drains a host for maintenance; wave may be empty. Orders are idempotent as in BeginMove.
func BeginMaintenance(f *pb.Fleet, host, wave, operationID string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.BeginMaintenance(host, wave, operationID, now) })
}

// BeginLeave drains a host that leaves the fleet. It overrides moves and maintenance that are still draining, since the
// host leaves in any case.
func BeginLeave(f *pb.Fleet, host, operationID string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.BeginLeave(host, operationID, now) })
}

// Cancel ends a drain. The host takes work for its old pool again, or is down again if it was down before. An active
// host stays unchanged.
func Cancel(f *pb.Fleet, host string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.Cancel(host, now) })
}

// Complete ends the drain of a host that every member has released: a moved host becomes active in its target pool, a
// host for maintenance enters it, and a leaving host is down until it is removed from the configuration.
func Complete(f *pb.Fleet, host string, r Reports) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.Complete(host, r) })
}

// Returned returns a host to service after maintenance.
func Returned(f *pb.Fleet, host string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.Returned(host, now) })
}

// MarkDown takes a failed host out of service and ends any drain or maintenance. The host stays in its pool, because
// its requests may still run.
func MarkDown(f *pb.Fleet, host, operationID string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.MarkDown(host, operationID, now) })
}

// MarkUp returns a host that is down to service in its pool. An active host stays unchanged.
func MarkUp(f *pb.Fleet, host, operationID string, now time.Time) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.MarkUp(host, operationID, now) })
}

// BeginMove is the function BeginMove on a draft.
func (d *Draft) BeginMove(host, target, operationID string, now time.Time) error {
	h, err := d.drainable(host, operationID)
	if err != nil || h == nil {
		return err
	}
	if h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
		return WrongPhase.New("%s is down; mark it up before it moves", host)
	}
	if target == "" || h.Pool == target {
		return SamePool.New("%s is in pool %q; name another pool", host, h.Pool)
	}
	h.TargetPool = target
	d.drain(h, pb.HostPurpose_HOST_PURPOSE_MOVE, operationID, now)
	return nil
}

// BeginMaintenance is the function BeginMaintenance on a draft.
func (d *Draft) BeginMaintenance(host, wave, operationID string, now time.Time) error {
	h, err := d.drainable(host, operationID)
	if err != nil || h == nil {
		return err
	}
	h.Wave = wave
	if h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
		operationID += downSuffix
	}
	d.drain(h, pb.HostPurpose_HOST_PURPOSE_MAINTENANCE, operationID, now)
	return nil
}

// BeginLeave is the function BeginLeave on a draft.
func (d *Draft) BeginLeave(host, operationID string, now time.Time) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
		return nil
	}
	if h.Phase != pb.HostPhase_HOST_PHASE_DRAINING {
		d.drain(h, pb.HostPurpose_HOST_PURPOSE_LEAVE, operationID, now)
		return nil
	}
	// The drain continues: its revision and the releases reported for it stay valid.
	h.Purpose = pb.HostPurpose_HOST_PURPOSE_LEAVE
	h.TargetPool = ""
	h.OperationId = operationID
	d.changed = true
	return nil
}

// Cancel is the function Cancel on a draft.
func (d *Draft) Cancel(host string, now time.Time) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	switch h.Phase {
	case pb.HostPhase_HOST_PHASE_ACTIVE:
		return nil
	case pb.HostPhase_HOST_PHASE_DRAINING:
		down := WasDown(h)
		d.activate(h, now)
		if down {
			h.Phase = pb.HostPhase_HOST_PHASE_DOWN
		}
		return nil
	default:
		return WrongPhase.New("%s is in %s and has no drain to cancel; wait for its return or mark it up", host, PhaseName(h.Phase))
	}
}

// Complete is the function Complete on a draft.
func (d *Draft) Complete(host string, r Reports) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	if h.Phase != pb.HostPhase_HOST_PHASE_DRAINING {
		return WrongPhase.New("%s is in %s; only a draining host can be completed", host, PhaseName(h.Phase))
	}
	if holders := unreleased(d.fleet, h.PhaseRevision, host, r); len(holders) > 0 {
		return NotReleased.New("%s is held by %s; wait for it", host, holders[0])
	}
	switch h.Purpose {
	case pb.HostPurpose_HOST_PURPOSE_MOVE:
		h.Pool = h.TargetPool
		d.activate(h, r.Now)
	case pb.HostPurpose_HOST_PURPOSE_LEAVE:
		d.setPhase(h, pb.HostPhase_HOST_PHASE_DOWN, r.Now)
	default:
		d.setPhase(h, pb.HostPhase_HOST_PHASE_MAINTENANCE, r.Now)
	}
	return nil
}

// Returned is the function Returned on a draft.
func (d *Draft) Returned(host string, now time.Time) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	if h.Phase != pb.HostPhase_HOST_PHASE_MAINTENANCE {
		return WrongPhase.New("%s is in %s, not in maintenance, and can't return from it", host, PhaseName(h.Phase))
	}
	h.MaintainedUnixMs = now.UnixMilli()
	d.activate(h, now)
	return nil
}

// MarkDown is the function MarkDown on a draft.
func (d *Draft) MarkDown(host, operationID string, now time.Time) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	if h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
		return nil
	}
	d.activate(h, now)
	h.OperationId = operationID
	d.setPhase(h, pb.HostPhase_HOST_PHASE_DOWN, now)
	return nil
}

// MarkUp is the function MarkUp on a draft.
func (d *Draft) MarkUp(host, operationID string, now time.Time) error {
	h := d.hosts[host]
	if h == nil {
		return unknownHost(host)
	}
	switch h.Phase {
	case pb.HostPhase_HOST_PHASE_ACTIVE:
		return nil
	case pb.HostPhase_HOST_PHASE_DOWN:
		d.activate(h, now)
		h.OperationId = operationID
		return nil
	default:
		return AlreadyBusy.New("%s is in %s; cancel its drain or wait for its return", host, PhaseName(h.Phase))
	}
}

// drainable returns a host that a new order may drain, or nil if the same order was accepted before.
func (d *Draft) drainable(host, operationID string) (*pb.HostState, error) {
	h := d.hosts[host]
	if h == nil {
		return nil, unknownHost(host)
	}
	if operationID != "" && strings.TrimSuffix(h.OperationId, downSuffix) == operationID {
		return nil, nil
	}
	switch h.Phase {
	case pb.HostPhase_HOST_PHASE_ACTIVE, pb.HostPhase_HOST_PHASE_DOWN:
		if h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE {
			return nil, AlreadyBusy.New("%s is leaving; choose another host", host)
		}
		return h, nil
	default:
		return nil, AlreadyBusy.New("%s is in %s by order %q; cancel that order or wait for it", host, PhaseName(h.Phase), h.OperationId)
	}
}

func (d *Draft) drain(h *pb.HostState, purpose pb.HostPurpose, operationID string, now time.Time) {
	h.Purpose = purpose
	h.OperationId = operationID
	d.setPhase(h, pb.HostPhase_HOST_PHASE_DRAINING, now)
}

// activate makes a host active in its pool. It keeps the operation id, by which a repeated order is recognised.
func (d *Draft) activate(h *pb.HostState, now time.Time) {
	h.Purpose = pb.HostPurpose_HOST_PURPOSE_UNSPECIFIED
	h.TargetPool = ""
	h.Wave = ""
	d.setPhase(h, pb.HostPhase_HOST_PHASE_ACTIVE, now)
}

func unknownHost(host string) error {
	return UnknownHost.New("%q is not in the fleet; list the hosts and use one of their names", host)
}
