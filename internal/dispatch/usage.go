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

// notifyFreedQuotas requests an early heartbeat to each peer if the last heartbeat sent to it reported a team at its quota and
// that team now runs at most half as many requests on this entry host. Until the peer learns of it, the team's requests wait
// there.
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

// recordSentUsage records which teams are at their quotas in the heartbeat that is being composed for a peer.
func (d *Dispatcher) recordSentUsage(peer string) {
	delete(d.sentAtQuota, peer)
	if atQuota := d.queues.TeamsAtQuota(); len(atQuota) > 0 {
		d.sentAtQuota[peer] = atQuota
	}
}
