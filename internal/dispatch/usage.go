package dispatch

import (
	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// This file exchanges each team's slot usage with the other entry hosts. Quotas count a team's requests on all of them.

// applyUsage updates each team's running requests on the other entry hosts from a peer's heartbeat.
func (d *Dispatcher) applyUsage(hb *pb.Heartbeat) {
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

// notifyFreedQuotas requests early heartbeats to the peers whose last heartbeat showed a team at its quota that now runs at
// most half as many requests here. Until then its requests wait at those peers.
func (d *Dispatcher) notifyFreedQuotas() {
	if len(d.sentAtQuota) == 0 {
		return
	}
	running := runningByTeam(d.queues.TeamUsage())
	for peer, sent := range d.sentAtQuota {
		if lo.SomeBy(lo.Keys(sent), func(team string) bool { return running[team] <= sent[team]/2 }) {
			d.earlyHeartbeats.Offer(peer) // on a full ring the next regular heartbeat carries the usage
			delete(d.sentAtQuota, peer)
		}
	}
}

// recordSentUsage records the teams at their quotas in a heartbeat to a peer.
func (d *Dispatcher) recordSentUsage(peer string) {
	delete(d.sentAtQuota, peer)
	if full := d.queues.TeamsAtQuota(); len(full) > 0 {
		d.sentAtQuota[peer] = full
	}
}
