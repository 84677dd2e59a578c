package upkeep

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// phase is the progress of an intent.
type phase int

const (
	// evacuating: the worker is being evacuated.
	evacuating phase = iota
	// ordered: the order was issued and has no result yet.
	ordered
	// unconfirmed: the order was not answered.
	unconfirmed
	// away: the order was carried out and the host has not returned.
	away
)

// intent is the planned or ongoing upkeep or move of one host.
type intent struct {
	phase      phase
	phaseSince time.Time
	createdAt  time.Time
	// wave is the number of the wave; for a move, targetPool is set instead.
	wave       int64
	targetPool string
	// fromPool and worker are the host's pool and worker when it was last seen up.
	fromPool string
	worker   string
	// maybeExecuted is set if an unanswered order may have been or may yet be carried out, so the host counts as down.
	maybeExecuted bool
	// forced is set if the order was issued while tasks that may be stopped still ran on the host.
	forced bool
	// notBefore is the earliest time of the next order.
	notBefore time.Time
	// reason is that of a move.
	reason MoveReason
}

func (i *intent) isMove() bool { return i.targetPool != "" }

// countsAsDown reports whether the host counts as down for an upkeep.
func (i *intent) countsAsDown() bool {
	return !i.isMove() && (i.maybeExecuted || i.phase != evacuating)
}

func (i *intent) setPhase(p phase, now time.Time) {
	i.phase = p
	i.phaseSince = now
}

// observe reconciles the intents with the list of hosts.
func (p *Planner) observe(now time.Time, in Input) {
	if !in.HostsAt.After(p.listedAt) {
		return
	}
	p.pools = in.Pools
	p.listedAt = in.HostsAt
	p.hosts = make(map[string]Host, len(in.Hosts))
	for _, m := range in.Hosts {
		p.hosts[m.ID] = m
	}
	p.observeAbsences()
	for _, id := range sortedKeys(p.intents) {
		p.observeIntent(now, id)
	}
}

func (p *Planner) observeIntent(now time.Time, id string) {
	i := p.intents[id]
	if i.phase == ordered || !p.listedAt.After(i.phaseSince) {
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
	case unconfirmed:
		p.observeUnconfirmed(now, id, i, m)
	case away:
		if hasReturned(i, m, now, p.expectedAbsence(i)) {
			delete(p.intents, id)
		}
	case ordered:
	}
}

// dropGone drops the intent of a host that has left.
func (p *Planner) dropGone(id string) {
	if p.isGone(id) {
		delete(p.intents, id)
	}
}

func (p *Planner) expectedAbsence(i *intent) time.Duration {
	if i.isMove() {
		return p.cfg.MoveTime
	}
	return p.cfg.UpkeepTime
}

// hasReturned reports whether a host is down, or is up again: it has another worker, or the expected absence has
// passed.
func hasReturned(i *intent, m Host, now time.Time, absence time.Duration) bool {
	if m.State == Down {
		return true
	}
	return m.State == Up && ((m.Worker != "" && m.Worker != i.worker) || now.Sub(i.phaseSince) >= absence)
}

func (p *Planner) observeEvacuating(id string, i *intent, m Host) {
	if m.State == Upkeep && i.maybeExecuted {
		p.markBegun(i.wave, id)
		i.setPhase(away, p.listedAt)
		return
	}
	if m.State != Up && !i.maybeExecuted {
		delete(p.intents, id)
		return
	}
	if i.isMove() && m.Pool == i.targetPool {
		delete(p.intents, id)
		return
	}
	i.worker = m.Worker
	i.fromPool = m.Pool
}

// observeUnconfirmed looks for the effect of an unanswered order. Only a repeated order can show that there was none.
func (p *Planner) observeUnconfirmed(now time.Time, id string, i *intent, m Host) {
	if i.worker == "" {
		i.worker = m.Worker
		i.fromPool = m.Pool
	}
	switch {
	case m.State == Upkeep && !i.isMove():
		p.markBegun(i.wave, id)
		i.setPhase(away, p.listedAt)
	case i.isMove() && (m.State == Moving || m.Pool == i.targetPool):
		i.setPhase(away, p.listedAt)
	case m.State == Up && (now.Sub(i.phaseSince) >= p.cfg.Settle || (i.isMove() && p.pools[m.Pool].Spare)):
		// In a spare pool nothing runs, so a repeated move does no harm.
		i.worker = m.Worker
		i.fromPool = m.Pool
		i.setPhase(evacuating, now)
	}
}

// UpkeepResult processes the result of an upkeep order.
func (p *Planner) UpkeepResult(now time.Time, o Order, r Result) {
	i := p.intents[o.Host]
	if i == nil || i.phase != ordered || i.isMove() || i.wave != o.Wave {
		return
	}
	if r == Unfit && !p.confirmUnfit(now, o) {
		r = Refused
	}
	switch r {
	case Done:
		p.markBegun(o.Wave, o.Host)
	case Unfit:
		p.exclude(o.Wave, o.Host)
	case Busy:
		delete(p.wave(o.Wave).unfitSince, o.Host)
	case Unknown, Refused, Fenced:
	}
	p.applyResult(now, o.Host, i, r)
}

// MoveResult processes the result of a move order.
func (p *Planner) MoveResult(now time.Time, o MoveOrder, r Result) {
	i := p.intents[o.Host]
	if i == nil || i.phase != ordered || i.targetPool != o.Pool {
		return
	}
	if r == Unfit {
		p.unfit[o] = true
	}
	p.applyResult(now, o.Host, i, r)
}

// applyResult advances an intent by the result of its order. A refusal means that this call had no effect, not that an
// earlier unanswered one had none.
func (p *Planner) applyResult(now time.Time, id string, i *intent, r Result) {
	switch r {
	case Done:
		i.setPhase(away, now)
	case Unfit:
		delete(p.intents, id)
	case Busy, Refused:
		if i.isMove() && !i.maybeExecuted {
			delete(p.intents, id)
			p.notBefore[id] = now.Add(p.cfg.Retry)
			return
		}
		if !i.isMove() && !i.maybeExecuted {
			p.withdraw(i.wave, id)
		}
		i.setPhase(evacuating, now)
		i.notBefore = now.Add(p.cfg.Retry)
	case Unknown, Fenced:
		i.maybeExecuted = true
		i.setPhase(unconfirmed, now)
	}
}

// loadIndex maps workers to their loads in a status.
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

// pruneLoads drops the indexes of pools that are no longer known.
func (s *step) pruneLoads() {
	for pool := range s.loads {
		if !s.isKnownPool(pool) {
			delete(s.loads, pool)
		}
	}
}
