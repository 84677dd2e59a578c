package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// phase is how far an intent has come.
type phase int

const (
	// evacuating: the worker is being emptied.
	evacuating phase = iota
	// ordered: the order is under way.
	ordered
	// unsure: the order had no answer.
	unsure
	// away: the order was carried out and the host is not back yet.
	away
)

// intent is what is to be done with one host.
type intent struct {
	phase phase
	since time.Time
	// began is when the intent was made.
	began time.Time
	// wave is the number of the wave; pool is set instead for a move.
	wave int64
	pool string
	// from and worker are the host's pool and worker when it was last seen up.
	from   string
	worker string
	// counted: an order was sent that may still be carried out, so the host counts as down.
	counted bool
	// forced: it was ordered while it was only stoppable.
	forced  bool
	notTill time.Time
}

func (i *intent) move() bool { return i.pool != "" }

// down says whether the host counts as down for an upkeep.
func (i *intent) down() bool {
	return !i.move() && (i.counted || i.phase != evacuating)
}

func (i *intent) to(p phase, now time.Time) {
	i.phase = p
	i.since = now
}

// observe brings the ledger in line with the list of hosts.
func (p *Planner) observe(now time.Time, in Input) {
	if !in.HostsAt.After(p.listedAt) {
		return
	}
	p.pools = in.Pools
	p.listedAt = in.HostsAt
	p.hosts = make(map[string]Host, len(in.Hosts))
	for _, m := range in.Hosts {
		p.hosts[m.ID] = m
		p.lastSeen[m.ID] = in.HostsAt
	}
	for _, id := range sortedKeys(p.ledger) {
		p.observeIntent(now, id)
	}
	for id, at := range p.lastSeen {
		if p.listedAt.Sub(at) >= p.cfg.GoneAfter && p.ledger[id] == nil {
			delete(p.lastSeen, id)
		}
	}
}

func (p *Planner) observeIntent(now time.Time, id string) {
	i := p.ledger[id]
	if i.phase == ordered || !p.listedAt.After(i.since) {
		return
	}
	m, ok := p.hosts[id]
	if !ok {
		p.dropGone(id)
		return
	}
	switch i.phase {
	case evacuating:
		p.observeEvacuating(id, i, m)
	case unsure:
		p.observeUnsure(now, id, i, m)
	case away:
		if back(i, m, now, p.awayTime(i)) {
			delete(p.ledger, id)
		}
	case ordered:
	}
}

// dropGone forgets the intent of a host that has left.
func (p *Planner) dropGone(id string) {
	if p.gone(id) {
		delete(p.ledger, id)
	}
}

func (p *Planner) gone(id string) bool {
	if p.listedAt.IsZero() {
		return false
	}
	at, seen := p.lastSeen[id]
	if !seen {
		at = p.started
	}
	return p.listedAt.Sub(at) >= p.cfg.GoneAfter
}

func (p *Planner) awayTime(i *intent) time.Duration {
	if i.move() {
		return p.cfg.MoveTime
	}
	return p.cfg.UpkeepTime
}

// back says whether a host has come back: it has another worker, or the time is over.
func back(i *intent, m Host, now time.Time, length time.Duration) bool {
	if m.State == Down {
		return true
	}
	return m.State == Up && ((m.Worker != "" && m.Worker != i.worker) || now.Sub(i.since) >= length)
}

func (p *Planner) observeEvacuating(id string, i *intent, m Host) {
	if m.State == Upkeep && i.counted {
		p.begun(i.wave, id)
		i.to(away, p.listedAt)
		return
	}
	if m.State != Up && !i.counted {
		delete(p.ledger, id)
		return
	}
	if i.move() && m.Pool == i.pool {
		delete(p.ledger, id)
		return
	}
	i.worker = m.Worker
	i.from = m.Pool
}

// observeUnsure looks for the effect of an order that had no answer. Only a repeated order shows that there was none.
func (p *Planner) observeUnsure(now time.Time, id string, i *intent, m Host) {
	if i.worker == "" {
		i.worker = m.Worker
		i.from = m.Pool
	}
	switch {
	case m.State == Upkeep && !i.move():
		p.begun(i.wave, id)
		i.to(away, p.listedAt)
	case i.move() && (m.State == Moving || m.Pool == i.pool):
		i.to(away, p.listedAt)
	case m.State == Up && (now.Sub(i.since) >= p.cfg.Settle || (i.move() && p.pools[m.Pool].Spare)):
		// Where nothing runs a repeated move does no harm.
		i.worker = m.Worker
		i.from = m.Pool
		i.to(evacuating, now)
	}
}

// UpkeepResult takes in the outcome of an upkeep order.
func (p *Planner) UpkeepResult(now time.Time, o Order, r Result) {
	i := p.ledger[o.Host]
	if i == nil || i.phase != ordered || i.move() || i.wave != o.Wave {
		return
	}
	if r == Done {
		p.begun(o.Wave, o.Host)
	}
	if r == Unfit {
		p.exclude(o.Wave, o.Host)
	}
	p.settle(now, o.Host, i, r)
}

// MoveResult takes in the outcome of a move order.
func (p *Planner) MoveResult(now time.Time, o MoveOrder, r Result) {
	i := p.ledger[o.Host]
	if i == nil || i.phase != ordered || i.pool != o.Pool {
		return
	}
	if r == Unfit {
		p.unfit[o] = true
	}
	p.settle(now, o.Host, i, r)
}

// settle moves an intent on by the outcome of its order. A refusal says that this call did nothing, not that an earlier
// one without an answer did nothing.
func (p *Planner) settle(now time.Time, id string, i *intent, r Result) {
	switch r {
	case Done:
		i.to(away, now)
	case Unfit:
		delete(p.ledger, id)
	case Busy, Refused:
		if i.move() && !i.counted {
			delete(p.ledger, id)
			p.notBefore[id] = now.Add(p.cfg.Retry)
			return
		}
		if !i.move() && !i.counted {
			p.withdraw(i.wave, id)
		}
		i.to(evacuating, now)
		i.notTill = now.Add(p.cfg.Retry)
	case Unknown, Fenced:
		i.counted = true
		i.to(unsure, now)
	}
}

// loadIndex finds the loads of a status by worker.
type loadIndex struct {
	status *pb.PoolStatusResponse
	loads  map[string]*pb.WorkerLoad
}

// load returns the load of a host's worker; nil if its pool's owner does not know it.
func (s *step) load(m Host) *pb.WorkerLoad {
	status := s.in.Pools[m.Pool].Status
	index := s.loads[m.Pool]
	if index == nil || index.status != status {
		index = &loadIndex{status: status, loads: make(map[string]*pb.WorkerLoad, len(status.GetWorkers()))}
		for _, w := range status.GetWorkers() {
			index.loads[w.GetId()] = w
		}
		s.loads[m.Pool] = index
	}
	return index.loads[m.Worker]
}

// dropLoads forgets the indexes of pools that are not known any more.
func (s *step) dropLoads() {
	for pool := range s.loads {
		if !s.known(pool) {
			delete(s.loads, pool)
		}
	}
}
