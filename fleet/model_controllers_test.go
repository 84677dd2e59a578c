package fleet_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

func (s *simulation) readFleet() {
	c := s.controllers[s.intN(2)]
	if s.storeUp {
		c.lastRead = s.stored
		c.version = s.version
	}
}

// decide lets one controller process decide on the fleet that it last read, and write its decision. The response to the
// write may be lost.
func (s *simulation) decide() {
	c := s.controllers[s.intN(2)]
	if c.lastRead == nil {
		return
	}
	before := proto.CloneOf(c.lastRead)
	f, err := s.decision(c)
	if !proto.Equal(before, c.lastRead) {
		s.violationf("a decision changed its input")
	}
	if err != nil {
		s.violationf("decision: %v", err)
		return
	}
	if s.write(f, c.version) && s.intN(4) > 0 {
		c.lastRead = f
		c.version = s.version
	}
}

func (s *simulation) decision(c *controllerProcess) (*pb.Fleet, error) {
	d := fleet.NewDraft(c.lastRead)
	d.TakeOver(c.name)
	r := s.reports(c)
	s.removeGone(d, r)
	s.order(d)
	s.complete(d, r)
	d.SettleOwners(r)
	return fleet.NextWrite(d.Fleet(), d.Fleet().Term, c.name, fmt.Sprint(c.name, s.version))
}

// reports returns what a controller process has received, and the platform's list, which lags by a second.
func (s *simulation) reports(c *controllerProcess) fleet.Reports {
	r := fleet.Reports{Now: s.now, PauseLimit: pauseLimit, Heartbeats: c.heartbeats, Gone: map[string]time.Time{}}
	for _, p := range s.processes {
		if p.dead {
			r.Gone[p.Incarnation] = p.diedAt.Add(time.Second)
		}
	}
	return r
}

// removeGone tries to remove each process that the list shows as gone. Refusals are expected.
func (s *simulation) removeGone(d *fleet.Draft, r fleet.Reports) {
	for _, p := range s.processes {
		if seen, gone := r.Gone[p.Incarnation]; gone {
			_ = d.RemoveGone(p.Name, p.Incarnation, fleet.Proof{Incarnation: p.Incarnation, SeenAt: seen}, r)
		}
	}
}

// order issues a random order. Refusals are expected.
func (s *simulation) order(d *fleet.Draft) {
	host := s.cfg.Hosts[s.intN(len(s.cfg.Hosts))].Name
	s.orders++
	id := fmt.Sprint("order-", s.orders-s.intN(2))
	switch s.intN(9) {
	case 0, 1, 2:
		// A host that is down is marked up before it moves.
		_ = d.MarkUp(host, "up-"+id, s.now)
		_ = d.BeginMove(host, pools[s.intN(len(pools))], id, s.now)
	case 3:
		_ = d.BeginMaintenance(host, "", id, s.now)
	case 4:
		_ = d.Cancel(host, s.now)
	case 5:
		_ = d.MarkDown(host, id, s.now)
	case 6:
		_ = d.MarkUp(host, id, s.now)
	case 7:
		_ = d.Returned(host, s.now)
	default:
		_ = d.BeginLeave(host, id, s.now)
		// The host is configured again immediately.
		if h := d.Host(host); h.Phase == pb.HostPhase_HOST_PHASE_DOWN {
			_ = d.MarkUp(host, id, s.now)
		}
	}
}

func (s *simulation) complete(d *fleet.Draft, r fleet.Reports) {
	if s.variant.leaseRelease {
		s.completeByLease(d, r)
		return
	}
	for _, h := range s.cfg.Hosts {
		_ = d.Complete(h.Name, r)
	}
}

// completeByLease is the faulty release: it ignores members that have not reported for the duration of a lease.
func (s *simulation) completeByLease(d *fleet.Draft, r fleet.Reports) {
	all := proto.CloneOf(d.Fleet())
	reporting := proto.CloneOf(all)
	reporting.Members = slices.DeleteFunc(reporting.Members, func(m *pb.Member) bool {
		return s.now.Sub(r.Heartbeats[m.Incarnation].At) > 10*time.Second
	})
	for _, h := range s.cfg.Hosts {
		if f, err := fleet.Complete(reporting, h.Name, r); err == nil {
			reporting = f
		}
	}
	all.Hosts = reporting.Hosts
	d.Replace(all)
}

// endFailures ends all failures and requests, and lets one controller process run until nothing is left to do.
func (s *simulation) endFailures() {
	s.storeUp = true
	for _, p := range s.processes {
		p.paused = false
		p.partitioned = false
		s.register(p)
		for !p.dead && len(p.requests) > 0 {
			s.endRequest(p, 0)
		}
	}
	c := s.controllers[0]
	for range 12 {
		s.now = s.now.Add(2 * pauseLimit)
		s.inTransit = nil
		for _, p := range s.processes {
			s.apply(p)
			s.report(p)
		}
		for _, h := range s.inTransit {
			s.receive(c, h)
		}
		r := s.reports(c)
		d := fleet.NewDraft(s.stored)
		d.TakeOver(c.name)
		s.removeGone(d, r)
		s.complete(d, r)
		d.SettleOwners(r)
		if f, err := fleet.NextWrite(d.Fleet(), d.Fleet().Term, c.name, "heal"); err == nil {
			s.write(f, s.version)
		}
	}
	s.checkRecovered()
}

func (s *simulation) checkRecovered() {
	for _, h := range s.stored.Hosts {
		if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING {
			r := s.reports(s.controllers[0])
			s.violationf("%s is still draining after all failures are over, held by %v", h.Host, fleet.Holders(s.stored, h.Host, r))
		}
	}
	if s.stored.NextOwners != nil {
		s.violationf("the next owners did not become the owners")
	}
	if len(s.stored.Owners.GetOwners()) != len(s.stored.Members) || len(s.stored.Members) != s.aliveCount() {
		s.violationf("%d processes, %d members, %d owners", s.aliveCount(), len(s.stored.Members), len(s.stored.Owners.GetOwners()))
	}
}
