package upkeep

import "time"

// minAbsentLists is how many lists in a row must lack a host that counts as gone. The pages of a list are no snapshot, so one list
// may lack a host that stays.
const minAbsentLists = 3

// absence tracks whether a host that a wave or an intent names is missing from the list of hosts. A list that was requested before
// the host was named proves nothing: the host may have joined since.
type absence struct {
	// namedAt is when a wave or an intent first named the host.
	namedAt time.Time
	// since is when the first of the latest lists that lack the host was requested, and lists is how many they are; zero if the
	// latest list has the host.
	since time.Time
	lists int
}

// trackAbsences keeps an absence for each host that a wave or an intent names.
func (p *Planner) trackAbsences(now time.Time, waves []Wave) {
	named := make(map[string]*absence, len(p.absences))
	track := func(id string) {
		if named[id] != nil {
			return
		}
		a := p.absences[id]
		if a == nil {
			a = &absence{namedAt: now}
		}
		named[id] = a
	}
	for _, w := range waves {
		for _, id := range w.Hosts {
			track(id)
		}
	}
	for id := range p.intents {
		track(id)
	}
	p.absences = named
}

// observeAbsences applies a new list of hosts.
func (p *Planner) observeAbsences() {
	for id, a := range p.absences {
		_, listed := p.hosts[id]
		switch {
		case listed:
			a.since, a.lists = time.Time{}, 0
		case !p.listedAt.After(a.namedAt):
		case a.lists == 0:
			a.since, a.lists = p.listedAt, 1
		default:
			a.lists++
		}
	}
}

// isGone reports whether a host has left: all lists of the last GoneAfter lack it.
func (p *Planner) isGone(id string) bool {
	a := p.absences[id]
	return a != nil && a.lists >= minAbsentLists && p.listedAt.Sub(a.since) >= p.cfg.GoneAfter
}
