package dispatch

import (
	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// This file is what the entry hosts tell each other of the teams' use of slots, by which quotas go.

// takeUsage sums up what each team runs on the other entry hosts.
func (d *Dispatcher) takeUsage(hb *pb.Heartbeat) {
	before := d.usage[hb.GetName()]
	now := runningByTeam(hb.GetTeamUsage())
	d.usage[hb.GetName()] = now
	for _, team := range lo.Union(lo.Keys(before), lo.Keys(now)) {
		total := int64(0)
		for _, peer := range d.usage {
			total += peer[team]
		}
		d.queues.SetTeamUsage(team, total)
	}
}

func runningByTeam(usage []*pb.TeamUsage) map[string]int64 {
	return lo.SliceToMap(usage, func(u *pb.TeamUsage) (string, int64) { return u.GetTeam(), u.GetRunning() })
}

// tellFreedQuotas has those peers told early that know a team to be at its quota which now uses at most half as many
// slots here: its requests wait there meanwhile.
func (d *Dispatcher) tellFreedQuotas() {
	if len(d.toldFull) == 0 {
		return
	}
	running := runningByTeam(d.queues.TeamUsage())
	for peer, told := range d.toldFull {
		if lo.SomeBy(lo.Keys(told), func(team string) bool { return running[team] <= told[team]/2 }) {
			d.news.Offer(peer) // a full ring loses nothing: the next regular heartbeat tells it
			delete(d.toldFull, peer)
		}
	}
}

// noteUsage remembers the teams at their quotas that a heartbeat to a peer shows.
func (d *Dispatcher) noteUsage(peer string) {
	delete(d.toldFull, peer)
	if full := d.queues.TeamsAtQuota(); len(full) > 0 {
		d.toldFull[peer] = full
	}
}
