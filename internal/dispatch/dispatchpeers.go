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

// This file is what the dispatcher takes from the fleet and the peers, and what it tells them.

// ApplyFleet implements view.Applier: it returns when the dispatcher obeys the fleet.
func (d *Dispatcher) ApplyFleet(f *pb.Fleet, cfg *pb.Configuration) {
	if f == nil || cfg == nil {
		return
	}
	applied := make(chan struct{})
	_ = d.commands.Put(context.Background(), func(d *Dispatcher, now time.Time) {
		d.takeOver(now, f, cfg)
		close(applied)
	})
	<-applied
}

// takeOver installs a fleet and a configuration.
func (d *Dispatcher) takeOver(now time.Time, f *pb.Fleet, cfg *pb.Configuration) {
	d.pools = lo.Map(cfg.GetPools(), func(p *pb.Pool, _ int) string { return p.GetName() })
	d.hosts = lo.KeyBy(cfg.GetHosts(), (*pb.Host).GetName)
	states := lo.KeyBy(f.GetHosts(), (*pb.HostState).GetHost)
	d.queues.Configure(cfg)
	clear(d.counted) // the slots of each pool may be others now
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
	present := lo.KeyBy(f.GetMembers(), (*pb.Member).GetName)
	d.peers = lo.PickBy(d.peers, func(name string, _ slots.PeerDemand) bool { return present[name] != nil })
	d.leaving = lo.PickBy(d.leaving, func(name string, _ []string) bool { return present[name] != nil })
	d.usage = lo.PickBy(d.usage, func(name string, _ map[string]int64) bool { return present[name] != nil })
	d.toldFull = lo.PickBy(d.toldFull, func(name string, _ map[string]int64) bool { return present[name] != nil })
	d.due = dueForMaintenance(f, cfg, now)
}

// dueForMaintenance is when each host that a wave will soon take may be taken.
func dueForMaintenance(f *pb.Fleet, cfg *pb.Configuration, now time.Time) map[string]time.Time {
	if cfg.GetMaintenance() == nil {
		return nil
	}
	soon := waves.Upcoming(now, waves.Input{Fleet: f, Config: cfg})
	return lo.SliceToMap(soon, func(host string) (string, time.Time) { return host, now })
}

// Incoming takes over a peer's heartbeat.
func (d *Dispatcher) Incoming(ctx context.Context, hb *pb.Heartbeat) {
	_ = d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		d.ledger.Incoming(hb)
		d.peers[hb.GetName()] = slots.PeerDemand{Pools: hb.GetDemand(), DataCentre: hb.GetDataCentre(), Heard: now}
		d.router.Merge(hb.GetName(), hb.GetHealth())
		d.takeUsage(hb)
		d.leaving[hb.GetName()] = hb.GetLeavingHosts()
		d.balance(now)
	})
}

// SlotStatus counts the slots; all zero if ctx ends first.
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

// Shun gives no more work to the hosts that the platform's list shows leaving or gone. The fleet drains them too, but
// not while the store is down.
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

// AllowRetry takes a retry from the service's budget.
func (d *Dispatcher) AllowRetry(ctx context.Context, service string) bool {
	allowed := make(chan bool, 1)
	err := d.commands.Put(ctx, func(d *Dispatcher, now time.Time) { allowed <- d.router.AllowRetry(now, service) })
	if err != nil {
		return false
	}
	return <-allowed
}

// quietArrivals is the rate below which a pool without requests is left out of heartbeats, in requests a second. Receivers
// take an absent pool for one without load.
const quietArrivals = 0.01

func isLoaded(p *pb.PoolDemand, _ int) bool {
	return p.GetQueued() > 0 || p.GetRunning() > 0 || p.GetArrivalsPerSecond() >= quietArrivals
}

// Compose fills the dispatcher's part of a heartbeat to a peer, and gives it its sequence number.
func (d *Dispatcher) Compose(ctx context.Context, peer string, hb *pb.Heartbeat) error {
	composed := make(chan struct{})
	err := d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		defer close(composed)
		d.sequence++
		hb.Sequence = d.sequence
		hb.Slots = d.ledger.Outgoing(peer)
		hb.Demand = lo.Filter(d.demand(now), isLoaded)
		hb.TeamUsage = d.queues.TeamUsage()
		d.noteUsage(peer)
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

// LoadReport is what waits at the dispatcher.
type LoadReport struct {
	Demand  []*pb.PoolDemand
	Ejected []string
}

// Load asks the dispatcher; it is empty if ctx ends first.
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

// PeersToTell are the peers that should get a heartbeat early.
func (d *Dispatcher) PeersToTell() <-chan string { return d.news.Items() }

// Backlog is the ring of commands that wait for the dispatcher.
func (d *Dispatcher) Backlog() ring.State { return d.commands }

// Slotless reports whether every own slot still waits for the report of a former holder.
func (d *Dispatcher) Slotless() bool { return d.slotless.Load() }
