package slots

import (
	"slices"
	"time"
)

// Reachable returns the number of slots of a pool that this member may be able to use: the slots that it owns,
// including lent ones, which it can recall, and either the slots that it has borrowed or the slots that its peers leave
// unused, whichever are more. Only hosts for which takesWork returns true count.
func (l *Ledger) Reachable(now time.Time, pool string, peers map[string]PeerDemand, takesWork func(host string) bool) int {
	own, borrowed := 0, 0
	byOwner := make([]int, len(l.owners.GetOwners()))
	for _, h := range l.pools[pool] {
		if !takesWork(h.Host) {
			continue
		}
		for _, r := range h.records {
			switch {
			case !r.open() || r.acquiredRevision != 0 || r.ownerIndex < 0:
			case r.owned:
				own++
			default:
				byOwner[r.ownerIndex]++
				if r.borrowed != nil {
					borrowed++
				}
			}
		}
	}
	return own + max(borrowed, l.unused(now, pool, byOwner, peers))
}

// unused returns the number of slots of the peers beyond their load, according to their fresh demand. It is negative if
// the peers are overloaded.
func (l *Ledger) unused(now time.Time, pool string, byOwner []int, peers map[string]PeerDemand) int {
	n := 0
	fresh := l.freshPeers(now, peers)
	for i, o := range l.owners.GetOwners() {
		if slices.Contains(fresh, ownerID(o)) {
			n += byOwner[i]
		}
	}
	for _, id := range fresh {
		for _, d := range peers[id.name].Pools {
			if d.GetPool() == pool {
				n -= int(d.GetRunning() + d.GetQueued())
			}
		}
	}
	return n
}
