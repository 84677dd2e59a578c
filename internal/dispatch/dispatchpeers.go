package dispatch

import (
	"context"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/slots"
	"github.com/agateturn/agateturn/waves"
)

// This file applies fleet changes and peers' heartbeats to the dispatcher, and composes its own heartbeats.

// ApplyFleet implements view.Applier. It returns once the dispatcher has applied the fleet and the configuration.
func (d *Dispatcher) ApplyFleet(f *pb.Fleet, cfg *pb.Configuration) {
	if f == nil || cfg == nil {
		return
	}
	applied := make(chan struct{})
	_ = d.commands.Put(context.Background(), func(d *Dispatcher, now time.Time) {
		d.apply(now, f, cfg)
		close(applied)
	})
	<-applied
}

// apply applies a fleet and a configuration.
func (d *Dispatcher) apply(now time.Time, f *pb.Fleet, cfg *pb.Configuration) {
	d.pools = lo.Map(cfg.GetPools(), func(p *pb.Pool, _ int) string { return p.GetName() })
	d.hosts = lo.KeyBy(cfg.GetHosts(), (*pb.Host).GetName)
	states := lo.KeyBy(f.GetHosts(), (*pb.HostState).GetHost)
	d.queues.Configure(cfg)
	clear(d.countedAt) // the slots of each pool may have changed
	d.ledger.SetHosts(lo.Map(cfg.GetHosts(), func(h *pb.Host, _ int) slots.HostSlots {
		state := states[h.GetName()]
		return slots.HostSlots{
			Host:       h.GetName(),
			Pool:       state.GetPool(),
			Slots:      int(h.GetSlots()),
			DataCentre: h.GetDataCentre(),
			Closed:     state.GetPhase() != pb.HostPhase_HOST_PHASE_ACTIVE,
		}
	}))
	d.ledger.SetOwners(f)
	members := lo.KeyBy(f.GetMembers(), (*pb.Member).GetName)
	d.peers = lo.PickBy(d.peers, func(name string, _ slots.PeerDemand) bool { return members[name] != nil })
	d.leaving = lo.PickBy(d.leaving, func(name string, _ []string) bool { return members[name] != nil })
	d.usage = lo.PickBy(d.usage, func(name string, _ map[string]int64) bool { return members[name] != nil })
	d.sentAtQuota = lo.PickBy(d.sentAtQuota, func(name string, _ map[string]int64) bool { return members[name] != nil })
	d.due = dueForMaintenance(f, cfg, now)
}

// dueForMaintenance returns the hosts that a maintenance wave may take soon, each with the current time as the time of its
// maintenance.
func dueForMaintenance(f *pb.Fleet, cfg *pb.Configuration, now time.Time) map[string]time.Time {
	if cfg.GetMaintenance() == nil {
		return nil
	}
	soon := waves.Upcoming(now, waves.Input{Fleet: f, Config: cfg})
	return lo.SliceToMap(soon, func(host string) (string, time.Time) { return host, now })
}

// Incoming applies a peer's heartbeat.
func (d *Dispatcher) Incoming(ctx context.Context, hb *pb.Heartbeat) {
	_ = d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		d.ledger.Incoming(hb)
		d.peers[hb.GetName()] = slots.PeerDemand{Pools: hb.GetDemand(), DataCentre: hb.GetDataCentre(), Heard: now}
		d.router.Merge(hb.GetName(), hb.GetHealth())
		d.applyUsage(hb)
		d.leaving[hb.GetName()] = hb.GetLeavingHosts()
		d.balance(now)
	})
}

// SlotStatus returns the slot counts. They are all zero if ctx ends first.
func (d *Dispatcher) SlotStatus(ctx context.Context) operatorapi.SlotStatus {
	counted := make(chan operatorapi.SlotStatus, 1)
	err := d.commands.Put(ctx, func(d *Dispatcher, _ time.Time) {
		counted <- operatorapi.SlotStatus{
			Own:      d.ledger.Own(),
			InUse:    d.ledger.InUse(),
			Lent:     d.ledger.Lent(),
			Borrowed: d.ledger.Borrowed(),
			Waiting:  d.ledger.Waiting(),
		}
	})
	if err != nil {
		return operatorapi.SlotStatus{}
	}
	return <-counted
}

// Shun sets the hosts that get no more work because the platform's list shows them as leaving or gone. The fleet drains
// these hosts too, but cannot do so while the store is down.
func (d *Dispatcher) Shun(ctx context.Context, hosts []string) {
	_ = d.commands.Put(ctx, func(d *Dispatcher, _ time.Time) { d.leaving[d.self.GetName()] = hosts })
}

func (d *Dispatcher) isLeaving(host string) bool {
	for _, hosts := range d.leaving {
		if lo.Contains(hosts, host) {
			return true
		}
	}
	return false
}

// AllowRetry uses one retry of the service's retry budget and reports whether one was left.
func (d *Dispatcher) AllowRetry(ctx context.Context, service string) bool {
	allowed := make(chan bool, 1)
	err := d.commands.Put(ctx, func(d *Dispatcher, now time.Time) { allowed <- d.router.AllowRetry(now, service) })
	if err != nil {
		return false
	}
	return <-allowed
}

// idleArrivalRate is the arrival rate, in requests per second, below which a pool without requests is omitted from
// heartbeats. Receivers treat an omitted pool as idle.
const idleArrivalRate = 0.01

func isLoaded(p *pb.PoolDemand, _ int) bool {
	return p.GetQueued() > 0 || p.GetRunning() > 0 || p.GetArrivalsPerSecond() >= idleArrivalRate
}

// Compose sets the dispatcher's fields of a heartbeat to a peer, including the sequence number.
func (d *Dispatcher) Compose(ctx context.Context, peer string, hb *pb.Heartbeat) error {
	composed := make(chan struct{})
	err := d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		defer close(composed)
		d.sequence++
		hb.Sequence = d.sequence
		hb.Slots = d.ledger.Outgoing(peer)
		hb.Demand = lo.Filter(d.demand(now), isLoaded)
		hb.TeamUsage = d.queues.TeamUsage()
		d.recordSentUsage(peer)
		hb.Health = d.router.Health()
		hb.LeavingHosts = d.leaving[d.self.GetName()]
	})
	if err != nil {
		return err
	}
	select {
	case <-composed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LoadReport is the demand by pool and the hosts that the router has ejected.
type LoadReport struct {
	Demand  []*pb.PoolDemand
	Ejected []string
}

// Load returns the current load. It is empty if ctx ends first.
func (d *Dispatcher) Load(ctx context.Context) LoadReport {
	counted := make(chan LoadReport, 1)
	err := d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		counted <- LoadReport{Demand: d.queues.Demand(now), Ejected: d.router.EjectedHosts()}
	})
	if err != nil {
		return LoadReport{}
	}
	select {
	case load := <-counted:
		return load
	case <-ctx.Done():
		return LoadReport{}
	}
}

// PeersToTell delivers the names of peers that are due an early heartbeat.
func (d *Dispatcher) PeersToTell() <-chan string { return d.earlyHeartbeats.Items() }

// Backlog returns the state of the command ring.
func (d *Dispatcher) Backlog() ring.State { return d.commands }

// Slotless reports whether every slot that this entry host owns still waits for the report of its previous holder.
func (d *Dispatcher) Slotless() bool { return d.slotless.Load() }
