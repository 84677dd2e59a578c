package fleet_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

func (w *world) readFleet() {
	m := w.managers[w.choose(2)]
	if w.up {
		m.read = w.value
		m.version = w.version
	}
}

// decide lets one manager decide on what it last read, and write it; the answer may be lost.
func (w *world) decide() {
	m := w.managers[w.choose(2)]
	if m.read == nil {
		return
	}
	before := proto.CloneOf(m.read)
	f, err := w.decision(m)
	if !proto.Equal(before, m.read) {
		w.failf("a decision changed its input")
	}
	if err != nil {
		w.failf("decision: %v", err)
		return
	}
	if w.write(f, m.version) && w.choose(4) > 0 {
		m.read = f
		m.version = w.version
	}
}

func (w *world) decision(m *manager) (*pb.Fleet, error) {
	d := fleet.NewDraft(m.read)
	d.TakeOver(m.name)
	r := w.reports(m)
	w.removeGone(d, r)
	w.order(d)
	w.complete(d, r)
	d.SettleOwners(r)
	return fleet.NextWrite(d.Fleet(), d.Fleet().Term, m.name, fmt.Sprint(m.name, w.version))
}

// reports is what a manager heard, and the platform's list, which lags by a second.
func (w *world) reports(m *manager) fleet.Reports {
	r := fleet.Reports{Now: w.now, PauseLimit: pauseLimit, Heartbeats: m.heard, Gone: map[string]time.Time{}}
	for _, p := range w.processes {
		if p.dead {
			r.Gone[p.Incarnation] = p.diedAt.Add(time.Second)
		}
	}
	return r
}

// removeGone tries to remove each process that the list shows gone; refusals are fine.
func (w *world) removeGone(d *fleet.Draft, r fleet.Reports) {
	for _, p := range w.processes {
		if seen, gone := r.Gone[p.Incarnation]; gone {
			_ = d.RemoveGone(p.Name, p.Incarnation, fleet.Proof{Incarnation: p.Incarnation, SeenAt: seen}, r)
		}
	}
}

// order gives any order; refusals are fine.
func (w *world) order(d *fleet.Draft) {
	host := w.cfg.Hosts[w.choose(len(w.cfg.Hosts))].Name
	w.orders++
	id := fmt.Sprint("order-", w.orders-w.choose(2))
	switch w.choose(9) {
	case 0, 1, 2:
		// A host that is down is marked up before it moves.
		_ = d.MarkUp(host, "up-"+id, w.now)
		_ = d.BeginMove(host, pools[w.choose(len(pools))], id, w.now)
	case 3:
		_ = d.BeginMaintenance(host, "", id, w.now)
	case 4:
		_ = d.Cancel(host, w.now)
	case 5:
		_ = d.MarkDown(host, id, w.now)
	case 6:
		_ = d.MarkUp(host, id, w.now)
	case 7:
		_ = d.Returned(host, w.now)
	default:
		_ = d.BeginLeave(host, id, w.now)
		// The configuration has the host again at once.
		if h := d.Host(host); h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
			_ = d.MarkUp(host, id, w.now)
		}
	}
}

func (w *world) complete(d *fleet.Draft, r fleet.Reports) {
	if w.v.leaseRelease {
		w.completeByLease(d, r)
		return
	}
	for _, h := range w.cfg.Hosts {
		_ = d.Complete(h.Name, r)
	}
}

// completeByLease is the naive release: members that were not heard for a lease's time are not asked.
func (w *world) completeByLease(d *fleet.Draft, r fleet.Reports) {
	all := proto.CloneOf(d.Fleet())
	heard := proto.CloneOf(all)
	heard.Members = slices.DeleteFunc(heard.Members, func(m *pb.Member) bool {
		return w.now.Sub(r.Heartbeats[m.Incarnation].At) > 10*time.Second
	})
	for _, h := range w.cfg.Hosts {
		if f, err := fleet.Complete(heard, h.Name, r); err == nil {
			heard = f
		}
	}
	all.Hosts = heard.Hosts
	d.Replace(all)
}

// heal ends all failures and requests, and lets one manager work until nothing is left to do.
func (w *world) heal() {
	w.up = true
	for _, p := range w.processes {
		p.frozen = false
		p.cut = false
		w.register(p)
		for !p.dead && len(p.requests) > 0 {
			w.end(p, 0)
		}
	}
	m := w.managers[0]
	for range 12 {
		w.now = w.now.Add(2 * pauseLimit)
		w.transit = nil
		for _, p := range w.processes {
			w.apply(p)
			w.report(p)
		}
		for _, h := range w.transit {
			w.hear(m, h)
		}
		r := w.reports(m)
		d := fleet.NewDraft(w.value)
		d.TakeOver(m.name)
		w.removeGone(d, r)
		w.complete(d, r)
		d.SettleOwners(r)
		if f, err := fleet.NextWrite(d.Fleet(), d.Fleet().Term, m.name, "heal"); err == nil {
			w.write(f, w.version)
		}
	}
	w.checkHealed()
}

func (w *world) checkHealed() {
	for _, h := range w.value.Hosts {
		if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
			r := w.reports(w.managers[0])
			w.failf("%s still drains after all failures are over, held by %v", h.Host, fleet.Holders(w.value, h.Host, r))
		}
	}
	if w.value.NextOwners != nil {
		w.failf("owners do not settle")
	}
	if len(w.value.Owners.GetOwners()) != len(w.value.Members) || len(w.value.Members) != w.alive() {
		w.failf("%d processes, %d members, %d owners", w.alive(), len(w.value.Members), len(w.value.Owners.GetOwners()))
	}
}
